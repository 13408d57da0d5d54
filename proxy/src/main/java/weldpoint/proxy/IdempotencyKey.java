package weldpoint.proxy;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The idempotency key of a request: two requests of one tenant that bear the same key are one piece
 * of work, which runs once.
 *
 * @param high the first half of the digest of tenant and key
 * @param low the second half
 * @param fingerprint a digest of method, host, target and body, by which a key that is used for
 *     something else is told
 */
record IdempotencyKey(long high, long low, long fingerprint) {
  /**
   * The key that a request bears; null where it bears none.
   *
   * @param names the headers that may bear it, the first one that is there counts
   * @param tenant the tenant's name; null where the request has none
   */
  static IdempotencyKey of(
      final HttpRequest request,
      final ByteBuf body,
      final List<String> names,
      final String tenant) {
    for (final String name : names) {
      final String value = request.headers().get(name);
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
    text(hasher, tenant == null ? "" : tenant);
    text(hasher, key);
    return ByteBuffer.wrap(hasher.hash().asBytes());
  }

  private static long fingerprint(final HttpRequest request, final ByteBuf body) {
    final Hasher hasher = Hashing.sha256().newHasher();
    text(hasher, request.method().name());
    text(hasher, String.valueOf(request.headers().get(HttpHeaderNames.HOST)));
    text(hasher, request.uri());
    for (final ByteBuffer part : body.nioBuffers()) {
      hasher.putBytes(part);
    }
    return hasher.hash().asLong();
  }

  private static void text(final Hasher hasher, final String text) {
    hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
  }
}
