package weldpoint.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in upstream: it beats, works on requests for a while and answers with a seal. */
class Upstream implements AutoCloseable {
  /** What an upstream does with a request. */
  interface Work {
    /** The body of the answer. */
    byte[] run(String id, Http.Head head, byte[] body) throws Exception;
  }

  final String id;
  final String service;
  final String address;
  final String zone;
  private final Fleet fleet;
  private final Work work;
  private final ServerSocket server;
  private final AtomicLong sequence = new AtomicLong();
  volatile String state = "ready";
  private volatile boolean over;

  Upstream(
      final Fleet fleet,
      final String id,
      final String service,
      final String address,
      final String zone,
      final Work work)
      throws IOException {
    this.fleet = fleet;
    this.id = id;
    this.service = service;
    this.address = address;
    this.zone = zone;
    this.work = work;
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(address.split(":")[0], Integer.parseInt(address.split(":")[1])), 512);
    daemon(this::accept);
    daemon(this::beats);
  }

  static void daemon(final Runnable task) {
    final Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  int beat() {
    final String body =
        "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"capacity\":6,\"state\":\"" + state
            + "\",\"warmupLeftMs\":0,\"callSeq\":" + sequence.incrementAndGet() + "}";
    for (int index = 0; index < fleet.exchanges.size(); index++) {
      final int status =
          Http.call(fleet.control(index), "POST", "/api/rpc?call=instances.heartbeat&of=" + id,
                  "Content-Type: application/json\r\n", body.getBytes(), 1000)
              .status;
      if (status == 200) {
        return status;
      }
    }
    return -1;
  }

  private void beats() {
    while (!over) {
      beat();
      try {
        Thread.sleep(1500);
      } catch (final InterruptedException stopped) {
        return;
      }
    }
  }

  private void accept() {
    while (!over) {
      try {
        final Socket socket = server.accept();
        daemon(() -> serve(socket));
      } catch (final IOException closed) {
        return;
      }
    }
  }

  void serve(final Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      while (!over) {
        final Http.Head head = Http.head(in);
        if (head == null) {
          return;
        }
        final byte[] body = Http.body(in, head);
        answer(socket.getOutputStream(), head, body);
      }
    } catch (final Exception ended) {
      // the connection is over
    }
  }

  void answer(final OutputStream out, final Http.Head head, final byte[] body) throws Exception {
    final String attempt = head.headers.get("weldpoint-attempt-id");
    final String target = head.headers.get("weldpoint-target-instance");
    if (attempt == null) {
      send(out, "400 Bad Request", "Weldpoint-Not-Executed: 1\r\n", new byte[0]);
    } else if (target != null && !target.equals(id)) {
      send(out, "421 Misdirected Request", "Weldpoint-Attempt-Id: " + attempt + "\r\nWeldpoint-Not-Executed: 1\r\n", new byte[0]);
    } else {
      final byte[] answer = work.run(attempt, head, body);
      send(out, "200 OK", "Weldpoint-Attempt-Id: " + attempt + "\r\nWeldpoint-Server-Seal: seal." + id + "." + attempt + "\r\n", answer);
    }
  }

  static void send(final OutputStream out, final String status, final String headers, final byte[] body)
      throws IOException {
    out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n").getBytes());
    out.write(body);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    over = true;
    server.close();
  }
}
