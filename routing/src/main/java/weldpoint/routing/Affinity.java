package weldpoint.routing;

import weldpoint.common.WeldpointException;

/**
 * A route's rule that ties each caller to one node: by what a caller is known, and how long a pause
 * ends a session.
 */
public record Affinity(By by, String header, long pauseMillis) {
  private static final long USUAL_PAUSE_MILLIS = 60_000;
  private static final int MOST_HEADER = 64;

  /** By what a caller is known. */
  public enum By {
    /** A named header; a caller without it is known by its address. */
    HEADER,
    /** The tenant that the request's key belongs to; where requests need no keys, the address. */
    TENANT,
    /** The client's address. */
    ADDRESS
  }

  /** Reads a route's rule; null where it has none. */
  static Affinity of(final String route, final RouteKind kind, final SpecDocument.Affinity given) {
    if (given == null) {
      return null;
    }
    if (kind.repeatable()) {
      throw invalid(
          route,
          "carries no writes; leave affinity out, lookups and downloads go where there is room");
    }
    return of("route " + route, given.by(), given.header(), given.pauseMs());
  }

  private static Affinity of(
      final String where, final String by, final String header, final Double pause) {
    final By known = by(by);
    if (known == null) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          where + " has affinity by '" + by + "'; give header, tenant or address");
    }
    if (known == By.HEADER != (header != null)) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          where
              + (known == By.HEADER
                  ? " has affinity by header and names none; name the header"
                  : " names a header and has affinity by "
                      + by
                      + "; leave the header out or give by header"));
    }
    if (header != null
        && (header.isEmpty()
            || header.length() > MOST_HEADER
            || !header.matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+"))) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          where
              + " has affinity by the header '"
              + header
              + "', which is no name of one; give letters, digits and signs such as - without blanks, at most "
              + MOST_HEADER);
    }
    if (pause != null && !(pause > 0)) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          where + " has the pause " + pause + "; give pauseMs above 0");
    }
    return new Affinity(
        known, header, pause == null ? USUAL_PAUSE_MILLIS : Math.max(1, pause.longValue()));
  }

  private static By by(final String text) {
    for (final By one : By.values()) {
      if (one.name().equalsIgnoreCase(text)) {
        return one;
      }
    }
    return null;
  }

  private static WeldpointException invalid(final String route, final String what) {
    return new WeldpointException(WeldpointException.Kind.INVALID, "route " + route + " " + what);
  }

  /** Reads a setting: empty or off for none, otherwise address, tenant or header:NAME. */
  public static Affinity setting(final String field, final String text) {
    if (text.isEmpty() || text.equals("off")) {
      return null;
    }
    final int colon = text.indexOf(':');
    return of(
        "setting " + field,
        colon < 0 ? text : text.substring(0, colon),
        colon < 0 ? null : text.substring(colon + 1),
        null);
  }

  /** The rule in force on a route, given what settings say of write routes without one. */
  public static Affinity inForce(final Route route, final Affinity usual) {
    return route.affinity != null ? route.affinity : route.kind.repeatable() ? null : usual;
  }
}
