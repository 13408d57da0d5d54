package weldpoint.simulation;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import weldpoint.transport.Compression;

/** What scripted callers write and read: bodies of the control interface. */
final class RequestBodies {
  private static final Pattern TAG = Pattern.compile("\"name\":\"tag-(\\w+)\"");
  private static final Pattern VERSION = Pattern.compile("\"version\":\"(\\w+)\"");
  private static final Pattern LOCATION = Pattern.compile("http://([0-9.]+)(?::[0-9]+)?(/.*)");

  private RequestBodies() {}

  /** A configuration whose content is named by a tag. */
  static String configuration(final long version, final String tag, final String flaw) {
    final String text =
        String.format(
            "{\"version\":\"%08x\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"listeners\":[{\"host\":\"a.example\",\"rules\":["
                + "{\"name\":\"tag-%s\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":300,\"priority\":2,\"match\":{\"pathPrefix\":\"/x/\"},\"action\":{\"service\":\"%s\",\"timeoutMs\":%d,\"maxAttempts\":%d,\"homeRegions\":[]}}]}],"
                + "\"pools\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConns\":120,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":12.0}]}",
            version,
            tag,
            flaw.equals("unknown_service") ? "nowhere" : "s",
            flaw.equals("no_timeout") ? 0 : 2000,
            flaw.equals("no_attempts") ? 0 : 2);
    return flaw.equals("cut_short") ? text.substring(0, text.length() - 40) : text;
  }

  /** The tag of a configuration. */
  static String tag(final String configuration) {
    final Matcher matcher = TAG.matcher(configuration);
    return matcher.find() ? matcher.group(1) : "?";
  }

  /** The tag of a configuration as it travels inside. */
  static String tag(final byte[] spec) {
    return tag(new String(Compression.inflate(spec), StandardCharsets.UTF_8));
  }

  /** The version of a configuration. */
  static long version(final String configuration) {
    final Matcher matcher = VERSION.matcher(configuration);
    return matcher.find() ? Long.parseLong(matcher.group(1), 16) : -1;
  }

  /** The number under a name; -1 where there is none. */
  static long number(final String body, final String name) {
    final Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(body);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
  }

  /** The text under a name; null where there is none. */
  static String word(final String body, final String name) {
    final Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
    return matcher.find() ? matcher.group(1) : null;
  }

  /** The address that a redirect leads to; null where it leads nowhere. */
  static String host(final String location) {
    final Matcher matcher = LOCATION.matcher(location == null ? "" : location);
    return matcher.matches() ? matcher.group(1) : null;
  }

  /** The path and query that a redirect leads to, or what was called where it leads nowhere. */
  static String path(final String location, final String called) {
    final Matcher matcher = LOCATION.matcher(location == null ? "" : location);
    return matcher.matches() ? matcher.group(2) : called;
  }
}
