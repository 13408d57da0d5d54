import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in upstream: it beats, works for a time on each request, answers with the echoed id, a
 * seal and its whole body, turns away what names another instance, and records what it runs.
 */
class Upstream implements AutoCloseable {
  /** A request that this upstream began to run. */
  static final class Run {
    final String instance;
    final String attempt;
    final String key;
    final String path;
    final double at;
    volatile double answeredAt = -1;

    Run(String instance, String attempt, String key, String path, double at) {
      this.instance = instance;
      this.attempt = attempt;
      this.key = key;
      this.path = path;
      this.at = at;
    }
  }

  final Fleet fleet;
  final String id;
  final String service;
  final String address;
  final int zone;
  final int port;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  volatile int workMillis = 100;
  volatile String state = "ready";
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final ServerSocket server;
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean ended;

  Upstream(Fleet fleet, String id, String service, int index) throws IOException {
    this.fleet = fleet;
    this.id = id;
    this.service = service;
    this.zone = index % 4;
    this.address = "127." + fleet.net + ".4." + (1 + index);
    this.port = fleet.firstPort + 20;
    this.server = new ServerSocket(port, 256, InetAddress.getByName(address));
    daemon(this::accept);
  }

  static void daemon(Runnable task) {
    final Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** Beats until one is acknowledged, then about every heartbeatMs. */
  void register(long timeoutMillis) throws InterruptedException {
    final long until = System.currentTimeMillis() + timeoutMillis;
    for (int core = 0; beat(core) != 200; core++) {
      if (System.currentTimeMillis() > until) {
        throw new IllegalStateException("no beat of " + id + " was acknowledged");
      }
      Thread.sleep(100);
    }
    daemon(
        () -> {
          try {
            for (int core = 0; !ended; ) {
              Thread.sleep(1500);
              if (beat(core) != 200) {
                core++;
                beat(core);
              }
            }
          } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  int beat(int core) {
    return Http.call(
            fleet.controlOf(core),
            "POST",
            "/api/rpc?call=instances.heartbeat&of=" + id,
            Map.of("Content-Type", "application/json"),
            "{\"service\":\""
                + service
                + "\",\"address\":\""
                + address
                + ":"
                + port
                + "\",\"zone\":\""
                + Fleet.ZONES[zone]
                + "\",\"version\":\"v1\",\"capacity\":6,\"state\":\""
                + state
                + "\",\"warmupLeftMs\":0,\"callSeq\":"
                + sequence.incrementAndGet()
                + "}",
            1000)
        .status;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        final Socket socket = server.accept();
        sockets.add(socket);
        daemon(() -> serve(socket));
      } catch (final IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      final OutputStream out = socket.getOutputStream();
      for (String line = Http.readLine(in); line != null; line = Http.readLine(in)) {
        final Map<String, String> headers = new LinkedHashMap<>();
        for (String h = Http.readLine(in); h != null && !h.isEmpty(); h = Http.readLine(in)) {
          final int colon = h.indexOf(':');
          headers.put(h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).strip());
        }
        final int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        long left = length;
        while (left > 0) {
          final long skipped = in.skip(left);
          if (skipped <= 0 && in.read() < 0) {
            return;
          }
          left -= Math.max(1, skipped);
        }
        final String[] parts = line.split(" ");
        if (!handle(parts[0], parts[1], headers, out)) {
          return;
        }
      }
    } catch (final IOException e) {
      // the connection has ended
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  /** Handles one request; false ends the connection. */
  boolean handle(String method, String path, Map<String, String> headers, OutputStream out)
      throws IOException, InterruptedException {
    final String attempt = headers.getOrDefault("weldpoint-attempt-id", "");
    if (path.equals("/health")) {
      write(out, 200, attempt, "Weldpoint-Instance-Id: " + id + "\r\n", new byte[0]);
      return true;
    }
    final String target = headers.getOrDefault("weldpoint-target-instance", id);
    if (!target.equals(id)) {
      fleet.record.line(id + " turns " + attempt + " away, it names " + target);
      write(out, 421, attempt, "Weldpoint-Not-Executed: true\r\n", new byte[0]);
      return true;
    }
    final Run run =
        new Run(
            id,
            attempt,
            headers.getOrDefault("weldpoint-operation-key", ""),
            path,
            fleet.record.seconds());
    runs.add(run);
    fleet.record.line(
        id + " runs " + attempt + " " + path + (run.key.isEmpty() ? "" : " key " + run.key));
    return answer(run, out);
  }

  /** Works on a request and answers it. */
  boolean answer(Run run, OutputStream out) throws IOException, InterruptedException {
    Thread.sleep(workMillis);
    final byte[] body = ("answer to " + run.attempt + " by " + id).getBytes(StandardCharsets.UTF_8);
    write(out, 200, run.attempt, "Weldpoint-Server-Seal: " + id + "." + run.attempt + "\r\n", body);
    run.answeredAt = fleet.record.seconds();
    return true;
  }

  static void write(OutputStream out, int status, String attempt, String extra, byte[] body)
      throws IOException {
    final byte[] head =
        ("HTTP/1.1 "
                + status
                + " Answer\r\nWeldpoint-Attempt-Id: "
                + attempt
                + "\r\n"
                + extra
                + "Content-Length: "
                + body.length
                + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    final byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    out.write(all);
    out.flush();
  }

  @Override
  public void close() {
    ended = true;
    try {
      server.close();
      for (final Socket socket : sockets) {
        socket.close();
      }
    } catch (final IOException e) {
      // closed already
    }
  }
}
