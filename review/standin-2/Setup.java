import java.util.List;

/** Configurations of the small deployment of the cases. */
final class Setup {
  private Setup() {}

  static String rule(String name, String kind, String prefix, String service, int timeoutMillis) {
    return "{\"name\":\"" + name + "\",\"routeKind\":\"" + kind
        + "\",\"targetLatencyMs\":1000,\"priority\":1,\"match\":{\"pathPrefix\":\"" + prefix
        + "\"},\"action\":{\"service\":\"" + service + "\",\"timeoutMs\":" + timeoutMillis
        + ",\"maxAttempts\":2,\"homeRegions\":[]}}";
  }

  static String pool(String name) {
    return "{\"name\":\"" + name
        + "\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,"
        + "\"warmupS\":3.0,\"warmupPerS\":7.7}";
  }

  static String configuration(String version, List<String> rules, List<String> pools) {
    return "{\"version\":\"" + version
        + "\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"listeners\":[{\"host\":\"desk.example\","
        + "\"rules\":[" + String.join(",", rules) + "]}],\"pools\":[" + String.join(",", pools) + "]}";
  }
}
