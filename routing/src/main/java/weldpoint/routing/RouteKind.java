package weldpoint.routing;

/** Classifies routes by whether a request may be executed more than once. */
public enum RouteKind {
  /** Requests may be executed more than once. */
  IDEMPOTENT(true),
  /** Writes: each attempt is executed at most once. */
  MUTATING(false),
  /** Large responses; requests may be executed more than once. */
  EGRESS(true),
  /**
   * Responses that may be cached and served to other clients; requests may be executed more than
   * once.
   */
  CACHEABLE(true);

  private final boolean repeatable;

  RouteKind(final boolean repeatable) {
    this.repeatable = repeatable;
  }

  /** Whether a request may be executed more than once. */
  public boolean repeatable() {
    return repeatable;
  }

  /**
   * The kind of this name, in any case. An unknown name or null is {@link #MUTATING}, so that its
   * requests are not repeated.
   */
  public static RouteKind of(final String name) {
    for (final RouteKind kind : values()) {
      if (kind.name().equalsIgnoreCase(name)) {
        return kind;
      }
    }
    return MUTATING;
  }
}
