package weldpoint.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import weldpoint.routing.Route;
import weldpoint.routing.RoutingTable;
import weldpoint.upstream.Headers;

/**
 * Builds the requests that are forwarded to upstreams and the responses that are forwarded to
 * clients. Called by {@link ProxiedRequest}.
 */
final class ForwardedMessages {
  private static final int FIRST_REDIRECT = 300;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ForwardedMessages() {}

  /**
   * Builds the request that is sent to an upstream. The body is shared: its reference count is
   * incremented, and the returned request owns that reference.
   *
   * @param upstreamId the id of the only upstream that may run it
   * @param remainingMillis how long the upstream may work on it, in milliseconds
   */
  static FullHttpRequest request(
      final HttpRequest request,
      final ByteBuf body,
      final String upstreamId,
      final long remainingMillis) {
    final FullHttpRequest forwardedRequest =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, request.method(), request.uri(), body.retainedDuplicate());
    Headers.copyEndToEnd(request.headers(), forwardedRequest.headers());
    forwardedRequest.headers().set(Headers.DEADLINE_MS, Math.max(1, remainingMillis));
    forwardedRequest.headers().set(Headers.TARGET_INSTANCE, upstreamId);
    if (body.isReadable() || !usuallyBodiless(request.method())) {
      forwardedRequest.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return forwardedRequest;
  }

  private static boolean usuallyBodiless(final HttpMethod method) {
    return method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD);
  }

  /**
   * Replaces the client's API key by the tenant's name; {@code tenant} is null if the request has
   * none.
   */
  static void replaceCredentials(
      final FullHttpRequest forwardedRequest, final RoutingTable.Tenant tenant) {
    forwardedRequest.headers().remove(HttpHeaderNames.AUTHORIZATION);
    forwardedRequest.headers().remove(Headers.TENANT);
    if (tenant != null) {
      forwardedRequest.headers().set(Headers.TENANT, tenant.name());
    }
  }

  /**
   * Whether a response may be forwarded unchanged: a success must bear the server seal, and a
   * request that may not be repeated gets no status that promises it never ran.
   */
  static boolean mayForward(final HttpResponse head, final Route route) {
    final int status = head.status().code();
    if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
      return false;
    }
    if (status < FIRST_REDIRECT) {
      return head.headers().contains(Headers.SERVER_SEAL);
    }
    return route.kind.repeatable()
        || status != REQUEST_TIMEOUT
            && status != TOO_MANY_REQUESTS
            && status != SERVICE_UNAVAILABLE;
  }

  /**
   * Builds the response that is sent to the client. It takes over the reference to {@code body},
   * which may be null.
   */
  static FullHttpResponse response(
      final HttpRequest request, final HttpResponse head, final ByteBuf body) {
    final FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, head.status(), body == null ? Unpooled.EMPTY_BUFFER : body);
    Headers.copyEndToEnd(head.headers(), response.headers());
    final int status = head.status().code();
    if (request.method().equals(HttpMethod.HEAD)) {
      final String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
      if (length != null) {
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
      }
    } else if (status != NO_CONTENT && status != NOT_MODIFIED) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    }
    return response;
  }
}
