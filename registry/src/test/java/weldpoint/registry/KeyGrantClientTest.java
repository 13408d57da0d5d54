package weldpoint.registry;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import weldpoint.ownership.CallResult;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.RangeState;

/** Grants to an upstream that answers some calls twice: its answers name no call. */
public final class KeyGrantClientTest {
  private static final String GRANTED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  private static final String OVERTAKEN = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final AtomicInteger connections = new AtomicInteger();
  private ServerSocket server;
  private KeyGrantClient calls;
  private volatile String[] script;

  @BeforeMethod
  public void open() throws IOException {
    connections.set(0);
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    calls = new KeyGrantClient(loop, Runnable::run, 4000, 2000);
    final Thread thread = new Thread(this::serve);
    thread.setDaemon(true);
    thread.start();
  }

  @AfterMethod
  public void close() throws IOException {
    server.close();
  }

  /** One connection after the other, each answered by the script from its beginning. */
  private void serve() {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        connections.incrementAndGet();
        final BufferedReader reader =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (int call = 0; read(reader); call++) {
          socket
              .getOutputStream()
              .write(
                  script[Math.min(call, script.length - 1)].getBytes(StandardCharsets.ISO_8859_1));
        }
      } catch (final IOException ended) {
        continue;
      }
    }
  }

  private static boolean read(final BufferedReader reader) throws IOException {
    int length = 0;
    String line = reader.readLine();
    if (line == null) {
      return false;
    }
    for (; line != null && !line.isEmpty(); line = reader.readLine()) {
      if (line.toLowerCase().startsWith("content-length: ")) {
        length = Integer.parseInt(line.substring(16));
      }
    }
    for (int index = 0; index < length; index++) {
      if (reader.read() < 0) {
        return false;
      }
    }
    return true;
  }

  private CallResult.Outcome grant() throws Exception {
    final KeyRange range =
        new KeyRange(0, 63, "i-0", "127.0.0.1:" + server.getLocalPort(), 5, RangeState.HELD, null);
    final CompletableFuture<CallResult.Outcome> end = new CompletableFuture<>();
    calls.grant(
        range, System.nanoTime() / 1_000_000 + 2000, result -> end.complete(result.outcome()));
    return end.get(5, TimeUnit.SECONDS);
  }

  /**
   * Guards against ONE: a grant that was taken counted as refused, since an earlier refusal came
   * once more, and its keys were free to be granted to another upstream at once.
   */
  @Test
  public void aRefusalProvesNothingWhereItMayBelongToAnEarlierCall() throws Exception {
    script = new String[] {GRANTED, OVERTAKEN};
    assertEquals(grant(), CallResult.Outcome.DONE);
    assertEquals(grant(), CallResult.Outcome.UNKNOWN);
    assertEquals(grant(), CallResult.Outcome.DONE, "the next call has a connection of its own");
    assertEquals(connections.get(), 2);
  }

  @Test
  public void aRefusalOfTheOnlyCallOnAConnectionIsClearAndEndsIt() throws Exception {
    script = new String[] {OVERTAKEN, GRANTED};
    assertEquals(grant(), CallResult.Outcome.REFUSED);
    assertEquals(grant(), CallResult.Outcome.REFUSED);
    assertEquals(connections.get(), 2, "what was refused may come once more on its connection");
  }
}
