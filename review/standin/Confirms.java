package weldpoint.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Confirmations go to a service that is divided by key, while its upstreams answer twice now and then. */
final class Confirms {
  private static final double GARBLED_ANSWERS = 0.03;
  private static final int GARBLE_MILLIS = 5000;
  private static final int PAUSE_MILLIS = 1000;
  private static final int GARBLES = 14;
  private static final int DEADLINE_MILLIS = 4000;
  private static final int SEED = 29;
  private static final long LATEST_MILLIS = 103_000;
  private static final int UPSTREAMS = 10;
  private static final int GARBLERS = 6;
  private static final int PROXIES = Integer.getInteger("proxies", 8);

  private Confirms() {}

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

  private static int play(final Record record, final boolean trouble) throws Exception {
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    final Map<String, Integer> answers = new ConcurrentHashMap<>();
    final double perSecond = Double.parseDouble(System.getProperty("rate", "200"));
    final ExecutorService clients = Executors.newFixedThreadPool(400);
    try (Fleet fleet = new Fleet(3, PROXIES, Plans.fields("1000.0"))) {
      fleet.start(Plans.configuration(1, 15_000, true));
      final List<Holder> holders = new ArrayList<>();
      for (int index = 0; index < UPSTREAMS; index++) {
        final Random pace = new Random(index);
        holders.add(
            new Holder(fleet, "desk-" + index, "127.31.3." + (1 + index) + ":" + (fleet.port + 25), Fleet.zone(index), record, index,
                (id, head, body) -> {
                  record.note("upstream runs %s", id);
                  runs.computeIfAbsent(id, name -> new AtomicInteger()).incrementAndGet();
                  Thread.sleep(150 + pace.nextInt(300));
                  return new byte[0];
                }));
      }
      for (int wait = 0; wait < 40 && holders.stream().noneMatch(holder -> confirm(fleet, "probe" + System.nanoTime(), 0).status == 200); wait++) {
        Thread.sleep(250);
      }
      Thread.sleep(2000);
      record.note("begin: %.0f confirmations a second, most of them for the keys of one upstream", perSecond);
      final Random random = new Random(SEED);
      final long began = System.nanoTime();
      long next = began;
      int number = 0;
      final long cycle = GARBLE_MILLIS + PAUSE_MILLIS;
      boolean garbling = false;
      while (System.nanoTime() - began < GARBLES * cycle * 1_000_000L && record.now() < LATEST_MILLIS) {
        final long at = (System.nanoTime() - began) / 1_000_000;
        final boolean now = trouble && at % cycle < GARBLE_MILLIS;
        if (now != garbling) {
          garbling = now;
          record.note(now ? "upstreams desk-0 to desk-5 garble: %s of their answers come once more, late" : "they answer soundly again %s", now ? GARBLED_ANSWERS : "");
          for (int index = 0; index < GARBLERS; index++) {
            holders.get(index).garbles = now ? GARBLED_ANSWERS : 0;
          }
        }
        final String id = String.format("%016x", 0xc0ffee0000L + number++);
        final int key = random.nextInt(100) < 60 ? random.nextInt(20_000) : random.nextInt(65_536);
        clients.execute(
            () -> {
              record.note("client sends %s", id);
              final Http.Answer answer = confirm(fleet, id, key);
              answers.put(id, answer.status);
              record.note("client has %s: status %d %s", id, answer.status, answer.problem);
            });
        next += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        final long left = (next - System.nanoTime()) / 1_000_000;
        if (left > 0) {
          Thread.sleep(left);
        }
      }
      clients.shutdown();
      clients.awaitTermination(10, TimeUnit.SECONDS);
      Thread.sleep(1000);
      int refused = 0;
      int served = 0;
      int broken = 0;
      int twice = 0;
      for (final Map.Entry<String, Integer> one : answers.entrySet()) {
        final int ran = runs.containsKey(one.getKey()) ? runs.get(one.getKey()).get() : 0;
        served += one.getValue() == 200 ? 1 : 0;
        refused += one.getValue() == 503 || one.getValue() == 429 ? 1 : 0;
        if (ran > 0 && (one.getValue() == 503 || one.getValue() == 429 || one.getValue() == 408 || one.getValue() == 421)) {
          broken++;
          record.note("REFUSED: %s was answered %d, and an upstream ran it", one.getKey(), one.getValue());
        }
        if (ran > 1) {
          twice++;
          record.note("TWICE: %s", one.getKey());
        }
      }
      record.note("%d confirmations: %d served, %d refused, %d of these ran all the same, %d ran twice; upstreams turned away %d and sent %d second copies",
          answers.size(), served, refused, broken, twice,
          holders.stream().mapToInt(holder -> holder.declined.get()).sum(), holders.stream().mapToInt(holder -> holder.surplus.get()).sum());
      return served == 0 ? 2 : broken + twice > 0 ? 1 : 0;
    } finally {
      clients.shutdownNow();
    }
  }

  private static Http.Answer confirm(final Fleet fleet, final String id, final int key) {
    return Http.call(
        fleet.front(Math.floorMod(id.hashCode(), PROXIES)), "POST", "/book/confirm",
        "Host: " + Plans.HOST + "\r\nWeldpoint-Attempt-Id: " + id + "\r\nWeldpoint-Deadline-Ms: " + DEADLINE_MILLIS
            + "\r\nWeldpoint-Shard-Key: " + key + "\r\n",
        "a deposit".getBytes(), DEADLINE_MILLIS + 1000);
  }
}
