package weldpoint.routing;

import weldpoint.common.WeldpointException;

/**
 * A route's rule that ties each caller to one node: by what a caller is known, and how long a pause
 * ends a session.
 */
public record Affinity(CallerIdentity by, String header, long pauseMillis) {
  private static final long DEFAULT_PAUSE_MILLIS = 60_000;
  private static final int MAX_HEADER_NAME_LENGTH = 64;

  /** By what a caller is known. */
  public enum CallerIdentity {
    /** A named header; a caller without it is known by its address. */
    HEADER,
    /** The tenant that the request's key belongs to; where requests need no keys, the address. */
    TENANT,
    /** The client's address. */
    ADDRESS
  }

  /** Reads a route's rule; null where it has none. */
  static Affinity of(final String route, final RouteKind kind, final SpecDocument.Affinity spec) {
    if (spec == null) {
      return null;
    }
    if (kind.repeatable()) {
      throw invalid(
          route,
          "carries no writes; leave affinity out, lookups and downloads go where there is room");
    }
    return of("route " + route, spec.by(), spec.header(), spec.pauseMs());
  }

  private static Affinity of(
      final String subject, final String by, final String header, final Double pause) {
    final CallerIdentity identity = by(by);
    if (identity == null) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          subject + " has affinity by '" + by + "'; give header, tenant or address");
    }
    if (identity == CallerIdentity.HEADER != (header != null)) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          subject
              + (identity == CallerIdentity.HEADER
                  ? " has affinity by header and names none; name the header"
                  : " names a header and has affinity by "
                      + by
                      + "; leave the header out or give by header"));
    }
    if (header != null
        && (header.isEmpty()
            || header.length() > MAX_HEADER_NAME_LENGTH
            || !header.matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+"))) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          subject
              + " has affinity by the header '"
              + header
              + "', which is no name of one; give letters, digits and signs such as - without blanks, at most "
              + MAX_HEADER_NAME_LENGTH);
    }
    if (pause != null && !(pause > 0)) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          subject + " has the pause " + pause + "; give pauseMs above 0");
    }
    return new Affinity(
        identity, header, pause == null ? DEFAULT_PAUSE_MILLIS : Math.max(1, pause.longValue()));
  }

  private static CallerIdentity by(final String text) {
    for (final CallerIdentity identity : CallerIdentity.values()) {
      if (identity.name().equalsIgnoreCase(text)) {
        return identity;
      }
    }
    return null;
  }

  private static WeldpointException invalid(final String route, final String problem) {
    return new WeldpointException(
        WeldpointException.Kind.INVALID, "route " + route + " " + problem);
  }

  /** Reads a setting: empty or off for none, otherwise address, tenant or header:NAME. */
  public static Affinity parseSetting(final String key, final String text) {
    if (text.isEmpty() || text.equals("off")) {
      return null;
    }
    final int colon = text.indexOf(':');
    return of(
        "setting " + key,
        colon < 0 ? text : text.substring(0, colon),
        colon < 0 ? null : text.substring(colon + 1),
        null);
  }

  /** The rule in force on a route, given what settings say of write routes without one. */
  public static Affinity effective(final Route route, final Affinity defaultAffinity) {
    return route.affinity != null
        ? route.affinity
        : route.kind.repeatable() ? null : defaultAffinity;
  }
}
