package weldpoint.cli;

import io.avaje.jsonb.JsonType;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import weldpoint.audit.Authors;
import weldpoint.common.StrictJson;
import weldpoint.common.WeldpointException;

/**
 * Blocking client of the registry's control API, used by the commands. Tries the addresses in order
 * until one gives a definite response.
 */
final class ControlClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  private final List<String> addresses;
  private final String author;
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(TIMEOUT).version(HttpClient.Version.HTTP_1_1).build();

  ControlClient(final List<String> addresses) {
    this(addresses, null);
  }

  /**
   * Creates a client whose calls carry the author in a header; null for calls that change nothing.
   */
  ControlClient(final List<String> addresses, final String author) {
    this.addresses = addresses;
    this.author = author;
  }

  /**
   * Returns the default author of an operator's change: the name of the user who runs the command.
   */
  static String currentUser() {
    return System.getProperty("user.name", "");
  }

  private HttpRequest request(
      final String address, final String rpc, final String target, final String body) {
    final HttpRequest.Builder builder =
        HttpRequest.newBuilder(
                URI.create(
                    "http://"
                        + address
                        + "/api/rpc?call="
                        + rpc
                        + "&of="
                        + URLEncoder.encode(target, StandardCharsets.UTF_8)))
            .timeout(TIMEOUT);
    if (author != null) {
      builder.header(Authors.HEADER, Authors.check(author, 1));
    }
    return builder.POST(HttpRequest.BodyPublishers.ofString(body)).build();
  }

  /**
   * Returns the body of the first 200 response; sends neither body nor author. Throws {@link
   * WeldpointException} of kind OUT_OF_REACH if no address gives one.
   */
  byte[] callForBytes(final String rpc, final String target) throws InterruptedException {
    String lastError = "no address given";
    for (final String address : addresses) {
      try {
        final HttpResponse<byte[]> response =
            client.send(
                HttpRequest.newBuilder(
                        URI.create("http://" + address + "/api/rpc?call=" + rpc + "&of=" + target))
                    .timeout(TIMEOUT)
                    .POST(HttpRequest.BodyPublishers.noBody())
                    .build(),
                HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() == 200) {
          return response.body();
        }
        lastError = address + " answered " + response.statusCode();
      } catch (final IOException | IllegalArgumentException exception) {
        lastError = address + ": " + exception;
      }
    }
    throw new WeldpointException(
        WeldpointException.Kind.OUT_OF_REACH,
        "no exchange answered (" + lastError + "); check --control");
  }

  /**
   * Binds the body of a response to its type.
   *
   * @throws WeldpointException of kind UNREADABLE if it is not one complete JSON value
   */
  static <T> T parse(final JsonType<T> type, final String body) {
    final String text = StrictJson.check(body);
    try {
      return type.fromJson(text);
    } catch (final RuntimeException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the response cannot be parsed ("
              + problem.getMessage()
              + "); check --control, and that both sides run the same release");
    }
  }

  /**
   * Returns the body of the first 200 response. A status below 500 ends the search with the
   * response body as the error (409 as CONFLICT, others as INVALID); after a status of 500 or more
   * or an I/O error the next address is tried.
   */
  String call(final String rpc, final String target, final String body)
      throws InterruptedException {
    String lastError = "no address given";
    for (final String address : addresses) {
      try {
        final HttpResponse<String> response =
            client.send(request(address, rpc, target, body), HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() == 200) {
          return response.body();
        }
        if (response.statusCode() < 500) {
          throw new WeldpointException(
              response.statusCode() == 409
                  ? WeldpointException.Kind.CONFLICT
                  : WeldpointException.Kind.INVALID,
              response.body());
        }
        lastError = address + " answered " + response.statusCode() + " " + response.body();
      } catch (final IOException | IllegalArgumentException exception) {
        lastError = address + ": " + exception;
      }
    }
    throw new WeldpointException(
        WeldpointException.Kind.OUT_OF_REACH,
        "no exchange answered ("
            + lastError
            + "); check --control, or that the core has its majority");
  }
}
