import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upstream that holds keys freezes for a while and wakes again. OWNER is broken if it and the
 * next holder of its keys hold the same keys during one stretch of time, and both begin requests on
 * those keys in it.
 */
public final class FrozenHolder {
  private record Event(long at, String server, String[] words) {}

  private record Hold(String server, int first, int last, long from, long until) {}

  private static final List<Event> events = new CopyOnWriteArrayList<>();

  private static Process server(Fleet fleet, Record record, String id, int index) throws Exception {
    final List<String> command = new ArrayList<>(List.of("java", "-Xmx64m", "-cp", "target/review-2", "KeyServer"));
    command.addAll(
        List.of(
            id, "doc-store", "127." + fleet.net + ".5." + (1 + index), Integer.toString(fleet.firstPort + 20), Fleet.ZONES[index]));
    for (int core = 0; core < 5; core++) {
      command.add(fleet.controlOf(core));
    }
    final Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    fleet.watch(process);
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    Upstream.daemon(
        () -> {
          try (BufferedReader in =
              new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
              final String[] words = line.split(" ");
              events.add(new Event(Long.parseLong(words[0]), words[1], java.util.Arrays.copyOfRange(words, 2, words.length)));
            }
          } catch (final Exception e) {
            record.line("output of " + id + " ended: " + e.getMessage());
          }
        });
    return process;
  }

  private static List<Hold> holds(List<Event> all) {
    final List<Hold> holds = new ArrayList<>();
    for (final Event grant : all) {
      if (grant.words[0].equals("GRANT") && grant.words[1].equals("200")) {
        final int first = Integer.parseInt(grant.words[2]);
        final int last = Integer.parseInt(grant.words[3]);
        long until = Long.parseLong(grant.words[5]);
        for (final Event release : all) {
          if (release.words[0].equals("RELEASE")
              && release.server.equals(grant.server)
              && release.at >= grant.at
              && Integer.parseInt(release.words[2]) <= last
              && Integer.parseInt(release.words[3]) >= first) {
            until = Math.min(until, release.at);
          }
        }
        holds.add(new Hold(grant.server, first, last, grant.at, until));
      }
    }
    return holds;
  }

  private static long begins(List<Event> all, String server, int first, int last, long from, long until) {
    return all.stream()
        .filter(
            e ->
                e.words[0].equals("BEGIN")
                    && e.server.equals(server)
                    && e.at >= from
                    && e.at <= until
                    && Integer.parseInt(e.words[1]) >= first
                    && Integer.parseInt(e.words[1]) <= last)
        .count();
  }

  public static void main(String[] arguments) throws Exception {
    int exit = 2;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final int freezeMillis = 11_000;
    Process frozen = null;
    Process other = null;
    try (Record record = new Record(arguments[0]);
        Fleet fleet = new Fleet(record, 5, 2)) {
      fleet.extraFields.put("bounds.holdLimitMs", "10000");
      fleet.startAll();
      final String open =
          Setup.configuration(
              "00000001",
              List.of(Setup.rule("sheet-pull", "mutating", "/sheet/", "doc-store", 4000)),
              List.of(Setup.pool("doc-store").replace("}", ",\"partitioned\":true}")));
      final Http.Reply ack = fleet.order("/api/rpc?call=configuration.replace", open, 40_000);
      record.line("operator gets for version 1: " + ack);
      frozen = server(fleet, record, "i-frozen", 0);
      other = server(fleet, record, "i-other", 2);
      fleet.awaitReady(30_000);
      Thread.sleep(9000);
      // keys that the first upstream holds
      final int[] range = new int[2];
      for (final Event e : events) {
        if (e.server.equals("i-frozen") && e.words[0].equals("GRANT") && e.words[1].equals("200")) {
          range[0] = Integer.parseInt(e.words[2]);
          range[1] = Integer.parseInt(e.words[3]);
        }
      }
      record.line("i-frozen holds keys " + range[0] + " to " + range[1]);
      final long until = System.currentTimeMillis() + freezeMillis + 9000;
      final AtomicInteger served = new AtomicInteger();
      final AtomicInteger others = new AtomicInteger();
      final List<Thread> clients = new ArrayList<>();
      for (int c = 0; c < 24; c++) {
        final int client = c;
        final Thread thread =
            new Thread(
                () -> {
                  for (int i = 0; System.currentTimeMillis() < until; i++) {
                    final int key = range[0] + (client * 997 + i * 131) % (range[1] - range[0] + 1);
                    final Map<String, String> headers = new LinkedHashMap<>();
                    headers.put("Host", "desk.example");
                    headers.put("Weldpoint-Attempt-Id", "c" + client + "-" + i);
                    headers.put("Weldpoint-Deadline-Ms", "900");
                    headers.put("Weldpoint-Shard-Key", Integer.toString(key));
                    final Http.Reply reply =
                        Http.call(fleet.frontend(client % 2), "POST", "/sheet/" + i, headers, "x", 5000);
                    if (reply.status == 200) {
                      served.incrementAndGet();
                    } else {
                      others.incrementAndGet();
                      try {
                        Thread.sleep(100);
                      } catch (final InterruptedException e) {
                        return;
                      }
                    }
                  }
                });
        thread.start();
        clients.add(thread);
      }
      Thread.sleep(3000);
      long thawedAt = Long.MAX_VALUE;
      if (trouble) {
        record.line("i-frozen freezes, at " + KeyServer.now());
        new ProcessBuilder("kill", "-STOP", Long.toString(frozen.pid())).start().waitFor();
        Thread.sleep(freezeMillis);
        thawedAt = KeyServer.now();
        record.line("i-frozen wakes, at " + thawedAt);
        new ProcessBuilder("kill", "-CONT", Long.toString(frozen.pid())).start().waitFor();
      }
      for (final Thread client : clients) {
        client.join();
      }
      final List<Event> all = new ArrayList<>(events);
      all.sort(java.util.Comparator.comparingLong(Event::at));
      for (final Event e : all) {
        if (!e.words[0].equals("BEGIN")
            || trouble && e.server.equals("i-frozen") && e.at >= thawedAt) {
          record.line(e.at + " " + e.server + " " + String.join(" ", e.words));
        }
      }
      int broken = 0;
      final List<Hold> holds = holds(all);
      for (final Hold a : holds) {
        for (final Hold b : holds) {
          if (a.server.compareTo(b.server) < 0) {
            final int first = Math.max(a.first, b.first);
            final int last = Math.min(a.last, b.last);
            final long from = Math.max(a.from, b.from);
            final long to = Math.min(a.until, b.until);
            if (first <= last && from < to) {
              final long mine = begins(all, a.server, first, last, from, to);
              final long theirs = begins(all, b.server, first, last, from, to);
              record.line(
                  "both hold keys " + first + "-" + last + " from " + from + " to " + to + ": " + a.server
                      + " begins " + mine + ", " + b.server + " begins " + theirs);
              broken += mine > 0 && theirs > 0 ? 1 : 0;
            }
          }
        }
      }
      record.line("served " + served + ", other answers " + others);
      exit = served.get() < 50 || range[1] == 0 ? 2 : broken > 0 ? 1 : 0;
      record.line(exit == 2 ? "the case could not run" : exit == 1 ? "OWNER is broken" : "OWNER held");
    } catch (final Exception e) {
      e.printStackTrace();
    } finally {
      if (frozen != null) {
        frozen.destroyForcibly();
      }
      if (other != null) {
        other.destroyForcibly();
      }
    }
    System.exit(exit);
  }
}
