package weldpoint.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.metrics.Metric;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * Tests one connection to an upstream whose responses are truncated, split and corrupted at every
 * byte: each request is notified once, and only of its own result.
 */
public final class UpstreamConnectionTest {
  private static final String WITH_LENGTH =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
  private static final String EMPTY =
      "HTTP/1.1 503 Busy\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String WITHOUT_LENGTH =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\n\r\nbody";
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
  private static final String OTHER_REQUEST =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: other\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwrong";

  /** One connection with the results that its requests were notified of. */
  private static final class Wire {
    private final UpstreamConnection.Decoder decoder = new UpstreamConnection.Decoder();
    private final List<String> unsolicited = new ArrayList<>();
    private final UnframedResponseCounts unframed = new UnframedResponseCounts();

    private List<Double> unframedCounts() {
      return unframed.metrics().stream().map(Metric::value).toList();
    }

    private final UpstreamConnection connection =
        new UpstreamConnection(
            new Upstream(
                new Registration("i", "s", "10.0.0.1:80", "a", "v", 4, 0, 1, 0, 0), "r", 0),
            decoder,
            unsolicited::add,
            unframed);
    private final EmbeddedChannel channel =
        new EmbeddedChannel(decoder, new HttpRequestEncoder(), connection);
    private final List<String> results = new ArrayList<>();
    private int writtenBytes;

    private Wire() {
      connection.connected(channel);
    }

    private Wire sendRequest(final String id) {
      final DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
      request.headers().set(Headers.ATTEMPT_ID, id);
      connection.send(
          request,
          id,
          (completionStatus, head, body) ->
              results.add(describe(id, completionStatus, head, body)));
      writtenBytes = drainOutbound();
      return this;
    }

    private Wire receive(final String text) {
      if (channel.isOpen()) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
      }
      return this;
    }

    private Wire disconnect() {
      channel.close();
      return this;
    }

    /** The upstream ends its side of the connection in order. */
    private Wire endOfStream() {
      channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      return this;
    }

    /** The upstream resets the connection: an exception comes first, as from a socket. */
    private Wire reset() {
      channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
      return endOfStream();
    }

