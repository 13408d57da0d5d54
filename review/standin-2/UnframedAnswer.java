import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A daemon gets SIGTERM while upstreams are at work on confirmations, whose answers have no length
 * and end with their connection. LOST is broken if the daemon breaks a request off while its
 * upstream is at work on it and puts an answer of its own in its place.
 */
public final class UnframedAnswer {
  /** Answers without a length: the head at once, the body while it works, then the end. */
  private static final class Desk extends Upstream {
    final AtomicInteger brokenOff = new AtomicInteger();

    Desk(Fleet fleet, String id, int index) throws IOException {
      super(fleet, id, "booking-desk", index);
    }

    @Override
    boolean answer(Run run, OutputStream out) throws IOException, InterruptedException {
      Thread.sleep(workMillis / 2);
      out.write(
          ("HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: "
                  + run.attempt
                  + "\r\nWeldpoint-Server-Seal: "
                  + id
                  + "\r\nConnection: close\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      try {
        for (int i = 0; i < 10; i++) {
          Thread.sleep(workMillis / 20);
          out.write(("part " + i + " of " + run.attempt + "\n").getBytes(StandardCharsets.UTF_8));
          out.flush();
        }
        run.answeredAt = fleet.record.seconds();
        fleet.record.line(id + " has written the whole answer to " + run.attempt);
      } catch (final IOException e) {
        brokenOff.incrementAndGet();
        fleet.record.line(id + " is cut off while it answers " + run.attempt + ": " + e.getMessage());
      }
      return false;
    }
  }

  public static void main(String[] arguments) throws Exception {
    int exit = 2;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(arguments[0]);
        Fleet fleet = new Fleet(record, 5, 3)) {
      fleet.startAll();
      final List<Desk> desks = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        desks.add(new Desk(fleet, "i-7f3a91c" + i, i));
        desks.get(i).workMillis = 1500;
      }
      final Http.Reply ack =
          fleet.order(
              "/api/rpc?call=configuration.replace",
              Setup.configuration(
                  "00000001",
                  List.of(Setup.rule("move-confirm", "mutating", "/confirm/", "booking-desk", 4000)),
                  List.of(Setup.pool("booking-desk"))),
              40_000);
      record.line("operator gets for version 1: " + ack);
      for (final Desk desk : desks) {
        desk.register(20_000);
      }
      fleet.awaitReady(30_000);
      Thread.sleep(5000);
      final List<Thread> clients = new ArrayList<>();
      final AtomicInteger own = new AtomicInteger();
      final AtomicInteger cut = new AtomicInteger();
      for (int i = 0; i < 8; i++) {
        final String attempt = "c-" + i;
        final Thread client =
            new Thread(
                () -> {
                  final Map<String, String> headers = new LinkedHashMap<>();
                  headers.put("Host", "desk.example");
                  headers.put("Weldpoint-Attempt-Id", attempt);
                  headers.put("Weldpoint-Deadline-Ms", "4000");
                  record.line("client sends " + attempt);
                  final Http.Reply reply =
                      Http.call(fleet.frontend(0), "POST", "/confirm/" + attempt, headers, "deposit", 6000);
                  record.line(
                      "client gets for " + attempt + ": " + reply + " seal "
                          + reply.headers.getOrDefault("weldpoint-server-seal", "none"));
                  if (reply.status <= 0) {
                    cut.incrementAndGet();
                  } else if (!reply.headers.containsKey("weldpoint-server-seal")) {
                    own.incrementAndGet();
                  }
                });
        client.start();
        clients.add(client);
      }
      Thread.sleep(300);
      final long begun = desks.stream().mapToLong(desk -> desk.runs.size()).sum();
      record.line(begun + " requests have begun to run");
      if (trouble) {
        fleet.term(fleet.edges.get(0));
      }
      for (final Thread client : clients) {
        client.join();
      }
      Thread.sleep(1500);
      int broken = 0;
      for (final Desk desk : desks) {
        broken += desk.brokenOff.get();
      }
      record.line(
          "answers of the daemon's own " + own + ", connections that ended without one " + cut
              + ", upstreams cut off at work " + broken);
      final boolean lost = trouble && (cut.get() > 0 || own.get() > 0 && broken > 0);
      exit = begun < 8 || ack.status != 200 ? 2 : lost ? 1 : 0;
      record.line(exit == 2 ? "the case could not run" : exit == 1 ? "LOST is broken" : "LOST held");
    } catch (final Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }
}
