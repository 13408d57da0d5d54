package weldpoint.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.Map;

/**
 * Names of the HTTP headers that the system reads or sets, and helpers to parse and copy headers.
 * Stateless.
 */
public final class Headers {
  public static final AsciiString ATTEMPT_ID = AsciiString.cached("Weldpoint-Attempt-Id");
  public static final AsciiString DEADLINE_MS = AsciiString.cached("Weldpoint-Deadline-Ms");
  public static final AsciiString SERVER_SEAL = AsciiString.cached("Weldpoint-Server-Seal");
  public static final AsciiString TARGET_INSTANCE = AsciiString.cached("Weldpoint-Target-Instance");
  public static final AsciiString INSTANCE_LOAD = AsciiString.cached("Weldpoint-Instance-Load");
  public static final AsciiString NOT_EXECUTED = AsciiString.cached("Weldpoint-Not-Executed");
  public static final AsciiString TRIAL_TOKEN = AsciiString.cached("Weldpoint-Trial-Token");
  public static final AsciiString WARMUP_MS = AsciiString.cached("Weldpoint-Warmup-Ms");

  /**
   * The shard key, which assigns a request of a partitioned service to the upstream that owns the
   * key.
   */
  public static final AsciiString SHARD_KEY = AsciiString.cached("Weldpoint-Shard-Key");

  public static final AsciiString TENANT = AsciiString.cached("Weldpoint-Tenant");
  public static final AsciiString LABELS = AsciiString.cached("Weldpoint-Labels");

  private Headers() {}

  /**
   * Returns a header's value as whole milliseconds, or the fallback if it is absent or unreadable.
   */
  public static long parseMillis(
      final HttpHeaders headers, final CharSequence name, final long fallback) {
    final String value = headers.get(name);
    if (value == null) {
      return fallback;
    }
    try {
      return (long) Double.parseDouble(value.strip());
    } catch (final NumberFormatException ignored) {
      return fallback;
    }
  }

  /**
   * Copies end-to-end headers: all except hop-by-hop ones, those named in {@code Connection},
   * {@code Content-Length} and {@code Expect}.
   */
  public static void copyEndToEnd(final HttpHeaders from, final HttpHeaders to) {
    final String connectionOptions = connectionOptions(from);
    final Iterator<Map.Entry<CharSequence, CharSequence>> entries = from.iteratorCharSequence();
    while (entries.hasNext()) {
      final Map.Entry<CharSequence, CharSequence> entry = entries.next();
      final String name = entry.getKey().toString().toLowerCase(java.util.Locale.ROOT);
      if (!isHopByHop(name) && !connectionOptions.contains("," + name + ",")) {
        to.add(entry.getKey(), preserveBytes(entry.getValue()));
      }
    }
  }

  /** Returns the lower-case names listed in {@code Connection} headers, each between commas. */
  private static String connectionOptions(final HttpHeaders from) {
    final Iterator<String> values = from.valueStringIterator(HttpHeaderNames.CONNECTION);
    if (!values.hasNext()) {
      return "";
    }
    final StringBuilder options = new StringBuilder(",");
    while (values.hasNext()) {
      options
          .append(
              values.next().toLowerCase(java.util.Locale.ROOT).replace(" ", "").replace("\t", ""))
          .append(',');
    }
    return options.toString();
  }

  /**
   * Returns a value that is written with its original bytes: the encoder would replace non-ASCII
   * characters of other types by question marks.
   */
  private static CharSequence preserveBytes(final CharSequence value) {
    for (int index = 0; index < value.length(); index++) {
      if (value.charAt(index) > 126) {
        return AsciiString.of(value);
      }
    }
    return value;
  }

  private static boolean isHopByHop(final String name) {
    return switch (name) {
      case "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect" ->
          true;
      default -> false;
    };
  }
}
