package weldpoint.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * One connection to an upstream, cut, split and spoiled at every byte: each request hears of its
 * own end once, and of no other's.
 */
public final class UpstreamConnectionTest {
  private static final String LENGTH =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
  private static final String CHUNKS =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
  private static final String EMPTY =
      "HTTP/1.1 503 Busy\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String OTHER =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: other\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwrong";

  /** One connection with what its requests have heard. */
  private static final class Wire {
    private final UpstreamConnection.Decoder decoder = new UpstreamConnection.Decoder();
    private final List<String> surplus = new ArrayList<>();
    private final UpstreamConnection connection =
        new UpstreamConnection(
            new Upstream(
                new Registration("i", "s", "10.0.0.1:80", "a", "v", 4, 0, 1, 0, 0), "r", 0),
            decoder,
            surplus::add);
    private final EmbeddedChannel channel =
        new EmbeddedChannel(decoder, new HttpRequestEncoder(), connection);
    private final List<String> heard = new ArrayList<>();
    private int bytes;

    private Wire() {
      connection.connected(channel);
    }

    private Wire ask(final String id) {
      final DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
      request.headers().set(Headers.ATTEMPT_ID, id);
      connection.send(request, id, (end, head, body) -> heard.add(told(id, end, head, body)));
      bytes = written();
      return this;
    }

    private Wire hear(final String text) {
      if (channel.isOpen()) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
      }
      return this;
    }

    private Wire cut() {
      channel.close();
      return this;
    }

