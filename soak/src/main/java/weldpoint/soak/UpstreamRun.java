package weldpoint.soak;

/**
 * One request that a stand-in upstream began to run.
 *
 * @param instance the upstream's instance id
 * @param attemptId the try's {@code Weldpoint-Attempt-Id}
 * @param key the idempotency key; empty where the request carries none
 * @param tenant the tenant that the proxy named; empty where it named none
 * @param startedAt when the run began, in milliseconds of the steady clock
 */
record UpstreamRun(String instance, String attemptId, String key, String tenant, long startedAt) {}
