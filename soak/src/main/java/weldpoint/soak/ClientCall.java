package weldpoint.soak;

/**
 * One request that a client sent, and what it heard.
 *
 * @param attemptId the request's {@code Weldpoint-Attempt-Id}
 * @param key its idempotency key; empty where it bears none
 * @param repeatable whether it may run more than once
 * @param sentAt when it was sent, in milliseconds of the steady clock
 * @param reply what the client heard
 */
record ClientCall(
    String attemptId, String key, boolean repeatable, long sentAt, ClientReply reply) {}
