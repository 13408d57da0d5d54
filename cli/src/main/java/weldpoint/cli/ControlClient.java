package weldpoint.cli;

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
import weldpoint.common.WeldpointException;

/** Calls the control interface of one of several exchanges: the first that gives a clear answer. */
final class ControlClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  private final List<String> addresses;
  private final String author;
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(TIMEOUT).version(HttpClient.Version.HTTP_1_1).build();

  ControlClient(final List<String> addresses) {
    this(addresses, null);
  }

  /** Calls in somebody's name; null where nothing is changed. */
  ControlClient(final List<String> addresses, final String author) {
    this.addresses = addresses;
    this.author = author;
  }

  /** Who an operator's command speaks for where no author is named: the user who runs it. */
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

  /** The bytes of a good answer. */
  byte[] callForBytes(final String rpc, final String target) throws InterruptedException {
    String lastError = "no address was given";
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

  /** The body of a good answer; anything else is a failure that names the remedy. */
  String call(final String rpc, final String target, final String body)
      throws InterruptedException {
    String lastError = "no address was given";
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
