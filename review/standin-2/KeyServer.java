import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in upstream of a service divided by key, as a process of its own, so that it can be
 * frozen. It holds keys by grants, counted from when it takes them; turns away what it does not
 * hold; refuses grants below a fence that it has seen in a grant or a release; and beats. It writes
 * what it does to its standard output, with milliseconds of the machine's steady clock.
 *
 * <p>Arguments: id, service, address, port, zone, then the control addresses.
 */
public final class KeyServer {
  private static final int KEYS = 65_536;
  private static final int CONTROL_CALL_MILLIS = 10;
  private static final int PREPARE_MILLIS = 15;
  private static final int WORK_MILLIS = 20;
  private static final long[] heldUntil = new long[KEYS];
  private static final long[] fences = new long[KEYS];
  private static final int[] running = new int[KEYS];
  private static final Object lock = new Object();
  private static String id;

  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static void say(String text) {
    synchronized (System.out) {
      System.out.println(now() + " " + id + " " + text);
      System.out.flush();
    }
  }

  private static long number(String body, String field) {
    final Matcher m = Pattern.compile("\"" + field + "\":(\\d+)").matcher(body);
    return m.find() ? Long.parseLong(m.group(1)) : -1;
  }

  public static void main(String[] a) throws Exception {
    id = a[0];
    final ServerSocket server = new ServerSocket(Integer.parseInt(a[3]), 256, InetAddress.getByName(a[2]));
    daemon(() -> beat(a));
    while (true) {
      final Socket socket = server.accept();
      daemon(() -> serve(socket));
    }
  }

  private static void daemon(Runnable task) {
    final Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static void beat(String[] a) {
    final AtomicLong sequence = new AtomicLong();
    for (int core = 5; ; ) {
      final Http.Reply reply =
          Http.call(
              a[core],
              "POST",
              "/api/rpc?call=instances.heartbeat&of=" + id,
              Map.of("Content-Type", "application/json"),
              "{\"service\":\"" + a[1] + "\",\"address\":\"" + a[2] + ":" + a[3] + "\",\"zone\":\"" + a[4]
                  + "\",\"version\":\"v1\",\"capacity\":6,\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":"
                  + sequence.incrementAndGet() + "}",
              1000);
      if (reply.status != 200) {
        core = core + 1 < a.length ? core + 1 : 5;
      }
      try {
        Thread.sleep(reply.status == 200 ? 1500 : 100);
      } catch (final InterruptedException e) {
        return;
      }
    }
  }

  private static void serve(Socket socket) {
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
        final byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        handle(line.split(" ")[1], headers, new String(body, StandardCharsets.UTF_8), out);
      }
    } catch (final IOException e) {
      // the connection has ended
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void handle(String path, Map<String, String> headers, String body, OutputStream out)
      throws IOException, InterruptedException {
    final String attempt = headers.getOrDefault("weldpoint-attempt-id", "");
    if (path.equals("/health")) {
      Upstream.write(out, 200, attempt, "Weldpoint-Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (!headers.getOrDefault("weldpoint-target-instance", id).equals(id)) {
      Upstream.write(out, 421, attempt, "Weldpoint-Not-Executed: true\r\n", new byte[0]);
    } else if (path.equals("/api/grant")) {
      Upstream.write(out, grant(body), attempt, "", new byte[0]);
    } else if (path.equals("/api/release")) {
      release(body);
      Upstream.write(
          out, 200, attempt, "Weldpoint-Duty-Transfer: " + Long.toHexString(System.nanoTime()) + "\r\n", new byte[0]);
    } else {
      run(attempt, Integer.parseInt(headers.get("weldpoint-shard-key")), out);
    }
  }

  /** Calls about keys are taken one after the other. */
  private static int grant(String body) throws InterruptedException {
    synchronized (lock) {
      Thread.sleep(CONTROL_CALL_MILLIS);
      final int first = (int) number(body, "source");
      final int last = (int) number(body, "targetVersion");
      final long fence = number(body, "fenceNumber");
      for (int key = first; key <= last; key++) {
        if (fences[key] > fence) {
          say("GRANT 409 " + first + " " + last + " " + fence + " 0");
          return 409;
        }
      }
      final long until = now() + number(body, "holdMs");
      for (int key = first; key <= last; key++) {
        fences[key] = fence;
        heldUntil[key] = until;
      }
      say("GRANT 200 " + first + " " + last + " " + fence + " " + until);
      return 200;
    }
  }

  private static void release(String body) throws InterruptedException {
    synchronized (lock) {
      Thread.sleep(CONTROL_CALL_MILLIS);
      final int first = (int) number(body, "source");
      final int last = (int) number(body, "targetVersion");
      final long fence = number(body, "fenceNumber");
      for (int key = first; key <= last; key++) {
        fences[key] = Math.max(fences[key], fence);
        heldUntil[key] = 0;
      }
      say("RELEASE 200 " + first + " " + last + " " + fence + " 0");
      for (int key = first; key <= last; key++) {
        while (running[key] > 0) {
          lock.wait();
        }
      }
    }
  }

  private static void run(String attempt, int key, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(PREPARE_MILLIS);
    synchronized (lock) {
      if (now() >= heldUntil[key]) {
        Upstream.write(out, 421, attempt, "Weldpoint-Not-Executed: true\r\n", new byte[0]);
        return;
      }
      running[key]++;
      say("BEGIN " + key + " " + attempt);
    }
    Thread.sleep(WORK_MILLIS);
    final boolean held;
    synchronized (lock) {
      held = now() < heldUntil[key];
      running[key]--;
      lock.notifyAll();
    }
    Upstream.write(
        out, held ? 200 : 500, attempt, "Weldpoint-Server-Seal: " + id + "." + attempt + "\r\n",
        attempt.getBytes(StandardCharsets.UTF_8));
  }
}
