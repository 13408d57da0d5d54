package weldpoint.soak;

/**
 * One large answer that a slow client asked for.
 *
 * @param attemptId the request's {@code Weldpoint-Attempt-Id}
 * @param proxy the proxy that took the request
 * @param sentAt when its last byte was sent, in milliseconds of the steady clock
 * @param endedAt when its answer was whole, or its connection ended, or the client gave up
 * @param whole whether a complete answer came
 */
record LargeDownload(String attemptId, int proxy, long sentAt, long endedAt, boolean whole) {}
