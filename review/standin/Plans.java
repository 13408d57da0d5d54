package weldpoint.review;

import java.util.LinkedHashMap;
import java.util.Map;

/** Settings and configurations like those of the kit's caroni-book deployments. */
final class Plans {
  static final String HOST = "firms.example";

  private Plans() {}

  /** Fields of the settings file that all machines share; linkMbps is a machine's own bandwidth. */
  static Map<String, String> fields(final String linkMbps) {
    final Map<String, String> fields = new LinkedHashMap<>();
    fields.put("limits.memoryMb", "430");
    fields.put("limits.maxFds", "4100");
    fields.put("limits.linkMbps", linkMbps);
    fields.put("heartbeatMs", "1500");
    fields.put("bounds.drainMs", "3000");
    fields.put("bounds.graceS", "6");
    fields.put("bounds.historyS", "20");
    fields.put("bounds.retryRatio", "0.2");
    fields.put("bounds.retryWindowS", "10");
    fields.put("bounds.retrySlack", "150");
    fields.put("bounds.warmupOvershoot", "1.5");
    fields.put("bounds.warmupTolerance", "8");
    fields.put("bounds.ttl_max_s", "5");
    fields.put("bounds.reuseDelayS", "2");
    fields.put("bounds.maxStretchMs", "6000");
    fields.put("bounds.holdLimitMs", "10000");
    return fields;
  }

  private static String rule(
      final String name, final String kind, final String prefix, final String service, final int timeout) {
    return "{\"name\":\"" + name + "\",\"routeKind\":\"" + kind
        + "\",\"targetLatencyMs\":1500,\"priority\":1,\"match\":{\"pathPrefix\":\"" + prefix
        + "\"},\"action\":{\"service\":\"" + service + "\",\"timeoutMs\":" + timeout
        + ",\"maxAttempts\":2,\"homeRegions\":[]}}";
  }

  private static String pool(final String name, final boolean partitioned) {
    return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":390,\"protocol\":\"h1\","
        + "\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":12.0"
        + (partitioned ? ",\"partitioned\":true" : "") + "}";
  }

  static String configuration(final int version, final int idleMillis) {
    return configuration(version, idleMillis, false, "");
  }

  static String configuration(
      final int version, final int idleMillis, final boolean partitioned) {
    return configuration(version, idleMillis, partitioned, "");
  }

  /** Tenants are given as they stand in the configuration, with a comma behind; empty for none. */
  static String configuration(
      final int version, final int idleMillis, final boolean partitioned, final String tenants) {
    return String.format("{\"version\":\"%08x\",", version)
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":" + idleMillis + "}," + tenants + "\"listeners\":[{\"host\":\"" + HOST + "\",\"rules\":["
        + rule("avail-lookup", "idempotent", "/look/", "booking-desk", 6000) + ","
        + rule("move-confirm", "mutating", "/book/", "booking-desk", 6000) + ","
        + rule("sheet-pull", "egress", "/pull/", "doc-store", 6000)
        + "]}],\"pools\":[" + pool("booking-desk", partitioned) + "," + pool("doc-store", false) + "]}";
  }
}
