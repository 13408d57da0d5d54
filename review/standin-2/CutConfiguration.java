import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An operator sends a configuration that cannot be read whole: a brace too many ends the JSON value
 * before the tenants. CONFIG is broken if it is acknowledged or in force.
 */
public final class CutConfiguration {
  private static final String KEY = "y5rcpihhacruddedev3n";

  /** An upstream that also records the API key and the tenant that it was handed. */
  private static final class Desk extends Upstream {
    final List<String> credentials = new CopyOnWriteArrayList<>();

    Desk(Fleet fleet, String id, int index) throws IOException {
      super(fleet, id, "booking-desk", index);
    }

    @Override
    boolean handle(String method, String path, Map<String, String> headers, OutputStream out)
        throws IOException, InterruptedException {
      if (path.startsWith("/confirm/")) {
        final String handed =
            "tenant "
                + headers.getOrDefault("weldpoint-tenant", "none")
                + ", key "
                + headers.getOrDefault("authorization", "none");
        credentials.add(handed);
        fleet.record.line(
            id + " is handed " + headers.get("weldpoint-attempt-id") + " with " + handed);
      }
      return super.handle(method, path, headers, out);
    }
  }

  private static Http.Reply request(Fleet fleet, Record record, String id, String key) {
    final Map<String, String> headers = new java.util.LinkedHashMap<>();
    headers.put("Host", "desk.example");
    headers.put("Weldpoint-Attempt-Id", id);
    headers.put("Weldpoint-Deadline-Ms", "4000");
    if (key != null) {
      headers.put("Authorization", "Bearer " + key);
    }
    record.line("client sends " + id + (key == null ? " without a key" : " with key " + key));
    final Http.Reply reply =
        Http.call(fleet.frontend(0), "POST", "/confirm/" + id, headers, "deposit", 5000);
    record.line("client gets for " + id + ": " + reply);
    return reply;
  }

  public static void main(String[] arguments) throws Exception {
    int exit = 2;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(arguments[0]);
        Fleet fleet = new Fleet(record, 5, 1)) {
      fleet.startAll();
      final Desk desk = new Desk(fleet, "i-7f3a91c2", 0);
      final String tenants =
          "\"tenants\":[{\"name\":\"kaje80\",\"apiKeys\":[\"" + KEY + "\"],\"ratePerS\":0}]";
      final List<String> rules =
          List.of(Setup.rule("move-confirm", "mutating", "/confirm/", "booking-desk", 4000));
      final List<String> pools = List.of(Setup.pool("booking-desk"));
      final String open1 = Setup.configuration("00000001", rules, pools);
      final String first = open1.substring(0, open1.length() - 1) + "," + tenants + "}";
      final Http.Reply ack = fleet.order("/api/rpc?call=configuration.replace", first, 40_000);
      record.line("operator gets for version 1 (one tenant, valid): " + ack);
      desk.register(20_000);
      fleet.awaitReady(30_000);
      Thread.sleep(3000);
      final Http.Reply before = request(fleet, record, "a-without-key", null);
      final Http.Reply good = request(fleet, record, "a-with-key", KEY);
      if (ack.status != 200 || before.status != 401 || good.status != 200) {
        record.line("the case cannot run: version 1 is not in force");
      } else {
        final String open2 = Setup.configuration("00000002", rules, pools);
        // The valid form of version 2, and the same bytes with a brace too many before the tenants.
        final String second =
            trouble ? open2 + "," + tenants + "}" : open2.substring(0, open2.length() - 1) + "," + tenants + "}";
        record.line("operator sends version 2: " + second);
        final Http.Reply order = fleet.order("/api/rpc?call=configuration.replace", second, 10_000);
        record.line("operator gets for version 2: " + order);
        Thread.sleep(4000);
        final Http.Reply read = fleet.order("/api/rpc?call=configuration.read", "", 10_000);
        record.line("operator reads back: " + read.status + " " + read.text());
        final Http.Reply without = request(fleet, record, "b-without-key", null);
        final Http.Reply wrong = request(fleet, record, "b-wrong-key", "never-in-any-configuration");
        final Http.Reply with = request(fleet, record, "b-with-key", KEY);
        final boolean acknowledged = order.status >= 200 && order.status < 300;
        final boolean keyPassedOn = desk.credentials.stream().anyMatch(c -> c.contains("Bearer"));
        final boolean obeyed = without.status == 200 || wrong.status == 200 || keyPassedOn;
        record.line(
            "acknowledged "
                + acknowledged
                + ", runs without a key "
                + (without.status == 200)
                + ", runs with a key that no configuration held "
                + (wrong.status == 200)
                + ", key handed to the upstream "
                + keyPassedOn
                + ", with the key "
                + with.status);
        exit = trouble ? (acknowledged || obeyed ? 1 : 0) : (acknowledged && !obeyed ? 0 : 1);
        record.line(exit == 0 ? "CONFIG held" : "CONFIG is broken");
      }
    } catch (final Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }
}