    private int written() {
      int bytes = 0;
      for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
        bytes += part.readableBytes();
        part.release();
      }
      return bytes;
    }
  }

  private static String told(
      final String id,
      final UpstreamConnection.End end,
      final HttpResponse head,
      final ByteBuf body) {
    final String text =
        id
            + " "
            + end
            + (head == null ? "" : " " + head.status().code())
            + (body == null ? "" : " " + body.toString(StandardCharsets.UTF_8));
    if (body != null) {
      body.release();
    }
    return text;
  }

  @DataProvider
  public Object[][] whole() {
    return new Object[][] {
      {LENGTH, "abc ANSWERED 200 body"},
      {CHUNKS, "abc ANSWERED 200 body"},
      {EMPTY, "abc ANSWERED 503"},
      {OTHER + LENGTH, "abc ANSWERED 200 body"}
    };
  }

  @Test(dataProvider = "whole")
  public void anAnswerSplitAtAnyByteIsHeardOnceAndWhole(
      final String answer, final String expected) {
    for (int cut = 0; cut <= answer.length(); cut++) {
      final Wire wire = new Wire().ask("abc").hear(answer.substring(0, cut));
      assertEquals(wire.heard.size(), cut < answer.length() ? 0 : 1, "at byte " + cut);
      wire.hear(answer.substring(cut));
      assertEquals(wire.heard, List.of(expected), "at byte " + cut);
      assertEquals(
          wire.connection.usable(System.nanoTime() / 1_000_000),
          !answer.startsWith(OTHER),
          "at byte " + cut);
    }
    final Wire single = new Wire().ask("abc");
    for (final char one : answer.toCharArray()) {
      single.hear(String.valueOf(one));
    }
    assertEquals(single.heard, List.of(expected));
  }

  @Test(dataProvider = "whole")
  public void anAnswerCutAtAnyByteIsNoAnswer(final String answer, final String expected) {
    for (int cut = 0; cut < answer.length(); cut++) {
      final Wire wire = new Wire().ask("abc").hear(answer.substring(0, cut)).cut();
      assertEquals(wire.heard, List.of("abc UNCERTAIN"), "at byte " + cut);
      assertFalse(wire.connection.usable(0));
    }
  }

  @DataProvider
  public Object[][] noAnswer() {
    return new Object[][] {
      {"nonsense\r\n\r\n"},
      {
        LENGTH.replace(
            "Weldpoint-Attempt-Id: abc\r\n",
            "Weldpoint-Attempt-Id: abc\r\nWeldpoint-Attempt-Id: other\r\n")
      },
      {
        LENGTH.replace(
            "Weldpoint-Attempt-Id: abc\r\n",
            "Weldpoint-Attempt-Id: other\r\nWeldpoint-Attempt-Id: abc\r\n")
      },
      {LENGTH.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked")},
      {LENGTH.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5")},
      {LENGTH.replace("Content-Length: 4\r\n", "")},
      {CHUNKS.replace("2\r\nbo", "zz\r\nbo")},
      {LENGTH.replace("200 OK", "100 Continue")},
      {LENGTH.replace("HTTP/1.1 200", "HTTP/1.1 2x0")},
    };
  }

  @Test(dataProvider = "noAnswer")
  public void whatIsNoAnswerEndsTheConnectionAndProvesNothing(final String answer) {
    final Wire wire = new Wire().ask("abc").hear(answer);
    assertEquals(wire.heard, List.of("abc UNCERTAIN"));
    assertFalse(wire.channel.isOpen());
    wire.hear(LENGTH);
    assertEquals(wire.heard.size(), 1);
  }

  @Test
  public void bytesBesideAnAnswerEndTheConnectionBeforeItIsHandedOutAgain() {
    final String surplus = "\r\n" + OTHER;
    for (int bytes = 1; bytes <= surplus.length(); bytes++) {
      for (final boolean together : new boolean[] {true, false}) {
        final Wire wire = new Wire().ask("abc");
        if (together) {
          wire.hear(LENGTH + surplus.substring(0, bytes));
        } else {
          wire.hear(LENGTH).hear(surplus.substring(0, bytes));
        }
        assertEquals(wire.heard, List.of("abc ANSWERED 200 body"));
        assertFalse(
            wire.connection.usable(System.nanoTime() / 1_000_000),
            bytes + " surplus bytes, together " + together);
        wire.ask("next");
        assertEquals(wire.heard.get(1), "next UNSENT");
        assertEquals(wire.bytes, 0, "nothing may be written after surplus bytes");
        assertFalse(wire.channel.isOpen());
      }
    }
  }

  @Test
  public void whatWaitsBehindAnAnswerIsNotTakenForTheNextRequestsEvenInsideItsOwnCallback() {
    final Wire wire = new Wire();
    final DefaultFullHttpRequest first =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
    wire.connection.send(
        first,
        "abc",
        (end, head, body) -> {
          wire.heard.add(told("abc", end, head, body));
          wire.ask("next");
        });
    wire.hear(LENGTH + EMPTY.replace("abc", "next"));
    wire.written();
    assertEquals(wire.heard, List.of("abc ANSWERED 200 body", "next UNSENT"));
  }

  @Test
  public void theBeginningOfASurplusAnswerDoesNotTurnTheNextFailureIntoASuccess() {
    final Wire wire =
        new Wire().ask("abc").hear(LENGTH + "HTTP/1.1 200 OK\r\nWeldpoint-Server-Seal: s\r\nX: ");
    wire.ask("next")
        .hear("HTTP/1.1 500 Wrong\r\nWeldpoint-Attempt-Id: next\r\nContent-Length: 0\r\n\r\n");
    assertEquals(wire.heard, List.of("abc ANSWERED 200 body", "next UNSENT"));
  }

  @Test
  public void bytesBeforeAnyRequestEndTheConnection() {
    final Wire wire = new Wire().hear(EMPTY).ask("abc");
    assertEquals(wire.heard, List.of("abc UNSENT"));
    assertEquals(wire.surplus, List.of("abc"));
    assertEquals(wire.bytes, 0);
    assertFalse(wire.channel.isOpen());
  }

  @Test
  public void anAnswerAfterItsRequestWasGivenUpReachesNobody() {
    for (int cut = 0; cut <= LENGTH.length(); cut++) {
      final Wire wire =
          new Wire().ask("abc").hear(LENGTH.substring(0, Math.min(cut, LENGTH.length() - 1)));
      wire.connection.abandon();
      wire.hear(LENGTH.substring(Math.min(cut, LENGTH.length() - 1)));
      assertEquals(wire.heard, List.of());
      assertFalse(wire.channel.isOpen());
    }
  }

  @Test
  public void onlyADeclineOfTheRequestItselfProvesThatItDidNotRun() {
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
    final AttemptOutcome[] fates =
        new AttemptOutcome[] {
          AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN, AttemptOutcome.UNCERTAIN
        };
    for (final int[] one : cases) {
      final HttpResponse head =
          new io.netty.handler.codec.http.DefaultHttpResponse(
              HttpVersion.HTTP_1_1, io.netty.handler.codec.http.HttpResponseStatus.valueOf(one[0]));
      if (one[1] == 1) {
        head.headers().set(Headers.NOT_EXECUTED, "1");
      }
      assertEquals(
          AttemptOutcome.of(UpstreamConnection.End.ANSWERED, head),
          fates[one[2]],
          one[0] + " declined " + one[1]);
      assertEquals(
          AttemptOutcome.named(UpstreamConnection.End.ANSWERED, head),
          AttemptOutcome.UNCERTAIN,
          "without an id nothing counts for a client's request");
      head.headers().set(Headers.ATTEMPT_ID, "abc");
      assertEquals(
          AttemptOutcome.named(UpstreamConnection.End.ANSWERED, head),
          fates[one[2]],
          one[0] + " declined " + one[1]);
    }
    assertEquals(AttemptOutcome.of(UpstreamConnection.End.UNSENT, null), AttemptOutcome.NOT_RUN);
    assertEquals(
        AttemptOutcome.of(UpstreamConnection.End.UNCERTAIN, null), AttemptOutcome.UNCERTAIN);
    assertEquals(AttemptOutcome.named(UpstreamConnection.End.UNSENT, null), AttemptOutcome.NOT_RUN);
    assertEquals(
        AttemptOutcome.named(UpstreamConnection.End.UNCERTAIN, null), AttemptOutcome.UNCERTAIN);
  }

  /**
   * Generated answers, spoiled and cut: whatever comes, a request hears once, and what it hears as
   * its answer was sent under its id and whole.
   */
  @Test
  public void generatedBytesNeverBecomeAnotherAnswer() {
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
    final List<String> right = new ArrayList<>();
    for (int request = 0; request < 3 && wire.channel.isOpen(); request++) {
      final String id = "r" + request;
      wire.ask(id);
      final StringBuilder bytes = new StringBuilder();
      int pieces = 1 + random.nextInt(3);
      boolean cutShort = false;
      for (int piece = 0; piece < pieces; piece++) {
        final int status = new int[] {200, 200, 204, 302, 404, 421, 500, 503}[random.nextInt(8)];
        final String to = random.nextInt(3) == 0 ? "r" + random.nextInt(4) : id;
        final String body =
            "b" + random.nextInt(1000) + (status == 204 ? "" : "x".repeat(random.nextInt(40)));
        final boolean chunks = random.nextBoolean();
        final String framed =
            status == 204
                ? "\r\n"
                : chunks
                    ? "Transfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(body.length())
                        + "\r\n"
                        + body
                        + "\r\n0\r\n\r\n"
                    : "Content-Length: " + body.length() + "\r\n\r\n" + body;
        if (to.equals(id)) {
          right.add(id + " ANSWERED " + status + (status == 204 ? "" : " " + body));
        }
        String text =
            "HTTP/1.1 "
                + status
                + " X\r\nWeldpoint-Attempt-Id: "
                + to
                + "\r\nWeldpoint-Server-Seal: s\r\n"
                + framed;
        if (random.nextInt(6) == 0) {
          text = "\u0000garbage " + random.nextInt();
        }
        cutShort = random.nextInt(4) == 0;
        if (cutShort) {
          text = text.substring(0, random.nextInt(text.length()));
          pieces = 0;
        }
        bytes.append(text);
      }
      int at = 0;
      while (at < bytes.length()) {
        final int next =
            Math.min(bytes.length(), at + 1 + random.nextInt(random.nextBoolean() ? 3 : 120));
        wire.hear(bytes.substring(at, next));
        at = next;
      }
      if (cutShort || random.nextInt(3) == 0) {
        wire.cut();
      }
      if (wire.heard.size() <= request) {
        break;
      }
    }
    wire.cut();
    final List<String> ids = new ArrayList<>();
    for (final String heard : wire.heard) {
      ids.add(heard.substring(0, heard.indexOf(' ')));
      if (heard.contains(" ANSWERED")) {
        final String answered = heard;
        assertTrue(right.stream().anyMatch(answered::equals), name + ": " + heard + " of " + right);
      }
    }
    assertEquals(ids.stream().distinct().count(), ids.size(), name + ": heard twice " + wire.heard);
    assertFalse(wire.connection.usable(0), name);
  }
}
