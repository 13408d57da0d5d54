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

/**
 * Grants to an upstream that responds to some calls twice; responses do not identify their call.
 */
public final class KeyGrantClientTest {
  private static final String GRANTED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  private static final String REFUSED = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final AtomicInteger connections = new AtomicInteger();
  private ServerSocket server;
  private KeyGrantClient client;
  private volatile String[] responses;
  private volatile boolean endsConnection;

  @BeforeMethod
  public void open() throws IOException {
    connections.set(0);
    endsConnection = false;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    client = new KeyGrantClient(loop, Runnable::run, 4000, 2000);
    final Thread thread = new Thread(this::serve);
    thread.setDaemon(true);
    thread.start();
  }

  @AfterMethod
  public void close() throws IOException {
    server.close();
  }

  /** Serves one connection after the other, each with the responses from the first one on. */
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
                  responses[Math.min(call, responses.length - 1)].getBytes(
                      StandardCharsets.ISO_8859_1));
          if (endsConnection) {
            break;
          }
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
    client.grant(
        range, System.nanoTime() / 1_000_000 + 2000, result -> end.complete(result.outcome()));
    return end.get(5, TimeUnit.SECONDS);
  }

  /**
   * Guards against an accepted grant that counted as refused because an earlier refusal was sent
   * twice: its keys could then be granted to another upstream at once.
   */
  @Test
  public void refusalIsInconclusiveIfItMayBelongToAnEarlierCall() throws Exception {
    responses = new String[] {GRANTED, REFUSED};
    assertEquals(grant(), CallResult.Outcome.DONE);
    assertEquals(grant(), CallResult.Outcome.UNKNOWN);
    assertEquals(grant(), CallResult.Outcome.DONE, "the next call uses a new connection");
    assertEquals(connections.get(), 2);
  }

  /**
   * Guards against LOST and its counterpart for grants: a response without a length ends with its
   * connection, and one whose connection does not end in time proves nothing.
   */
  @Test
  public void responseWithoutLengthCountsOnlyAtTheEndOfItsConnection() throws Exception {
    responses = new String[] {"HTTP/1.1 200 OK\r\n\r\n"};
    endsConnection = true;
    assertEquals(grant(), CallResult.Outcome.DONE);
    endsConnection = false;
    assertEquals(grant(), CallResult.Outcome.UNKNOWN, "the call timed out before the end");
  }

  @Test
  public void refusalOfTheOnlyCallIsConclusiveAndClosesConnection() throws Exception {
    responses = new String[] {REFUSED, GRANTED};
    assertEquals(grant(), CallResult.Outcome.REFUSED);
    assertEquals(grant(), CallResult.Outcome.REFUSED);
    assertEquals(connections.get(), 2, "the refusal may be sent again on its connection");
  }
}
