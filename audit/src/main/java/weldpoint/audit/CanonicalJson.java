package weldpoint.audit;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a JSON text says, whatever its white space, the order of its keys, its escapes and the forms
 * of its numbers: two texts that say the same have one canonical form, and so one digest. The order
 * of lists counts.
 */
public final class CanonicalJson {
  private static final int DEEPEST = 100;
  private static final int LONGEST_NUMBER = 64;

  private final String text;
  private final StringBuilder out;
  private int at;

  private CanonicalJson(final String text) {
    this.text = text;
    this.out = new StringBuilder(text.length());
  }

  /** The SHA-256 of the canonical form; of the bytes as they are where they are not JSON. */
  public static byte[] digest(final byte[] json) {
    final String canonical = canonical(json);
    try {
      return MessageDigest.getInstance("SHA-256")
          .digest(canonical == null ? json : canonical.getBytes(StandardCharsets.UTF_8));
    } catch (final NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(
          "this Java has no SHA-256; run it on a complete one", impossible);
    }
  }

  /** The canonical form; null where the bytes are not JSON. */
  static String canonical(final byte[] json) {
    final CanonicalJson reader = new CanonicalJson(new String(json, StandardCharsets.UTF_8));
    return reader.value(0) && reader.next() < 0 ? reader.out.toString() : null;
  }

  /** The next character that is no white space, which is not taken; -1 at the end. */
  private int next() {
    while (at < text.length()) {
      final char one = text.charAt(at);
      if (one != ' ' && one != '\n' && one != '\r' && one != '\t') {
        return one;
      }
      at++;
    }
    return -1;
  }

  private boolean takes(final char wanted) {
    if (next() != wanted) {
      return false;
    }
    at++;
    return true;
  }

  private boolean value(final int depth) {
    final int first = next();
    return switch (first) {
      case '{' -> depth < DEEPEST && object(depth + 1);
      case '[' -> depth < DEEPEST && list(depth + 1);
      case '"' -> string();
      case 't' -> word("true");
      case 'f' -> word("false");
      case 'n' -> word("null");
      default -> first >= 0 && number();
    };
  }

  private boolean word(final String word) {
    if (!text.startsWith(word, at)) {
      return false;
    }
    at += word.length();
    out.append(word);
    return true;
  }

  private boolean object(final int depth) {
    at++;
    final int from = out.length();
    final Map<String, String> members = new TreeMap<>();
    if (!takes('}')) {
      do {
        out.setLength(from);
        if (next() != '"' || !string() || !takes(':')) {
          return false;
        }
        final String name = out.substring(from);
        out.setLength(from);
        if (!value(depth)) {
          return false;
        }
        members.put(name, out.substring(from));
      } while (takes(','));
      if (!takes('}')) {
        return false;
      }
    }
    out.setLength(from);
    out.append('{');
    members.forEach(
        (name, value) ->
            out.append(out.length() == from + 1 ? "" : ",").append(name).append(':').append(value));
    out.append('}');
    return true;
  }

  private boolean list(final int depth) {
    at++;
    out.append('[');
    if (takes(']')) {
      out.append(']');
      return true;
    }
    do {
      if (!value(depth)) {
        return false;
      }
      out.append(',');
    } while (takes(','));
    out.setCharAt(out.length() - 1, ']');
    return takes(']');
  }

  private boolean string() {
    at++;
    out.append('"');
    while (at < text.length()) {
      final char one = text.charAt(at++);
      if (one == '"') {
        out.append('"');
        return true;
      }
      if (one != '\\') {
        put(one);
      } else if (!escaped()) {
        return false;
      }
    }
    return false;
  }

  private boolean escaped() {
    if (at >= text.length()) {
      return false;
    }
    final char one = text.charAt(at++);
    switch (one) {
      case '"', '\\', '/' -> put(one);
      case 'b' -> put('\b');
      case 'f' -> put('\f');
      case 'n' -> put('\n');
      case 'r' -> put('\r');
      case 't' -> put('\t');
      case 'u' -> {
        int code = 0;
        for (int digit = 0; digit < 4; digit++) {
          final int value = at < text.length() ? Character.digit(text.charAt(at++), 16) : -1;
          if (value < 0) {
            return false;
          }
          code = code * 16 + value;
        }
        put((char) code);
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private void put(final char one) {
    if (one == '"' || one == '\\') {
      out.append('\\').append(one);
    } else if (one < ' ' || Character.isSurrogate(one)) {
      out.append(String.format("\\u%04x", (int) one));
    } else {
      out.append(one);
    }
  }

  private boolean number() {
    final int from = at;
    while (at < text.length()
        && (Character.digit(text.charAt(at), 10) >= 0 && text.charAt(at) < 128
            || "+-.eE".indexOf(text.charAt(at)) >= 0)) {
      at++;
    }
    final String digits = text.substring(from, at);
    if (digits.isEmpty()) {
      return false;
    }
    if (digits.length() > LONGEST_NUMBER) {
      out.append(digits);
      return true;
    }
    try {
      final BigDecimal number = new BigDecimal(digits);
      out.append(number.signum() == 0 ? "0" : number.stripTrailingZeros().toString());
      return true;
    } catch (final NumberFormatException problem) {
      return false;
    }
  }
}
