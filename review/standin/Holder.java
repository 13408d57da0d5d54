package weldpoint.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in upstream of a service that is divided by key: it runs a request only while it holds its
 * key, works on {@code slots} at once, queues a few more, and turns the rest away with 503 and
 * Weldpoint-Not-Executed. While it garbles, a share of its answers is followed, late, by a second
 * copy on the same connection.
 */
final class Holder extends Upstream {
  private static final int SLOTS = 6;
  private static final int QUEUE = 8;
  private static final int KEYS = 65_536;
  private final long[] seenFence = new long[KEYS];
  private final long[] heldUntil = new long[KEYS];
  private final int[] running = new int[KEYS];
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final AtomicInteger inside = new AtomicInteger();
  final AtomicInteger busy = new AtomicInteger();
  final AtomicInteger declined = new AtomicInteger();
  final AtomicInteger surplus = new AtomicInteger();
  private final Random random;
  private final Record record;
  private final Work work;
  volatile double garbles;
  private int handovers;

  Holder(
      final Fleet fleet, final String id, final String address, final String zone, final Record record,
      final long seed, final Work work)
      throws IOException {
    super(fleet, id, "booking-desk", address, zone, work);
    this.record = record;
    this.random = new Random(seed);
    this.work = work;
  }

  private static long number(final String json, final String name) {
    final int at = json.indexOf("\"" + name + "\":") + name.length() + 3;
    int end = at;
    while (end < json.length() && Character.isDigit(json.charAt(end))) {
      end++;
    }
    return Long.parseLong(json.substring(at, end));
  }

  private String order(final String path, final byte[] body) throws InterruptedException {
    final String json = new String(body);
    final int first = (int) number(json, "source");
    final int last = (int) number(json, "targetVersion");
    final long fence = number(json, "fenceNumber");
    synchronized (this) {
      if (path.equals("/api/grant")) {
        final long until = System.nanoTime() + number(json, "holdMs") * 1_000_000;
        for (int key = first; key <= last; key++) {
          if (seenFence[key] > fence) {
            return "409 Conflict|";
          }
        }
        for (int key = first; key <= last; key++) {
          seenFence[key] = fence;
          heldUntil[key] = until;
        }
        return "200 OK|";
      }
      for (int key = first; key <= last; key++) {
        seenFence[key] = Math.max(seenFence[key], fence);
        heldUntil[key] = 0;
      }
      while (works(first, last)) {
        wait(1000);
      }
      return "200 OK|Weldpoint-Duty-Transfer: " + id + "-" + ++handovers + "\r\n";
    }
  }

  private boolean works(final int first, final int last) {
    for (int key = first; key <= last; key++) {
      if (running[key] > 0) {
        return true;
      }
    }
    return false;
  }

  @Override
  void serve(final Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      final Link link = new Link(socket.getOutputStream());
      while (true) {
        final Http.Head head = Http.head(in);
        if (head == null) {
          return;
        }
        final byte[] body = Http.body(in, head);
        final String path = head.first.split(" ")[1];
        if (path.startsWith("/api/")) {
          final String[] answer = order(path, body).split("\\|", -1);
          send(link.out, answer[0], answer[1], new byte[0]);
        } else {
          sendLate(link, head.headers.get("weldpoint-attempt-id"));
          request(link, head, body);
        }
      }
    } catch (final Exception ended) {
      // the connection is over
    }
  }

  private void request(final Link link, final Http.Head head, final byte[] body) throws Exception {
    final String attempt = head.headers.get("weldpoint-attempt-id");
    final int key = Integer.parseInt(head.headers.get("weldpoint-shard-key"));
    final String echo = "Weldpoint-Attempt-Id: " + attempt + "\r\n";
    final boolean mine;
    synchronized (this) {
      mine = id.equals(head.headers.get("weldpoint-target-instance")) && heldUntil[key] > System.nanoTime();
    }
    if (!mine) {
      answer(link, "421 Misdirected Request", echo + "Weldpoint-Not-Executed: 1\r\n", attempt);
      return;
    }
    if (inside.incrementAndGet() > SLOTS + QUEUE) {
      inside.decrementAndGet();
      declined.incrementAndGet();
      answer(link, "503 Service Unavailable", echo + "Weldpoint-Not-Executed: 1\r\n" + load(), attempt);
      return;
    }
    try {
      slots.acquire();
      synchronized (this) {
        running[key]++;
      }
      try {
        busy.incrementAndGet();
        work.run(attempt, head, body);
      } finally {
        busy.decrementAndGet();
        slots.release();
        synchronized (this) {
          running[key]--;
          notifyAll();
        }
      }
    } finally {
      inside.decrementAndGet();
    }
    answer(link, "200 OK", echo + "Weldpoint-Server-Seal: seal." + id + "." + attempt + "\r\n" + load(), attempt);
  }

  private String load() {
    return "Weldpoint-Instance-Load: " + busy.get() + "," + Math.max(0, inside.get() - busy.get()) + "," + SLOTS + "\r\n";
  }

  /**
   * Answers; while this upstream garbles, a share of its answers comes once more, late: in the place
   * of the next one due on that connection.
   */
  private void answer(final Link link, final String status, final String headers, final String attempt)
      throws IOException {
    synchronized (link) {
      send(link.out, status, headers, new byte[0]);
      if (random.nextDouble() < garbles) {
        surplus.incrementAndGet();
        link.late = new String[] {status, headers, attempt};
      }
    }
  }

  /** A connection, with the answer that will come once more on it. */
  private static final class Link {
    final OutputStream out;
    String[] late;

    Link(final OutputStream out) {
      this.out = out;
    }
  }

  private void sendLate(final Link link, final String by) {
    final String[] late = link.late;
    link.late = null;
    if (late == null) {
      return;
    }
    final long millis = 10 + random.nextInt(30);
    daemon(
        () -> {
          try {
            Thread.sleep(millis);
            synchronized (link) {
              send(link.out, late[0], late[1], new byte[0]);
            }
            record.note("upstream %s sends its answer %s to %s once more, %d ms after %s came on that connection",
                id, late[0].substring(0, 3), late[2], millis, by);
          } catch (final IOException | InterruptedException closed) {
            // the connection is over
          }
        });
  }
}
