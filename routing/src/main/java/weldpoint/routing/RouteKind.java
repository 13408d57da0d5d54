package weldpoint.routing;

/** What may be repeated on a route. */
public enum RouteKind {
  /** May run more than once. */
  IDEMPOTENT(true),
  /** Runs at most once a try. */
  MUTATING(false),
  /** Large answers; may run more than once. */
  EGRESS(true),
  /** Objects that may be kept and given to others; may run more than once. */
  CACHEABLE(true);

  private final boolean repeatable;

  RouteKind(final boolean repeatable) {
    this.repeatable = repeatable;
  }

  /** Whether a request may run more than once. */
  public boolean repeatable() {
    return repeatable;
  }

  /** The kind of this name; whatever is unknown may not be repeated. */
  public static RouteKind of(final String name) {
    for (final RouteKind kind : values()) {
      if (kind.name().equalsIgnoreCase(name)) {
        return kind;
      }
    }
    return MUTATING;
  }
}
