package weldpoint.registry;

import io.avaje.jsonb.JsonType;
import java.nio.charset.StandardCharsets;
import weldpoint.common.WeldpointException;

/** A response: status, JSON body, and for a redirect its location (null otherwise). */
record ControlReply(int status, byte[] body, String location) {
  static final ControlReply EMPTY = new ControlReply(200, "{}".getBytes(StandardCharsets.UTF_8));

  ControlReply(final int status, final byte[] body) {
    this(status, body, null);
  }

  static <T> ControlReply of(final int status, final JsonType<T> type, final T value) {
    return new ControlReply(status, type.toJson(value).getBytes(StandardCharsets.UTF_8));
  }

  static ControlReply problem(final int status, final String message) {
    return of(status, ControlApi.PROBLEM, new ControlApi.Problem(message, null));
  }

  static ControlReply problem(final int status, final WeldpointException exception) {
    return of(
        status,
        ControlApi.PROBLEM,
        new ControlApi.Problem(exception.getMessage(), exception.kind().name()));
  }
}
