package weldpoint.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Clients of a soak: some press for writes with keys and send them again and again through any
 * proxy, others read for a tenant with a limit, faster than it allows.
 */
final class Workload {
  /** The key of the tenant without a limit. */
  static final String FREE = "key-f";

  /** The key of the tenant with a limit. */
  static final String LIMITED = "key-l";

  /** The tenant with a limit. */
  static final String LIMITED_TENANT = "limited";

  /** Permits a second that the limited tenant has. */
  static final int RATE = 20;

  /** Permits that the limited tenant may save up. */
  static final int BURST = 20;

  private static final int DEADLINE_MILLIS = 1500;
  private static final int IDLE_MILLIS = 15_000;
  private static final int MOST_PRESSES = 4;
  private static final int MOST_PAUSE_MILLIS = 2500;
  private static final int HOT_KEYS = 200;
  private static final int READ_PAUSE_MILLIS = 60;

  private final LocalFleet fleet;
  private final ConcurrentLinkedQueue<ClientCall> calls = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<ClientReply> fetched = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<LargeDownload> pulls = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean over;

  Workload(final LocalFleet fleet) {
    this.fleet = fleet;
  }

  /** The key of the tenant whose home regions change. */
  static final String HOMED = "key-h";

  /** The tenant whose home regions change. */
  static final String HOMED_TENANT = "homed";

  /** The configuration that the workload needs. */
  static String configuration() {
    return configuration(1, IDLE_MILLIS, HomeRegions.NONE);
  }

