package weldpoint.audit;

import weldpoint.common.WeldpointException;

/** Names of authors: claims, not proofs. */
public final class Authors {
  /** The request header that names an author. */
  public static final String HEADER = "Weldpoint-Author";

  /** Who is entered where nobody was named. */
  public static final String UNNAMED = "unnamed";

  /** The system itself. */
  public static final String SYSTEM = "weldpoint";

  private static final int MAX_LENGTH = 64;

  private Authors() {}

  /**
   * The author of a call that carried the header so many times with this value; fails where it is
   * no name.
   */
  public static String check(final String value, final int occurrences) {
    if (occurrences == 0) {
      return UNNAMED;
    }
    if (occurrences > 1) {
      throw invalid("is there " + occurrences + " times", "send it once");
    }
    final String name = value.strip();
    if (name.isEmpty()) {
      throw invalid("is empty", "name the author or leave the header out");
    }
    if (name.length() > MAX_LENGTH) {
      throw invalid("has " + name.length() + " characters", "give at most " + MAX_LENGTH);
    }
    for (int index = 0; index < name.length(); index++) {
      if (Character.isISOControl(name.charAt(index))) {
        throw invalid(
            "has a control character at place " + (index + 1),
            "give letters, digits, blanks and signs only");
      }
    }
    return name;
  }

  private static WeldpointException invalid(final String problem, final String remedy) {
    return new WeldpointException(
        WeldpointException.Kind.INVALID, "the header " + HEADER + " " + problem + "; " + remedy);
  }
}
