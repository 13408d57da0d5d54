package weldpoint.upstream;

import io.netty.handler.codec.http.HttpResponse;

/** The outcome of one attempt to have an upstream run a request. Recorded by ordinal. */
public enum AttemptOutcome {
  /** No result had arrived when the request itself ended. */
  OPEN,
  /** The upstream ran the request and a complete response was received. */
  ANSWERED,
  /** The upstream stated that it did not run the request, or nothing was sent. */
  NOT_RUN,
  /** The request may have run. */
  UNCERTAIN;

  /**
   * Returns the outcome of an attempt from its completion status and, where a response came, its
   * head. A response with a status below 400 that also carries {@code Weldpoint-Not-Executed}
   * contradicts itself and counts as {@link #UNCERTAIN}.
   */
  public static AttemptOutcome of(
      final UpstreamConnection.CompletionStatus completionStatus, final HttpResponse head) {
    return switch (completionStatus) {
      case UNSENT -> NOT_RUN;
      case UNCERTAIN -> UNCERTAIN;
      case ANSWERED ->
          ofResponse(head.status().code(), head.headers().contains(Headers.NOT_EXECUTED));
    };
  }

  /**
   * Returns the outcome of an attempt for a client's request. A response counts only if it echoes
   * an attempt id; without one the outcome is {@link #UNCERTAIN}.
   */
  public static AttemptOutcome ofIdentifiedResponse(
      final UpstreamConnection.CompletionStatus completionStatus, final HttpResponse head) {
    return completionStatus == UpstreamConnection.CompletionStatus.ANSWERED
            && !head.headers().contains(Headers.ATTEMPT_ID)
        ? UNCERTAIN
        : of(completionStatus, head);
  }

  private static AttemptOutcome ofResponse(final int status, final boolean notExecuted) {
    if (status == 421 || notExecuted && status >= 400) {
      return NOT_RUN;
    }
    return notExecuted ? UNCERTAIN : ANSWERED;
  }
}
