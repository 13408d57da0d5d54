package weldpoint.common;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * Checks JSON from outside before it is bound to types: a text is accepted only if all of it is one
 * JSON value (RFC 8259) in well-formed UTF-8, without members of the same name, unpaired
 * surrogates, numbers beyond the range of a double, and with at most {@value #MAX_DEPTH} levels.
 * The binding itself reads the first value that it can and ignores what follows. Stateless.
 */
public final class StrictJson {
  /** The maximum nesting of objects and arrays. */
  public static final int MAX_DEPTH = 100;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_DEPTH)
                  .maxStringLength(Integer.MAX_VALUE)
                  .build())
          .build();

  private StrictJson() {}

  /**
   * Returns the text of a body that is one JSON value.
   *
   * @throws WeldpointException of kind UNREADABLE, with the place of the first error, if it is not
   */
  public static String decode(final byte[] body) {
    final String text;
    try {
      text =
          StandardCharsets.UTF_8
              .newDecoder()
              .onMalformedInput(CodingErrorAction.REPORT)
              .onUnmappableCharacter(CodingErrorAction.REPORT)
              .decode(ByteBuffer.wrap(body))
              .toString();
    } catch (final CharacterCodingException malformed) {
      throw unreadable("it is not well-formed UTF-8 (" + malformed.getMessage() + ")");
    }
    return check(text);
  }

  /**
   * Returns the given text if it is one JSON value.
   *
   * @throws WeldpointException of kind UNREADABLE, with the place of the first error, if it is not
   */
  public static String check(final String text) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() == null) {
        throw unreadable("it is empty");
      }
      checkValue(parser);
      if (parser.nextToken() != null) {
        throw unreadable("the value has ended before" + place(parser.currentTokenLocation()));
      }
      return text;
    } catch (final JsonProcessingException problem) {
      throw unreadable(problem.getOriginalMessage() + place(problem.getLocation()));
    } catch (final IOException impossible) {
      throw new IllegalStateException("reading a text in memory failed", impossible);
    }
  }

  private static void checkValue(final JsonParser parser) throws IOException {
    int depth = 0;
    do {
      final JsonToken token = parser.currentToken();
      if (token.isStructStart()) {
        depth++;
      } else if (token.isStructEnd()) {
        depth--;
      } else if (token == JsonToken.VALUE_STRING || token == JsonToken.FIELD_NAME) {
        checkSurrogates(parser);
      } else if (token.isNumeric() && !Double.isFinite(parser.getDoubleValue())) {
        throw unreadable(
            "the number "
                + parser.getText()
                + " is out of range"
                + place(parser.currentTokenLocation()));
      }
    } while (depth > 0 && parser.nextToken() != null);
  }

  /** An unpaired surrogate has no UTF-8 form, so it would be stored as another character. */
  private static void checkSurrogates(final JsonParser parser) throws IOException {
    final String text = parser.getText();
    for (int index = 0; index < text.length(); index++) {
      final char character = text.charAt(index);
      if (!Character.isSurrogate(character)) {
        continue;
      }
      final boolean paired =
          Character.isHighSurrogate(character)
              && index + 1 < text.length()
              && Character.isLowSurrogate(text.charAt(index + 1));
      if (!paired) {
        throw unreadable(
            "a text has half of a surrogate pair" + place(parser.currentTokenLocation()));
      }
      index++;
    }
  }

  private static String place(final JsonLocation location) {
    return location == null
        ? ""
        : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
  }

  private static WeldpointException unreadable(final String reason) {
    return new WeldpointException(
        WeldpointException.Kind.UNREADABLE,
        "the JSON cannot be read whole: " + reason + "; send one complete JSON value in UTF-8");
  }
}
