package weldpoint.review;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A configuration gives a tenant a home region; its requests go on arriving elsewhere. */
final class Homes {
  private static final int CONFIG_MILLIS = 3000;
  private static final int REQUESTS = 40;
  private static final String KEY = "k7sando41";

  private Homes() {}

  public static void main(final String[] arguments) {
    int code = 2;
    try (Record record = new Record(Path.of("review/" + arguments[0] + "/record.txt"))) {
      code = play(record, !"0".equals(System.getenv("TROUBLE")));
      record.note("exit %d", code);
    } catch (final Exception problem) {
      problem.printStackTrace();
    }
    System.exit(code);
  }

  private static String tenants(final boolean homed) {
    return "\"tenants\":[{\"name\":\"firm-sando\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1"
        + (homed ? ",\"homeRegions\":[\"south\"]" : "") + "},{\"name\":\"firm-port\",\"apiKeys\":[\"k2port\"],\"priority\":1}],";
  }

  private static int play(final Record record, final boolean trouble) throws Exception {
    final Map<String, String> arrivals = new ConcurrentHashMap<>();
    try (Fleet fleet = new Fleet(3, 1, Plans.fields("1000.0"))) {
      fleet.start(Plans.configuration(1, 15_000, false, tenants(false)));
      for (int index = 0; index < 4; index += 3) {
        final String region = index == 3 ? "south" : "north";
        new Upstream(fleet, "desk-" + region, "booking-desk", "127.31.3." + (1 + index) + ":" + (fleet.port + 25), Fleet.zone(index),
            (id, head, body) -> {
              arrivals.put(id, region);
              record.note("the upstream in %s runs %s of tenant %s", region, id, head.headers.get("weldpoint-tenant"));
              Thread.sleep(50);
              return new byte[100];
            });
      }
      Thread.sleep(4000);
      int served = requests(record, fleet, "a");
      long acknowledged = -1;
      if (trouble) {
        while (Http.call(fleet.control(0), "POST", "/api/rpc?call=configuration.replace", "",
                Plans.configuration(2, 15_000, false, tenants(true)).getBytes(), 1000).status != 200) {
          Thread.sleep(100);
          if (record.now() > 60_000) {
            return 2;
          }
        }
        acknowledged = record.now();
        record.note("configuration 00000002 is acknowledged: the homes of firm-sando are [south]");
      }
      Thread.sleep(CONFIG_MILLIS + 1000);
      served += requests(record, fleet, "b");
      final String read = new String(Http.call(fleet.control(0), "POST", "/api/rpc?call=configuration.read", "", new byte[0], 1000).body);
      record.note("read back: version %s, with homes of the tenant: %s", read.substring(12, 20), read.contains("\"homeRegions\":[\"south\"]"));
      int foreign = 0;
      for (final Map.Entry<String, String> one : arrivals.entrySet()) {
        if (acknowledged >= 0 && one.getKey().startsWith("b") && one.getValue().equals("north")) {
          foreign++;
        }
      }
      record.note("%d requests served; %d of those sent over %d ms after the acknowledgement arrived outside of the tenant's homes", served, foreign, CONFIG_MILLIS);
      return served < REQUESTS ? 2 : foreign > 0 ? 1 : 0;
    }
  }

  private static int requests(final Record record, final Fleet fleet, final String first) throws InterruptedException {
    int served = 0;
    for (int number = 0; number < REQUESTS; number++) {
      final String id = first + String.format("%015x", number);
      record.note("client in port-hall sends %s with the key of firm-sando", id);
      final Http.Answer answer = Http.call(fleet.front(0), "GET", "/look/a",
          "Host: " + Plans.HOST + "\r\nWeldpoint-Attempt-Id: " + id + "\r\nWeldpoint-Deadline-Ms: 3000\r\nAuthorization: Bearer " + KEY + "\r\n",
          new byte[0], 4000);
      record.note("client has %s: status %d %s", id, answer.status, answer.problem);
      served += answer.status == 200 ? 1 : 0;
      Thread.sleep(50);
    }
    return served;
  }
}
