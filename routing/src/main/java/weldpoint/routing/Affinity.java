package weldpoint.routing;

import weldpoint.common.WeldpointException;

/**
 * A rule of a route that sends all requests of a caller to the same upstream.
 *
 * @param by how callers are identified
 * @param header the request header that identifies callers; null unless {@code by} is {@link
 *     CallerIdentity#HEADER}
 * @param pauseMillis the time in milliseconds without requests after which a session ends
 */
public record Affinity(CallerIdentity by, String header, long pauseMillis) {
  private static final long DEFAULT_PAUSE_MILLIS = 60_000;
  private static final int MAX_HEADER_NAME_LENGTH = 64;

  /** How callers are identified. */
  public enum CallerIdentity {
    /** By a named header; a caller that does not send it is identified by its address. */
    HEADER,
    /**
     * By the tenant that the API key of the request belongs to; if requests need no keys, by the
     * address.
     */
    TENANT,
    /** By the client's address. */
    ADDRESS
  }

  /** Checks and converts the rule of a route; null if the route has none. */
  static Affinity of(final String route, final RouteKind kind, final SpecDocument.Affinity spec) {
    if (spec == null) {
      return null;
    }
    if (kind.repeatable()) {
      throw invalid(
          route,
          "carries no writes; leave affinity out, its requests go to any upstream with free capacity");
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
                  ? " has affinity by header but does not name one; name the header"
                  : " names a header but has affinity by "
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
              + "', which is no name of one; use letters, digits and characters such as - without spaces, at most "
              + MAX_HEADER_NAME_LENGTH);
    }
    if (pause != null && !(pause > 0)) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          subject + " has a pauseMs of " + pause + "; give pauseMs above 0");
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

  /**
   * Parses the value of a setting: empty or {@code off} for none (null), otherwise {@code address},
   * {@code tenant} or {@code header:NAME}.
   */
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

  /**
   * The rule that applies to a route: its own if it has one, none (null) if its requests are
   * repeatable, otherwise the default from the settings.
   */
  public static Affinity effective(final Route route, final Affinity defaultAffinity) {
    return route.affinity != null
        ? route.affinity
        : route.kind.repeatable() ? null : defaultAffinity;
  }
}
