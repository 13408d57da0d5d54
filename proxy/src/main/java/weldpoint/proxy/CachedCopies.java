package weldpoint.proxy;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.KeyMessages;
import weldpoint.transport.Protocol;
import weldpoint.upstream.Headers;

/** What the door does with keys and copies. */
final class CachedCopies {
  private CachedCopies() {}

  /** The key that a request carries; null where there is none, or where it is not clear. */
  static String key(final HttpHeaders headers) {
    final List<String> given = headers.getAll(HttpHeaderNames.AUTHORIZATION);
    if (given.size() != 1 || !given.get(0).regionMatches(true, 0, "Bearer ", 0, 7)) {
      return null;
    }
    final String key = given.get(0).substring(7).strip();
    return key.isEmpty() || key.indexOf(' ') >= 0 || key.indexOf(',') >= 0 ? null : key;
  }

  /**
   * A copy as the answer to this request: the whole, or the part it asks for; null where it asks
   * for what lies beyond, since only the origin may say so under its seal.
   */
  static FullHttpResponse response(
      final HttpRequest request, final CacheMessages.CacheReadResponse copy) {
    final byte[] bytes = copy.body == null ? new byte[0] : copy.body;
    final List<String> headers = Protocol.emptyIfNull(copy.headers);
    final String condition = request.headers().get(HttpHeaderNames.IF_RANGE);
    final boolean whole =
        copy.status != 200 || condition != null && !condition.equals(etag(headers));
    final ByteRange portion =
        ByteRange.of(whole ? null : request.headers().get(HttpHeaderNames.RANGE), bytes.length);
    if (portion.beyond()) {
      return null;
    }
    final boolean part = portion.end() - portion.first() < bytes.length;
    final HttpResponseStatus status =
        part ? HttpResponseStatus.PARTIAL_CONTENT : HttpResponseStatus.valueOf(copy.status);
    final FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.wrappedBuffer(bytes, portion.first(), portion.end() - portion.first()));
    for (int index = 0; index + 1 < headers.size(); index += 2) {
      response.headers().add(headers.get(index), headers.get(index + 1));
    }
    final String id = request.headers().get(Headers.ATTEMPT_ID);
    if (id != null) {
      response.headers().set(Headers.ATTEMPT_ID, id);
    }
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, portion.end() - portion.first());
    if (part) {
      response
          .headers()
          .set(
              HttpHeaderNames.CONTENT_RANGE,
              "bytes " + portion.first() + "-" + (portion.end() - 1) + "/" + bytes.length);
    }
    return response;
  }

  /** The first answer of a key as the answer to a later request of the same key. */
  static FullHttpResponse repeated(
      final HttpRequest request, final KeyMessages.OutcomeResponse first) {
    final byte[] body = first.body == null ? new byte[0] : first.body;
    final FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(first.status),
            Unpooled.wrappedBuffer(body));
    final List<String> headers = Protocol.emptyIfNull(first.headers);
    for (int index = 0; index + 1 < headers.size(); index += 2) {
      response.headers().add(headers.get(index), headers.get(index + 1));
    }
    response.headers().set(Headers.ATTEMPT_ID, request.headers().get(Headers.ATTEMPT_ID));
    return response;
  }

  /** Headers as a list of names and values by turns. */
  static List<String> list(final HttpHeaders headers) {
    final List<String> list = new ArrayList<>();
    headers.forEach(
        header -> {
          list.add(header.getKey());
          list.add(header.getValue());
        });
    return list;
  }

  private static String etag(final List<String> headers) {
    for (int index = 0; index + 1 < headers.size(); index += 2) {
      if (headers.get(index).equalsIgnoreCase("etag")) {
        return headers.get(index + 1);
      }
    }
    return null;
  }
}
