package weldpoint.audit;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Converts JSON to a canonical form, which does not depend on white space, the order of keys,
 * escapes and the notation of numbers. Equivalent texts have the same canonical form and therefore
 * the same digest. The order of the elements of an array is significant; of members with the same
 * key, the last one is kept.
 */
public final class CanonicalJson {
  private static final int MAX_DEPTH = 100;
  private static final int MAX_NUMBER_LENGTH = 64;

  private final String text;
  private final StringBuilder out;
  private int position;

  private CanonicalJson(final String text) {
    this.text = text;
    this.out = new StringBuilder(text.length());
  }

  /** The SHA-256 of the canonical form, or of the bytes themselves if they are not JSON. */
  public static byte[] digest(final byte[] json) {
    final String canonical = canonical(json);
    try {
      return MessageDigest.getInstance("SHA-256")
          .digest(canonical == null ? json : canonical.getBytes(StandardCharsets.UTF_8));
    } catch (final NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(
          "this Java runtime has no SHA-256; use a complete JDK or JRE", impossible);
    }
  }

  /** The canonical form; null if the bytes are not JSON or nested more than 100 levels deep. */
  static String canonical(final byte[] json) {
    final CanonicalJson reader = new CanonicalJson(new String(json, StandardCharsets.UTF_8));
    return reader.value(0) && reader.peek() < 0 ? reader.out.toString() : null;
  }

  /** Skips white space and returns the next character without consuming it; -1 at the end. */
  private int peek() {
    while (position < text.length()) {
      final char character = text.charAt(position);
      if (character != ' ' && character != '\n' && character != '\r' && character != '\t') {
        return character;
      }
      position++;
    }
    return -1;
  }

  private boolean consume(final char expected) {
    if (peek() != expected) {
      return false;
    }
    position++;
    return true;
  }

  private boolean value(final int depth) {
    final int first = peek();
    return switch (first) {
      case '{' -> depth < MAX_DEPTH && object(depth + 1);
      case '[' -> depth < MAX_DEPTH && array(depth + 1);
      case '"' -> string();
      case 't' -> literal("true");
      case 'f' -> literal("false");
      case 'n' -> literal("null");
      default -> first >= 0 && number();
    };
  }

  private boolean literal(final String literal) {
    if (!text.startsWith(literal, position)) {
      return false;
    }
    position += literal.length();
    out.append(literal);
    return true;
  }

  private boolean object(final int depth) {
    position++;
    final int start = out.length();
    final Map<String, String> members = new TreeMap<>();
    if (!consume('}')) {
      do {
        out.setLength(start);
        if (peek() != '"' || !string() || !consume(':')) {
          return false;
        }
        final String name = out.substring(start);
        out.setLength(start);
        if (!value(depth)) {
          return false;
        }
        members.put(name, out.substring(start));
      } while (consume(','));
      if (!consume('}')) {
        return false;
      }
    }
    out.setLength(start);
    out.append('{');
    members.forEach(
        (name, value) ->
            out.append(out.length() == start + 1 ? "" : ",")
                .append(name)
                .append(':')
                .append(value));
    out.append('}');
    return true;
  }

  private boolean array(final int depth) {
    position++;
    out.append('[');
    if (consume(']')) {
      out.append(']');
      return true;
    }
    do {
      if (!value(depth)) {
        return false;
      }
      out.append(',');
    } while (consume(','));
    out.setCharAt(out.length() - 1, ']');
    return consume(']');
  }

  private boolean string() {
    position++;
    out.append('"');
    while (position < text.length()) {
      final char character = text.charAt(position++);
      if (character == '"') {
        out.append('"');
        return true;
      }
      if (character != '\\') {
        appendEscaped(character);
      } else if (!escapeSequence()) {
        return false;
      }
    }
    return false;
  }

  private boolean escapeSequence() {
    if (position >= text.length()) {
      return false;
    }
    final char character = text.charAt(position++);
    switch (character) {
      case '"', '\\', '/' -> appendEscaped(character);
      case 'b' -> appendEscaped('\b');
      case 'f' -> appendEscaped('\f');
      case 'n' -> appendEscaped('\n');
      case 'r' -> appendEscaped('\r');
      case 't' -> appendEscaped('\t');
      case 'u' -> {
        int code = 0;
        for (int digit = 0; digit < 4; digit++) {
          final int value =
              position < text.length() ? Character.digit(text.charAt(position++), 16) : -1;
          if (value < 0) {
            return false;
          }
          code = code * 16 + value;
        }
        appendEscaped((char) code);
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private void appendEscaped(final char character) {
    if (character == '"' || character == '\\') {
      out.append('\\').append(character);
    } else if (character < ' ' || Character.isSurrogate(character)) {
      out.append(String.format("\\u%04x", (int) character));
    } else {
      out.append(character);
    }
  }

  private boolean number() {
    final int start = position;
    while (position < text.length()
        && (Character.digit(text.charAt(position), 10) >= 0 && text.charAt(position) < 128
            || "+-.eE".indexOf(text.charAt(position)) >= 0)) {
      position++;
    }
    final String digits = text.substring(start, position);
    if (digits.isEmpty()) {
      return false;
    }
    if (digits.length() > MAX_NUMBER_LENGTH) {
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
