package weldpoint.proxy;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The idempotency key of a request: requests of one tenant with the same key are one operation,
 * which runs once.
 *
 * @param high the first half of the digest of tenant and key
 * @param low the second half
 * @param fingerprint a digest of method, host, target and body, which detects a key that is reused
 *     for a different request
 */
record IdempotencyKey(long high, long low, long fingerprint) {
  /** The maximum length of a key, in characters. */
  static final int MAX_LENGTH = 1024;

  /**
   * Returns why the key of a request cannot be used: it is empty, too long or given more than once.
   * Null if the request may proceed, with a key or without one.
   *
   * @param headerNames the headers that may contain the key; the first one present counts
   */
  static String rejection(final HttpHeaders headers, final List<String> headerNames) {
    for (final String headerName : headerNames) {
      final List<String> values = headers.getAll(headerName);
      if (values.size() > 1) {
        return "the request has more than one " + headerName + " header; send one key";
      }
      if (values.size() == 1 && values.get(0).isBlank()) {
        return "the " + headerName + " header is empty; send a key, or leave the header out";
      }
      if (values.size() == 1 && values.get(0).length() > MAX_LENGTH) {
        return "the " + headerName + " header is longer than " + MAX_LENGTH + " characters";
      }
      if (values.size() == 1) {
        return null;
      }
    }
    return null;
  }

  /**
   * Returns the key of a request; null if it has none.
   *
   * @param headerNames the headers that may contain it; the first one present counts
   * @param tenant the tenant's name; null if the request has none
   */
  static IdempotencyKey of(
      final HttpRequest request,
      final ByteBuf body,
      final List<String> headerNames,
      final String tenant) {
    for (final String headerName : headerNames) {
      final String value = request.headers().get(headerName);
      if (value != null && !value.isBlank()) {
        return new IdempotencyKey(digest(tenant, value.strip()), fingerprint(request, body));
      }
    }
    return null;
  }

  private IdempotencyKey(final ByteBuffer digest, final long fingerprint) {
    this(digest.getLong(0), digest.getLong(8), fingerprint);
  }

  private static ByteBuffer digest(final String tenant, final String key) {
    final Hasher hasher = Hashing.sha256().newHasher();
    putText(hasher, tenant == null ? "" : tenant);
    putText(hasher, key);
    return ByteBuffer.wrap(hasher.hash().asBytes());
  }

  private static long fingerprint(final HttpRequest request, final ByteBuf body) {
    final Hasher hasher = Hashing.sha256().newHasher();
    putText(hasher, request.method().name());
    putText(hasher, String.valueOf(request.headers().get(HttpHeaderNames.HOST)));
    putText(hasher, request.uri());
    for (final ByteBuffer part : body.nioBuffers()) {
      hasher.putBytes(part);
    }
    return hasher.hash().asLong();
  }

  private static void putText(final Hasher hasher, final String text) {
    hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
  }
}
