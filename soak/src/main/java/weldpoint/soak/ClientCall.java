package weldpoint.soak;

/**
 * One request of a client, with its response.
 *
 * @param attemptId {@code Weldpoint-Attempt-Id} of the request
 * @param key idempotency key; empty if the request has none
 * @param repeatable whether upstreams may execute the request more than once
 * @param sentAt when the request was sent, in milliseconds of {@link Clock}
 * @param reply the response that the client received
 */
record ClientCall(
    String attemptId, String key, boolean repeatable, long sentAt, ClientReply reply) {}
