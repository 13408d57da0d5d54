package weldpoint.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.Map;

/** The headers that the system reads, as typed values. */
public final class Headers {
  public static final AsciiString ATTEMPT_ID = AsciiString.cached("Weldpoint-Attempt-Id");
  public static final AsciiString DEADLINE = AsciiString.cached("Weldpoint-Deadline-Ms");
  public static final AsciiString SEAL = AsciiString.cached("Weldpoint-Server-Seal");
  public static final AsciiString TARGET = AsciiString.cached("Weldpoint-Target-Instance");
  public static final AsciiString LOAD = AsciiString.cached("Weldpoint-Instance-Load");
  public static final AsciiString NOT_EXECUTED = AsciiString.cached("Weldpoint-Not-Executed");
  public static final AsciiString TRIAL_TOKEN = AsciiString.cached("Weldpoint-Trial-Token");
  public static final AsciiString WARMUP = AsciiString.cached("Weldpoint-Warmup-Ms");

  /** The key by which a request of a divided service belongs to one upstream. */
  public static final AsciiString SHARD_KEY = AsciiString.cached("Weldpoint-Shard-Key");

  public static final AsciiString TENANT = AsciiString.cached("Weldpoint-Tenant");
  public static final AsciiString LABELS = AsciiString.cached("Weldpoint-Labels");

  private Headers() {}

  /** A whole number of milliseconds, or the fallback. */
  public static long millis(
      final HttpHeaders headers, final CharSequence name, final long fallback) {
    final String text = headers.get(name);
    if (text == null) {
      return fallback;
    }
    try {
      return (long) Double.parseDouble(text.strip());
    } catch (final NumberFormatException unreadable) {
      return fallback;
    }
  }

  /** Copies headers, except those that concern one connection only. */
  public static void copy(final HttpHeaders from, final HttpHeaders to) {
    final String named = named(from);
    final Iterator<Map.Entry<CharSequence, CharSequence>> entries = from.iteratorCharSequence();
    while (entries.hasNext()) {
      final Map.Entry<CharSequence, CharSequence> entry = entries.next();
      final String name = entry.getKey().toString().toLowerCase(java.util.Locale.ROOT);
      if (!hop(name) && !named.contains("," + name + ",")) {
        to.add(entry.getKey(), bytes(entry.getValue()));
      }
    }
  }

  /** The names that Connection headers give, each between commas. */
  private static String named(final HttpHeaders from) {
    final Iterator<String> connections = from.valueStringIterator(HttpHeaderNames.CONNECTION);
    if (!connections.hasNext()) {
      return "";
    }
    final StringBuilder all = new StringBuilder(",");
    while (connections.hasNext()) {
      all.append(
              connections
                  .next()
                  .toLowerCase(java.util.Locale.ROOT)
                  .replace(" ", "")
                  .replace("\t", ""))
          .append(',');
    }
    return all.toString();
  }

  /**
   * A value as its bytes came: what the codec cannot write as ASCII would become question marks.
   */
  private static CharSequence bytes(final CharSequence value) {
    for (int index = 0; index < value.length(); index++) {
      if (value.charAt(index) > 126) {
        return AsciiString.of(value);
      }
    }
    return value;
  }

  private static boolean hop(final String name) {
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
