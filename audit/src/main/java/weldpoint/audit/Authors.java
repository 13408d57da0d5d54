package weldpoint.audit;

import weldpoint.common.WeldpointException;

/** Names of the authors of changes. They are not authenticated: a client may send any name. */
public final class Authors {
  /** The request header that gives the author of a call. */
  public static final String HEADER = "Weldpoint-Author";

  /** The author recorded for a call without the header. */
  public static final String UNNAMED = "unnamed";

  /** The author recorded for changes that the system makes itself. */
  public static final String SYSTEM = "weldpoint";

  private static final int MAX_LENGTH = 64;

  private Authors() {}

  /**
   * Returns the author of a call.
   *
   * @param value the value of the header
   * @param occurrences how many times the call carried the header
   * @throws WeldpointException if the header was repeated or its value is not a valid name
   */
  public static String check(final String value, final int occurrences) {
    if (occurrences == 0) {
      return UNNAMED;
    }
    if (occurrences > 1) {
      throw invalid("was sent " + occurrences + " times", "send it once");
    }
    final String name = value.strip();
    if (name.isEmpty()) {
      throw invalid("is empty", "name the author or leave the header out");
    }
    if (name.length() > MAX_LENGTH) {
      throw invalid("has " + name.length() + " characters", "use at most " + MAX_LENGTH);
    }
    for (int index = 0; index < name.length(); index++) {
      if (Character.isISOControl(name.charAt(index))) {
        throw invalid(
            "has a control character at position " + (index + 1),
            "use letters, digits, spaces and printable characters only");
      }
    }
    return name;
  }

  private static WeldpointException invalid(final String problem, final String remedy) {
    return new WeldpointException(
        WeldpointException.Kind.INVALID, "the header " + HEADER + " " + problem + "; " + remedy);
  }
}