    private int drainOutbound() {
      int bytes = 0;
      for (ByteBuf buffer = channel.readOutbound();
          buffer != null;
          buffer = channel.readOutbound()) {
        bytes += buffer.readableBytes();
        buffer.release();
      }
      return bytes;
    }
  }

  private static String describe(
      final String id,
      final UpstreamConnection.CompletionStatus completionStatus,
      final HttpResponse head,
      final ByteBuf body) {
    final String text =
        id
            + " "
            + completionStatus
            + (head == null ? "" : " " + head.status().code())
            + (body == null ? "" : " " + body.toString(StandardCharsets.UTF_8));
    if (body != null) {
      body.release();
    }
    return text;
  }

  @DataProvider
  public Object[][] completeResponses() {
    return new Object[][] {
      {WITH_LENGTH, "abc ANSWERED 200 body"},
      {CHUNKED, "abc ANSWERED 200 body"},
      {EMPTY, "abc ANSWERED 503"},
      {OTHER_REQUEST + WITH_LENGTH, "abc ANSWERED 200 body"}
    };
  }

  @Test(dataProvider = "completeResponses")
  public void aResponseSplitAtAnyByteIsDeliveredOnceAndComplete(
      final String response, final String expected) {
    for (int cut = 0; cut <= response.length(); cut++) {
      final Wire wire = new Wire().sendRequest("abc").receive(response.substring(0, cut));
      assertEquals(wire.results.size(), cut < response.length() ? 0 : 1, "at byte " + cut);
      wire.receive(response.substring(cut));
      assertEquals(wire.results, List.of(expected), "at byte " + cut);
      assertEquals(
          wire.connection.isUsable(System.nanoTime() / 1_000_000),
          !response.startsWith(OTHER_REQUEST),
          "at byte " + cut);
    }
    final Wire single = new Wire().sendRequest("abc");
    for (final char one : response.toCharArray()) {
      single.receive(String.valueOf(one));
    }
    assertEquals(single.results, List.of(expected));
  }

  @Test(dataProvider = "completeResponses")
  public void aResponseTruncatedAtAnyByteIsUncertain(final String response, final String expected) {
    for (int cut = 0; cut < response.length(); cut++) {
      final Wire wire =
          new Wire().sendRequest("abc").receive(response.substring(0, cut)).disconnect();
      assertEquals(wire.results, List.of("abc UNCERTAIN"), "at byte " + cut);
      assertFalse(wire.connection.isUsable(0));
    }
  }

  @DataProvider
  public Object[][] responsesWithoutLength() {
    return new Object[][] {
      {WITHOUT_LENGTH, "abc ANSWERED 200 body"},
      {WITHOUT_LENGTH.replace("HTTP/1.1", "HTTP/1.0"), "abc ANSWERED 200 body"},
      {
        WITHOUT_LENGTH.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"), "abc ANSWERED 200 body"
      },
      {
        WITHOUT_LENGTH.replace("\r\n\r\n", "\r\nConnection: keep-alive\r\n\r\n"),
        "abc ANSWERED 200 body"
      },
      {WITHOUT_LENGTH.replace("200 OK", "500 Wrong"), "abc ANSWERED 500 body"},
      {WITHOUT_LENGTH.replace("body", ""), "abc ANSWERED 200"},
      {INTERIM + WITHOUT_LENGTH, "abc ANSWERED 200 body"},
    };
  }

  /** Guards against LOST: a response without a length was taken for a failure. */
  @Test(dataProvider = "responsesWithoutLength")
  public void responseWithoutLengthIsCompleteAtTheEndOfTheStream(
      final String response, final String expected) {
    for (int cut = 0; cut <= response.length(); cut++) {
      final Wire wire = new Wire().sendRequest("abc").receive(response.substring(0, cut));
      wire.receive(response.substring(cut));
      assertEquals(wire.results, List.of(), "at byte " + cut);
      wire.endOfStream();
      assertEquals(wire.results, List.of(expected), "at byte " + cut);
      assertEquals(wire.unframedCounts(), List.of(1.0, 0.0));
      assertFalse(wire.channel.isOpen());
      assertFalse(wire.connection.isUsable(0));
    }
  }

  /** Guards against MIXED: a reset, or our own close, must not complete a response. */
  @Test(dataProvider = "responsesWithoutLength")
  public void responseWithoutLengthIsUncertainIfItIsResetOrClosedHere(
      final String response, final String expected) {
    for (int cut = 0; cut <= response.length(); cut++) {
      final String part = response.substring(0, cut);
      final Wire reset = new Wire().sendRequest("abc").receive(part).reset();
      assertEquals(reset.results, List.of("abc UNCERTAIN"));
      final boolean headComplete = part.endsWith("s\r\n\r\n") || part.contains("\r\n\r\nb");
      assertTrue(!headComplete || reset.unframedCounts().equals(List.of(0.0, 1.0)), part);
      assertEquals(
          new Wire().sendRequest("abc").receive(part).disconnect().results,
          List.of("abc UNCERTAIN"));
      final Wire closing = new Wire().sendRequest("abc").receive(part);
      closing.connection.close();
      assertEquals(closing.endOfStream().results, List.of("abc UNCERTAIN"));
      final Wire cancelled = new Wire().sendRequest("abc").receive(part);
      cancelled.connection.cancel();
      assertEquals(cancelled.endOfStream().results, List.of());
    }
  }

  /** Guards against MIXED: an orderly end must not complete a response that has a length. */
  @Test(dataProvider = "completeResponses")
  public void responseWithLengthIsUncertainIfTheStreamEndsBefore(
      final String response, final String expected) {
    for (int cut = 0; cut < response.length(); cut++) {
      final Wire wire =
          new Wire().sendRequest("abc").receive(response.substring(0, cut)).endOfStream();
      assertEquals(wire.results, List.of("abc UNCERTAIN"), "at byte " + cut);
      assertFalse(wire.channel.isOpen());
    }
  }

  /** Guards against MIXED: the end of another request's response completes nothing. */
  @Test
  public void responseWithoutLengthOfAnotherRequestIsUncertain() {
    final Wire wire =
        new Wire().sendRequest("abc").receive(WITHOUT_LENGTH.replace("abc", "other")).endOfStream();
    assertEquals(wire.results, List.of("abc UNCERTAIN"));
    assertEquals(wire.unsolicited, List.of("other"));
  }

  @Test
  public void endOfStreamClosesAnIdleConnection() {
    final Wire wire = new Wire().sendRequest("abc").receive(WITH_LENGTH);
    assertTrue(wire.connection.isUsable(System.nanoTime() / 1_000_000));
    wire.endOfStream();
    assertFalse(wire.connection.isUsable(System.nanoTime() / 1_000_000));
    assertFalse(wire.channel.isOpen());
    assertEquals(wire.results, List.of("abc ANSWERED 200 body"));
  }

  /** Guards against LOST: an interim response was taken for a failure of the request. */
  @Test(dataProvider = "completeResponses")
  public void interimResponsesAreSkipped(final String response, final String expected) {
    final String interim = "HTTP/1.1 100 Continue\r\n\r\n" + INTERIM;
    final Wire wire = new Wire().sendRequest("abc").receive(interim);
    assertEquals(wire.results, List.of());
    assertEquals(wire.receive(response).results, List.of(expected));
    assertEquals(
        new Wire().sendRequest("abc").receive(interim).endOfStream().results,
        List.of("abc UNCERTAIN"));
  }

  @DataProvider
  public Object[][] invalidResponses() {
    return new Object[][] {
      {"nonsense\r\n\r\n"},
      {
        WITH_LENGTH.replace(
            "Weldpoint-Attempt-Id: abc\r\n",
            "Weldpoint-Attempt-Id: abc\r\nWeldpoint-Attempt-Id: other\r\n")
      },
      {
        WITH_LENGTH.replace(
            "Weldpoint-Attempt-Id: abc\r\n",
            "Weldpoint-Attempt-Id: other\r\nWeldpoint-Attempt-Id: abc\r\n")
      },
      {WITH_LENGTH.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked")},
      {WITH_LENGTH.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5")},
      {WITH_LENGTH.replace("Content-Length: 4", "Transfer-Encoding: gzip")},
      {CHUNKED.replace("2\r\nbo", "zz\r\nbo")},
      {WITH_LENGTH.replace("200 OK", "101 Switching Protocols")},
      {"HTTP/1.1 100 Continue\r\n\r\nbody\r\n"},
      {INTERIM.repeat(17) + WITH_LENGTH},
      {WITH_LENGTH.replace("HTTP/1.1 200", "HTTP/1.1 2x0")},
    };
  }

  @Test(dataProvider = "invalidResponses")
  public void anInvalidResponseClosesTheConnectionAndIsUncertain(final String response) {
    final Wire wire = new Wire().sendRequest("abc").receive(response);
    assertEquals(wire.results, List.of("abc UNCERTAIN"));
    assertFalse(wire.channel.isOpen());
    wire.receive(WITH_LENGTH);
    assertEquals(wire.results.size(), 1);
  }

  @Test
  public void bytesAfterAResponseCloseTheConnectionBeforeItIsReused() {
    final String unsolicited = "\r\n" + OTHER_REQUEST;
    for (int bytes = 1; bytes <= unsolicited.length(); bytes++) {
      for (final boolean together : new boolean[] {true, false}) {
        final Wire wire = new Wire().sendRequest("abc");
        if (together) {
          wire.receive(WITH_LENGTH + unsolicited.substring(0, bytes));
        } else {
          wire.receive(WITH_LENGTH).receive(unsolicited.substring(0, bytes));
        }
        assertEquals(wire.results, List.of("abc ANSWERED 200 body"));
        assertFalse(
            wire.connection.isUsable(System.nanoTime() / 1_000_000),
            bytes + " extra bytes, together " + together);
        wire.sendRequest("next");
        assertEquals(wire.results.get(1), "next UNSENT");
        assertEquals(wire.writtenBytes, 0, "nothing may be written after unsolicited bytes");
        assertFalse(wire.channel.isOpen());
      }
    }
  }

  @Test
  public void bytesBehindAResponseAreNotTakenAsTheNextResponseEvenInTheCallback() {
    final Wire wire = new Wire();
    final DefaultFullHttpRequest first =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
    wire.connection.send(
        first,
        "abc",
        (end, head, body) -> {
          wire.results.add(describe("abc", end, head, body));
          wire.sendRequest("next");
        });
    wire.receive(WITH_LENGTH + EMPTY.replace("abc", "next"));
    wire.drainOutbound();
    assertEquals(wire.results, List.of("abc ANSWERED 200 body", "next UNSENT"));
  }

  @Test
  public void theStartOfAnUnsolicitedResponseDoesNotTurnTheNextFailureIntoASuccess() {
    final Wire wire =
        new Wire()
            .sendRequest("abc")
            .receive(WITH_LENGTH + "HTTP/1.1 200 OK\r\nWeldpoint-Server-Seal: s\r\nX: ");
    wire.sendRequest("next")
        .receive("HTTP/1.1 500 Wrong\r\nWeldpoint-Attempt-Id: next\r\nContent-Length: 0\r\n\r\n");
    assertEquals(wire.results, List.of("abc ANSWERED 200 body", "next UNSENT"));
  }

  @Test
  public void bytesBeforeAnyRequestCloseTheConnection() {
    final Wire wire = new Wire().receive(EMPTY).sendRequest("abc");
    assertEquals(wire.results, List.of("abc UNSENT"));
    assertEquals(wire.unsolicited, List.of("abc"));
    assertEquals(wire.writtenBytes, 0);
    assertFalse(wire.channel.isOpen());
  }

  @Test
  public void aResponseAfterItsRequestWasCancelledIsDropped() {
    for (int cut = 0; cut <= WITH_LENGTH.length(); cut++) {
      final Wire wire =
          new Wire()
              .sendRequest("abc")
              .receive(WITH_LENGTH.substring(0, Math.min(cut, WITH_LENGTH.length() - 1)));
      wire.connection.cancel();
      wire.receive(WITH_LENGTH.substring(Math.min(cut, WITH_LENGTH.length() - 1)));
      assertEquals(wire.results, List.of());
      assertFalse(wire.channel.isOpen());
    }
  }

  @Test
  public void onlyARejectionOfTheRequestItselfProvesThatItDidNotRun() {
    final int[][] cases =
        new int[][] {
          {200, 1, 2},
          {302, 1, 2},
          {400, 1, 1},
          {421, 0, 1},
          {421, 1, 1},
          {429, 1, 1},
          {503, 1, 1},
          {503, 0, 0},
          {429, 0, 0},
          {200, 0, 0},
          {500, 0, 0}
        };
    final AttemptOutcome[] outcomes =
        new AttemptOutcome[] {
          AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN, AttemptOutcome.UNCERTAIN
        };
    for (final int[] testCase : cases) {
      final HttpResponse head =
          new io.netty.handler.codec.http.DefaultHttpResponse(
              HttpVersion.HTTP_1_1,
              io.netty.handler.codec.http.HttpResponseStatus.valueOf(testCase[0]));
      if (testCase[1] == 1) {
        head.headers().set(Headers.NOT_EXECUTED, "1");
      }
      assertEquals(
          AttemptOutcome.of(UpstreamConnection.CompletionStatus.ANSWERED, head),
          outcomes[testCase[2]],
          testCase[0] + " declined " + testCase[1]);
      assertEquals(
          AttemptOutcome.ofIdentifiedResponse(UpstreamConnection.CompletionStatus.ANSWERED, head),
          AttemptOutcome.UNCERTAIN,
          "without an attempt id no response counts for a client's request");
      head.headers().set(Headers.ATTEMPT_ID, "abc");
      assertEquals(
          AttemptOutcome.ofIdentifiedResponse(UpstreamConnection.CompletionStatus.ANSWERED, head),
          outcomes[testCase[2]],
          testCase[0] + " declined " + testCase[1]);
    }
    assertEquals(
        AttemptOutcome.of(UpstreamConnection.CompletionStatus.UNSENT, null),
        AttemptOutcome.NOT_RUN);
    assertEquals(
        AttemptOutcome.of(UpstreamConnection.CompletionStatus.UNCERTAIN, null),
        AttemptOutcome.UNCERTAIN);
    assertEquals(
        AttemptOutcome.ofIdentifiedResponse(UpstreamConnection.CompletionStatus.UNSENT, null),
        AttemptOutcome.NOT_RUN);
    assertEquals(
        AttemptOutcome.ofIdentifiedResponse(UpstreamConnection.CompletionStatus.UNCERTAIN, null),
        AttemptOutcome.UNCERTAIN);
  }

  /**
   * Generates responses that are corrupted or truncated at random: a request is notified at most
   * once, and a response that it gets was sent complete and under its id.
   */
  @Test
  public void generatedBytesNeverBecomeAnotherRequestsResponse() {
    final long seed = Long.getLong("weldpoint.fuzz.seed", 19);
    final int rounds = Integer.getInteger("weldpoint.fuzz.rounds", 20_000);
    Reporter.log("seed " + seed, true);
    final Random random = new Random(seed);
    for (int round = 0; round < rounds; round++) {
      round(random, "seed " + seed + " round " + round);
    }
  }

  private static void round(final Random random, final String name) {
    final Wire wire = new Wire();
    final List<String> validResponses = new ArrayList<>();
    for (int request = 0; request < 3 && wire.channel.isOpen(); request++) {
      final String id = "r" + request;
      wire.sendRequest(id);
      final StringBuilder bytes = new StringBuilder();
      int responses = 1 + random.nextInt(3);
      boolean cutShort = false;
      boolean endsWithStream = false;
      for (int response = 0; response < responses; response++) {
        final int status = new int[] {200, 200, 204, 302, 404, 421, 500, 503}[random.nextInt(8)];
        final String echoedId = random.nextInt(3) == 0 ? "r" + random.nextInt(4) : id;
        final String body =
            "b" + random.nextInt(1000) + (status == 204 ? "" : "x".repeat(random.nextInt(40)));
        final boolean chunked = random.nextBoolean();
        final boolean withoutLength = status != 204 && random.nextInt(5) == 0;
        final String framing =
            status == 204 || withoutLength
                ? "\r\n" + (withoutLength ? body : "")
                : chunked
                    ? "Transfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(body.length())
                        + "\r\n"
                        + body
                        + "\r\n0\r\n\r\n"
                    : "Content-Length: " + body.length() + "\r\n\r\n" + body;
        if (echoedId.equals(id)) {
          validResponses.add(id + " ANSWERED " + status + (status == 204 ? "" : " " + body));
        }
        String text =
            "HTTP/1.1 "
                + status
                + " X\r\nWeldpoint-Attempt-Id: "
                + echoedId
                + "\r\nWeldpoint-Server-Seal: s\r\n"
                + framing;
        if (random.nextInt(6) == 0) {
          text = "\u0000garbage " + random.nextInt();
        }
        cutShort = random.nextInt(4) == 0;
        if (cutShort) {
          text = text.substring(0, random.nextInt(text.length()));
          responses = 0;
        }
        bytes.append(text);
        if (withoutLength) {
          responses = 0;
          endsWithStream = !cutShort;
        }
      }
      int position = 0;
      while (position < bytes.length()) {
        final int next =
            Math.min(bytes.length(), position + 1 + random.nextInt(random.nextBoolean() ? 3 : 120));
        wire.receive(bytes.substring(position, next));
        position = next;
      }
      if (endsWithStream) {
        wire.endOfStream();
      } else if (cutShort || random.nextInt(3) == 0) {
        if (random.nextBoolean()) {
          wire.disconnect();
        } else {
          wire.reset();
        }
      }
      if (wire.results.size() <= request) {
        break;
      }
    }
    wire.disconnect();
    final List<String> ids = new ArrayList<>();
    for (final String result : wire.results) {
      ids.add(result.substring(0, result.indexOf(' ')));
      if (result.contains(" ANSWERED")) {
        final String delivered = result;
        assertTrue(
            validResponses.stream().anyMatch(delivered::equals),
            name + ": " + result + " of " + validResponses);
      }
    }
    assertEquals(
        ids.stream().distinct().count(), ids.size(), name + ": notified twice " + wire.results);
    assertFalse(wire.connection.isUsable(0), name);
  }
}
