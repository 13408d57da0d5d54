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

  private static final int MOST = 64;

  private Authors() {}

  /**
   * The author of a call that carried the header so many times with this value; fails where it is
   * no name.
   */
  public static String check(final String given, final int times) {
    if (times == 0) {
      return UNNAMED;
    }
    if (times > 1) {
      throw bad("is there " + times + " times", "send it once");
    }
    final String name = given.strip();
    if (name.isEmpty()) {
      throw bad("is empty", "name the author or leave the header out");
    }
    if (name.length() > MOST) {
      throw bad("has " + name.length() + " characters", "give at most " + MOST);
    }
    for (int index = 0; index < name.length(); index++) {
      if (Character.isISOControl(name.charAt(index))) {
        throw bad(
            "has a control character at place " + (index + 1),
            "give letters, digits, blanks and signs only");
      }
    }
    return name;
  }

  private static WeldpointException bad(final String what, final String remedy) {
    return new WeldpointException(
        WeldpointException.Kind.INVALID, "the header " + HEADER + " " + what + "; " + remedy);
  }
}
