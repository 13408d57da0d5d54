package weldpoint.review;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy is stopped in order while sheets are on their way to clients over its own link. */
final class Sheets {
  private static final double LINK_MBPS = 5.04;
  private static final int DEADLINE_MILLIS = 6000;
  private static final int WORK_MILLIS = 270;
  private static final int SMALL = 90_000;
  private static final int LARGE = 540_000;
  private static final long GRACE_MILLIS = 6000;

  private static final class Pull {
    final String id;
    final int size;
    final long sentAt;
    volatile long endedAt = -1;
    volatile Http.Answer answer;

    Pull(final String id, final int size, final long sentAt) {
      this.id = id;
      this.size = size;
      this.sentAt = sentAt;
    }
  }

  private Sheets() {}

  public static void main(final String[] arguments) {
    int code = 2;
    try (Record record = new Record(Path.of("review/2/record.txt"))) {
      code = play(record, !"0".equals(System.getenv("TROUBLE")));
      record.note("exit %d", code);
    } catch (final Exception problem) {
      problem.printStackTrace();
    }
    System.exit(code);
  }

  private static int play(final Record record, final boolean trouble) throws Exception {
    final Map<String, Long> answered = new ConcurrentHashMap<>();
    try (Fleet fleet = new Fleet(3, 2, Plans.fields(Double.toString(LINK_MBPS)))) {
      fleet.start(Plans.configuration(1, 15_000));
      for (int index = 0; index < 3; index++) {
        new Upstream(fleet, "doc-" + index, "doc-store", "127.31.3." + (1 + index) + ":" + (fleet.port + 25),
            Fleet.zone(index),
            (id, head, body) -> {
              record.note("upstream runs %s", id);
              Thread.sleep(WORK_MILLIS);
              answered.put(id, record.now());
              return new byte[Integer.parseInt(head.first.split(" ")[1].split("size=")[1])];
            });
      }
      final String link = "127.31.4.1:" + (fleet.port + 26);
      final Slow slow = new Slow(link, fleet.front(0), LINK_MBPS);
      Thread.sleep(3000);
      record.note("begin: clients pull sheets through the link of edge-0, %s Mbit/s", LINK_MBPS);
      final List<Pull> pulls = new ArrayList<>();
      final List<Thread> clients = new ArrayList<>();
      final long stopAt = record.now() + 3000;
      long next = record.now();
      long stopped = -1;
      for (int number = 0; record.now() < stopAt + 2200; number++) {
        final Pull pull = new Pull(String.format("%016x", 0x5100 + number), number % 4 == 2 ? LARGE : SMALL, record.now());
        pulls.add(pull);
        final Thread client = new Thread(() -> pull(record, link, pull));
        client.start();
        clients.add(client);
        next += 400;
        while (record.now() < next) {
          Thread.sleep(5);
          if (stopped < 0 && record.now() >= stopAt) {
            stopped = record.now();
            record.note(trouble ? "SIGTERM to the switchboard of edge-0" : "no trouble");
            if (trouble) {
              fleet.switchboards.get(0).signal("TERM");
            }
          }
        }
      }
      final Fleet.Daemon edge = fleet.switchboards.get(0);
      while (edge.alive() && record.now() < stopAt + GRACE_MILLIS) {
        Thread.sleep(5);
      }
      record.note("the switchboard of edge-0 %s", edge.alive() ? "still runs" : "has ended by itself");
      for (final Thread client : clients) {
        client.join(DEADLINE_MILLIS + 2000);
      }
      slow.close();
      return judge(record, pulls, answered, stopped);
    }
  }

  private static void pull(final Record record, final String link, final Pull pull) {
    record.note("client sends %s, for a sheet of %d bytes", pull.id, pull.size);
    try (Socket socket = new Socket()) {
      socket.connect(Http.address(link), 1000);
      socket.setSoTimeout(DEADLINE_MILLIS + 500);
      socket.getOutputStream().write(
          Http.request(link, "GET", "/pull/a?size=" + pull.size,
              "Host: " + Plans.HOST + "\r\nWeldpoint-Attempt-Id: " + pull.id + "\r\nWeldpoint-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n",
              new byte[0]));
      pull.answer = Http.read(socket.getInputStream(), "GET");
    } catch (final java.io.IOException problem) {
      pull.answer = new Http.Answer();
      pull.answer.problem = "no connection: " + problem.getMessage();
    }
    pull.endedAt = record.now();
    record.note("client has %s: status %d, %d bytes %s", pull.id, pull.answer.status, pull.answer.body.length, pull.answer.problem);
  }

  private static int judge(
      final Record record, final List<Pull> pulls, final Map<String, Long> answered, final long stopped) {
    int lost = 0;
    int whole = 0;
    for (final Pull pull : pulls) {
      if (pull.answer == null) {
        return 2;
      }
      if (pull.answer.whole()) {
        whole++;
        continue;
      }
      final Long done = answered.get(pull.id);
      if (done == null) {
        record.note("not counted, since no upstream had it: %s", pull.id);
      } else if (pull.endedAt - pull.sentAt >= DEADLINE_MILLIS) {
        record.note("not counted, since its time was over: %s", pull.id);
      } else if (pull.endedAt < stopped || pull.endedAt > stopped + GRACE_MILLIS + 1000) {
        record.note("not counted, since it ended outside of the span after the SIGTERM: %s", pull.id);
      } else {
        lost++;
        record.note("LOST: %s, answered whole by its upstream %d ms after the SIGTERM, cut %d ms after it, %d ms after it was sent",
            pull.id, done - stopped, pull.endedAt - stopped, pull.endedAt - pull.sentAt);
      }
    }
    record.note("%d pulls, %d with a whole answer, %d lost", pulls.size(), whole, lost);
    return lost > 0 ? 1 : whole == pulls.size() || stopped > 0 && whole > 0 ? 0 : 2;
  }
}
