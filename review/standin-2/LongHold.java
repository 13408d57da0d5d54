import java.util.Map;

/**
 * A caller takes a lock for as long as it can say; another caller asks for the same lock. ONE is
 * broken if both count themselves its holder at the same moment.
 */
public final class LongHold {
  private static Http.Reply begin(Fleet fleet, Record record, int core, String lock, String owner, String hold) {
    record.line(owner + " sends locks.begin of " + lock + " with holdMs " + hold);
    final Http.Reply reply =
        Http.call(
            fleet.controlOf(core),
            "POST",
            "/api/rpc?call=locks.begin&of=" + lock,
            Map.of("Content-Type", "application/json"),
            "{\"owner\":\"" + owner + "\",\"holdMs\":" + hold + "}",
            1000);
    record.line(owner + " gets " + reply);
    return reply;
  }

  public static void main(String[] arguments) throws Exception {
    int exit = 2;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(arguments[0]);
        Fleet fleet = new Fleet(record, 5, 0)) {
      fleet.startAll();
      final Http.Reply up = fleet.order("/api/numbers/n0", "{}", 40_000);
      Thread.sleep(5000);
      final String hold = trouble ? Long.toString(Long.MAX_VALUE) : "60000";
      int held = 0;
      int both = 0;
      for (int i = 0; i < 5 && up.status == 200; i++) {
        final Http.Reply first = begin(fleet, record, i, "l" + i, "a" + i + ".1", hold);
        final Http.Reply second = begin(fleet, record, i + 1, "l" + i, "a" + i + ".2", "3000");
        held += first.status == 200 ? 1 : 0;
        both += first.status == 200 && second.status == 200 ? 1 : 0;
      }
      record.line(both + " of " + held + " locks have two holders at once");
      exit = held == 0 ? 2 : both > 0 ? 1 : 0;
      record.line(exit == 2 ? "the case could not run" : exit == 1 ? "ONE is broken" : "ONE held");
    } catch (final Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }
}
