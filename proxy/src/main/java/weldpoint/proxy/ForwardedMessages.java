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

/** Requests as they are passed on to upstreams, and upstreams' answers as clients get them. */
final class ForwardedMessages {
  private static final int FIRST_REDIRECT = 300;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ForwardedMessages() {}

  /**
   * A client's request as an upstream gets it. The body is shared and its count of references
   * raised.
   *
   * @param upstream the id of the one upstream that may run it
   * @param millisLeft how long the upstream may work on it, in milliseconds
   */
  static FullHttpRequest request(
      final HttpRequest request, final ByteBuf body, final String upstream, final long millisLeft) {
    final FullHttpRequest forward =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, request.method(), request.uri(), body.retainedDuplicate());
    Headers.copyEndToEnd(request.headers(), forward.headers());
    forward.headers().set(Headers.DEADLINE_MS, Math.max(1, millisLeft));
    forward.headers().set(Headers.TARGET_INSTANCE, upstream);
    if (body.isReadable() || !mostlyWithoutBody(request.method())) {
      forward.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return forward;
  }

  private static boolean mostlyWithoutBody(final HttpMethod method) {
    return method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD);
  }

  /** Puts the tenant in the place of the client's key; null where the request is nobody's. */
  static void nameTenant(final FullHttpRequest forward, final RoutingTable.Tenant tenant) {
    forward.headers().remove(HttpHeaderNames.AUTHORIZATION);
    forward.headers().remove(Headers.TENANT);
    if (tenant != null) {
      forward.headers().set(Headers.TENANT, tenant.name());
    }
  }

  /**
   * Whether an answer may go to the client as it is: a success has its seal, and what may not run
   * again gets no status that promises it never ran.
   */
  static boolean mayPass(final HttpResponse head, final Route route) {
    final int status = head.status().code();
    if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
      return false;
    }
    if (status < FIRST_REDIRECT) {
      return head.headers().contains(Headers.SERVER_SEAL);
    }
    return route.kind.repeatable()
        || status != REQUEST_TIMEOUT && status != TOO_MANY_REQUESTS && status != UNAVAILABLE;
  }

  /** An upstream's answer as the client gets it; the body, which may be null, goes over to it. */
  static FullHttpResponse answer(
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
