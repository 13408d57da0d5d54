package weldpoint.soak;

/**
 * One download of a large response by a slow client.
 *
 * @param attemptId {@code Weldpoint-Attempt-Id} of the request
 * @param proxy index of the proxy that received the request
 * @param sentAt when the last byte of the request was sent, in milliseconds of {@link Clock}
 * @param endedAt when the response was complete, the connection ended or the client gave up
 * @param whole whether the complete response arrived
 */
record LargeDownload(String attemptId, int proxy, long sentAt, long endedAt, boolean whole) {}
