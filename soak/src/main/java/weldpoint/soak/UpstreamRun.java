package weldpoint.soak;

/**
 * One execution of a request, recorded by a stand-in upstream when it begins.
 *
 * @param instance instance id of the upstream
 * @param attemptId {@code Weldpoint-Attempt-Id} of the request
 * @param key idempotency key; empty if the request has none
 * @param tenant tenant that the proxy added to the request; empty if it added none
 * @param startedAt when the execution began, in milliseconds of {@link Clock}
 */
record UpstreamRun(String instance, String attemptId, String key, String tenant, long startedAt) {}