  /**
   * The same under another version.
   *
   * @param idleMillis how long a connection of a client may rest
   */
  static String configuration(final int version, final int idleMillis, final HomeRegions homes) {
    final String action = "\"action\":{\"service\":\"desk\",\"timeoutMs\":1500,\"maxAttempts\":2}";
    return "{\"version\":\""
        + String.format("%08x", version)
        + "\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":"
        + idleMillis
        + "},\"tenants\":[{\"name\":\""
        + LIMITED_TENANT
        + "\",\"apiKeys\":[\"key-l\"],\"ratePerS\":"
        + RATE
        + ",\"burst\":"
        + BURST
        + "},{\"name\":\"free\",\"apiKeys\":[\"key-f\"]},{\"name\":\""
        + HOMED_TENANT
        + "\",\"homeRegions\":"
        + HomeRegions.json(homes.tenant())
        + ",\"apiKeys\":[\""
        + HOMED
        + "\"]}],\"listeners\":[{\"host\":\""
        + LocalFleet.HOST
        + "\",\"rules\":[{\"name\":\"look\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":300,"
        + "\"match\":{\"pathPrefix\":\""
        + LocalFleet.READ_PATH
        + "\"},"
        + action
        + "},{\"name\":\"book\",\"routeKind\":\"mutating\",\"targetLatencyMs\":300,"
        + "\"match\":{\"pathPrefix\":\""
        + LocalFleet.WRITE_PATH
        + "\"},"
        + action
        + "},{\"name\":\"deed\",\"routeKind\":\"mutating\",\"targetLatencyMs\":300,"
        + "\"match\":{\"pathPrefix\":\""
        + LocalFleet.HOMED_PATH
        + "\"},\"action\":{\"service\":\"desk\",\"homeRegions\":"
        + HomeRegions.json(homes.route())
        + ",\"timeoutMs\":1500,\"maxAttempts\":3}"
        + "},{\"name\":\"shelf\",\"routeKind\":\"egress\",\"targetLatencyMs\":1000,"
        + "\"match\":{\"pathPrefix\":\""
        + LocalFleet.SHELF_PATH
        + "\"},\"action\":{\"service\":\"shelf\",\"timeoutMs\":1500,\"maxAttempts\":2}"
        + "},{\"name\":\"stock\",\"routeKind\":\"mutating\",\"targetLatencyMs\":1000,"
        + "\"match\":{\"pathPrefix\":\""
        + LocalFleet.SHELF_WRITE_PATH
        + "\"},\"action\":{\"service\":\"shelf\",\"timeoutMs\":1500,\"maxAttempts\":2}"
        + "},{\"name\":\"sheet\",\"routeKind\":\"egress\",\"targetLatencyMs\":1000,"
        + "\"match\":{\"pathPrefix\":\""
        + LocalFleet.SHEET_PATH
        + "\"},\"action\":{\"service\":\"desk\",\"timeoutMs\":2500,\"maxAttempts\":2}"
        + "}]}],\"pools\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":200},"
        + "{\"name\":\"shelf\",\"healthPath\":\"/health\",\"maxConns\":200,"
        + "\"partitioned\":true,\"warmS\":1.0}]}";
  }

  /** Starts so many clients of each kind. */
  void start(final int clients, final long seed) {
    for (int client = 0; client < clients; client++) {
      final long own = seed * 1000 + client;
      thread(() -> write(own));
      thread(() -> read(own));
      thread(() -> deed(own));
      thread(() -> new SlowReader(fleet, own ^ 0x510, pulls, () -> over).run());
      if (fleet.size().keyHolders() > 0) {
        thread(() -> fetch(own));
        thread(() -> change(own));
      }
    }
  }

  private void thread(final Runnable task) {
    final Thread thread = new Thread(task, "client");
    thread.setDaemon(true);
    thread.start();
    threads.add(thread);
  }

  private void write(final long seed) {
    final Random random = new Random(seed);
    for (int order = 0; !over; order++) {
      final String key = "order-" + seed + "-" + order;
      final int presses = 1 + random.nextInt(MOST_PRESSES);
      for (int press = 0; press < presses && !over; press++) {
        if (random.nextInt(3) == 0) {
          thread(() -> call(random.nextInt(fleet.size().proxies()), key));
        } else {
          call(random.nextInt(fleet.size().proxies()), key);
        }
        pause(random.nextInt(1 + random.nextInt(MOST_PAUSE_MILLIS)));
      }
    }
  }

  private void call(final int proxy, final String key) {
    final String attemptId = fleet.attemptId();
    final long sentAt = Clock.millis();
    final ClientReply reply =
        fleet.request(proxy, LocalFleet.WRITE_PATH + "1", attemptId, key, FREE, DEADLINE_MILLIS);
    calls.add(new ClientCall(attemptId, key, false, sentAt, reply));
  }

  private void read(final long seed) {
    final Random random = new Random(~seed);
    while (!over) {
      final String attemptId = fleet.attemptId();
      final long sentAt = Clock.millis();
      final ClientReply reply =
          fleet.request(
              random.nextInt(fleet.size().proxies()),
              LocalFleet.READ_PATH + "1",
              attemptId,
              "",
              LIMITED,
              DEADLINE_MILLIS);
      calls.add(new ClientCall(attemptId, "", true, sentAt, reply));
      pause(random.nextInt(READ_PAUSE_MILLIS));
    }
  }

  /** Writes for the tenant whose home regions change. */
  private void deed(final long seed) {
    final Random random = new Random(seed ^ 0xdeed);
    while (!over) {
      final String attemptId = fleet.attemptId();
      final long sentAt = Clock.millis();
      final ClientReply reply =
          fleet.request(
              random.nextInt(fleet.size().proxies()),
              LocalFleet.HOMED_PATH + "1",
              attemptId,
              "",
              HOMED,
              DEADLINE_MILLIS);
      calls.add(new ClientCall(attemptId, "", false, sentAt, reply));
      pause(random.nextInt(READ_PAUSE_MILLIS));
    }
  }

  /** Asks for keys of the divided service, some of them much more often than others. */
  private void fetch(final long seed) {
    final Random random = new Random(seed ^ 0x5eed);
    while (!over) {
      final int key =
          random.nextInt(3) == 0 ? random.nextInt(HOT_KEYS) : random.nextInt(GrantedKeys.KEYS);
      final ClientReply reply =
          fleet.shelfRequest(
              random.nextInt(fleet.size().proxies()), fleet.attemptId(), Integer.toString(key));
      fetched.add(reply);
      pause(random.nextInt(READ_PAUSE_MILLIS));
    }
  }

  /** Changes keys of the divided service, most of them in a few ranges. */
  private void change(final long seed) {
    final Random random = new Random(seed ^ 0xcaf);
    while (!over) {
      final String attemptId = fleet.attemptId();
      final long sentAt = Clock.millis();
      final ClientReply reply =
          fleet.shelfWrite(
              random.nextInt(fleet.size().proxies()),
              attemptId,
              Integer.toString(random.nextInt(GrantedKeys.KEYS)));
      calls.add(new ClientCall(attemptId, "", false, sentAt, reply));
      pause(random.nextInt(READ_PAUSE_MILLIS));
    }
  }

  /** What slow clients of large answers had. */
  List<LargeDownload> pulls() {
    return new ArrayList<>(pulls);
  }

  /** What clients of the divided service heard. */
  List<ClientReply> fetched() {
    return new ArrayList<>(fetched);
  }

  private void pause(final int millis) {
    try {
      Thread.sleep(millis);
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends all clients and waits for their last answers. */
  void end() throws InterruptedException {
    over = true;
    for (final Thread thread : new ArrayList<>(threads)) {
      thread.join(2L * DEADLINE_MILLIS + 3000);
    }
  }

  /** All requests that were answered or given up. */
  List<ClientCall> calls() {
    return new ArrayList<>(calls);
  }
}
