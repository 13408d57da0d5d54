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

/**
 * API keys of requests, and responses that are built from stored ones: cached objects and the first
 * responses of idempotent requests. Responses wrap the stored bytes without copying them.
 */
final class CachedCopies {
  private CachedCopies() {}

  /** Returns the API key of a request; null if there is none or it is ambiguous. */
  static String bearerKey(final HttpHeaders headers) {
    final List<String> values = headers.getAll(HttpHeaderNames.AUTHORIZATION);
    if (values.size() != 1 || !values.get(0).regionMatches(true, 0, "Bearer ", 0, 7)) {
      return null;
    }
    final String key = values.get(0).substring(7).strip();
    return key.isEmpty() || key.indexOf(' ') >= 0 || key.indexOf(',') >= 0 ? null : key;
  }

  /**
   * Builds the response to a request from a cached object, whole or the requested range. Null if
   * the range lies beyond the object, since only the origin may state that under its server seal.
   */
  static FullHttpResponse response(
      final HttpRequest request, final CacheMessages.CacheReadResponse cached) {
    final byte[] bytes = cached.body == null ? new byte[0] : cached.body;
    final List<String> headers = Protocol.emptyIfNull(cached.headers);
    final String condition = request.headers().get(HttpHeaderNames.IF_RANGE);
    final boolean whole =
        cached.status != 200 || condition != null && !condition.equals(etag(headers));
    final ByteRange range =
        ByteRange.of(whole ? null : request.headers().get(HttpHeaderNames.RANGE), bytes.length);
    if (range.unsatisfiable()) {
      return null;
    }
    final boolean partial = range.end() - range.first() < bytes.length;
    final HttpResponseStatus status =
        partial ? HttpResponseStatus.PARTIAL_CONTENT : HttpResponseStatus.valueOf(cached.status);
    final FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.wrappedBuffer(bytes, range.first(), range.end() - range.first()));
    for (int index = 0; index + 1 < headers.size(); index += 2) {
      response.headers().add(headers.get(index), headers.get(index + 1));
    }
    final String attemptId = request.headers().get(Headers.ATTEMPT_ID);
    if (attemptId != null) {
      response.headers().set(Headers.ATTEMPT_ID, attemptId);
    }
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, range.end() - range.first());
    if (partial) {
      response
          .headers()
          .set(
              HttpHeaderNames.CONTENT_RANGE,
              "bytes " + range.first() + "-" + (range.end() - 1) + "/" + bytes.length);
    }
    return response;
  }

  /**
   * Builds the response to a later request with the same idempotency key from the first response.
   */
  static FullHttpResponse duplicateResponse(
      final HttpRequest request, final KeyMessages.OutcomeResponse original) {
    final byte[] body = original.body == null ? new byte[0] : original.body;
    final FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(original.status),
            Unpooled.wrappedBuffer(body));
    final List<String> headers = Protocol.emptyIfNull(original.headers);
    for (int index = 0; index + 1 < headers.size(); index += 2) {
      response.headers().add(headers.get(index), headers.get(index + 1));
    }
    response.headers().set(Headers.ATTEMPT_ID, request.headers().get(Headers.ATTEMPT_ID));
    return response;
  }

  /** Lists headers as alternating names and values. */
  static List<String> headerList(final HttpHeaders headers) {
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
