import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The daemon that has passed keyed confirmations on is killed; their clients repeat them with the
 * same key at another daemon. TWICE is broken if both requests of a key ran.
 */
public final class RepeatedKey {
  private static final String KEY = "y5rcpihhacruddedev3n";
  private static final int OPERATIONS = 6;

  private static Http.Reply request(
      Fleet fleet, Record record, int edge, String attempt, String operation) {
    final Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", "desk.example");
    headers.put("Weldpoint-Attempt-Id", attempt);
    headers.put("Weldpoint-Operation-Key", operation);
    headers.put("Weldpoint-Deadline-Ms", "10994");
    headers.put("Authorization", "Bearer " + KEY);
    record.line("client sends " + attempt + " key " + operation + " to edge " + edge);
    final Http.Reply reply =
        Http.call(
            fleet.frontend(edge), "POST", "/confirm/" + operation, headers, "deposit " + operation, 12_000);
    record.line("client gets for " + attempt + ": " + reply);
    return reply;
  }

  public static void main(String[] arguments) throws Exception {
    int exit = 2;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(arguments[0]);
        Fleet fleet = new Fleet(record, 5, 10)) {
      fleet.startAll();
      final List<Upstream> desks = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        desks.add(new Upstream(fleet, "i-7f3a91c" + i, "booking-desk", i));
        desks.get(i).workMillis = 1500;
      }
      final String open =
          Setup.configuration(
              "00000001",
              List.of(Setup.rule("move-confirm", "keyed", "/confirm/", "booking-desk", 11_000)),
              List.of(Setup.pool("booking-desk")));
      final String configuration =
          open.substring(0, open.length() - 1)
              + ",\"tenants\":[{\"name\":\"kaje80\",\"apiKeys\":[\""
              + KEY
              + "\"],\"ratePerS\":0}]}";
      final Http.Reply ack =
          fleet.order("/api/rpc?call=configuration.replace", configuration, 40_000);
      record.line("operator gets for version 1: " + ack);
      for (final Upstream desk : desks) {
        desk.register(20_000);
      }
      fleet.awaitReady(30_000);
      Thread.sleep(5000);
      final List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < OPERATIONS; i++) {
        final String operation = "k-551" + i;
        final Thread client =
            new Thread(
                () -> {
                  final Http.Reply first = request(fleet, record, 0, "first-" + operation, operation);
                  if (first.status == 200) {
                    return;
                  }
                  try {
                    Thread.sleep(2500);
                  } catch (final InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                  request(fleet, record, 1, "second-" + operation, operation);
                });
        client.start();
        clients.add(client);
      }
      Thread.sleep(700);
      final long begun = desks.stream().mapToLong(desk -> desk.runs.size()).sum();
      record.line(begun + " of " + OPERATIONS + " first requests have begun to run");
      if (trouble) {
        fleet.kill(fleet.edges.get(0));
        TimeUnit.MILLISECONDS.sleep(300);
        fleet.start(fleet.edges.get(0));
      }
      for (final Thread client : clients) {
        client.join();
      }
      Thread.sleep(500);
      final Map<String, List<Upstream.Run>> byKey = new LinkedHashMap<>();
      for (final Upstream desk : desks) {
        for (final Upstream.Run run : desk.runs) {
          byKey.computeIfAbsent(run.key, key -> new ArrayList<>()).add(run);
        }
      }
      int twice = 0;
      for (final Map.Entry<String, List<Upstream.Run>> entry : byKey.entrySet()) {
        twice += entry.getValue().size() > 1 ? 1 : 0;
        for (final Upstream.Run run : entry.getValue()) {
          record.line(
              "key " + entry.getKey() + " ran as " + run.attempt + " at " + run.instance
                  + String.format(java.util.Locale.ROOT, " at %.3f s", run.at));
        }
      }
      record.line(twice + " of " + byKey.size() + " keys ran twice");
      exit = ack.status != 200 || begun == 0 ? 2 : twice > 0 ? 1 : 0;
      record.line(exit == 2 ? "the case could not run" : exit == 1 ? "TWICE is broken" : "TWICE held");
    } catch (final Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }
}
