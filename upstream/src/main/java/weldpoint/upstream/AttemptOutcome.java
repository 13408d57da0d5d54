package weldpoint.upstream;

import io.netty.handler.codec.http.HttpResponse;

/** How a recorded try ended. */
public enum AttemptOutcome {
  /** Nothing came while the request was waited for. */
  OPEN,
  /** A proper answer came. */
  ANSWERED,
  /** The upstream did not run it, or nothing was sent. */
  NOT_RUN,
  /** It may have run. */
  UNCERTAIN;

  /**
   * The fate of a try that ended so. An answer that says both that it did and that it did not run
   * is no proof of either.
   */
  public static AttemptOutcome of(final UpstreamConnection.End end, final HttpResponse head) {
    return switch (end) {
      case UNSENT -> NOT_RUN;
      case UNCERTAIN -> UNCERTAIN;
      case ANSWERED ->
          answered(head.status().code(), head.headers().contains(Headers.NOT_EXECUTED));
    };
  }

  /**
   * The fate of a client's request: only an answer that names the request by its id counts as its
   * own.
   */
  public static AttemptOutcome named(final UpstreamConnection.End end, final HttpResponse head) {
    return end == UpstreamConnection.End.ANSWERED && !head.headers().contains(Headers.ATTEMPT_ID)
        ? UNCERTAIN
        : of(end, head);
  }

  private static AttemptOutcome answered(final int status, final boolean declined) {
    if (status == 421 || declined && status >= 400) {
      return NOT_RUN;
    }
    return declined ? UNCERTAIN : ANSWERED;
  }
}
