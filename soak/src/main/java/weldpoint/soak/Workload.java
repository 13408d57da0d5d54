package weldpoint.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The clients of a soak, each in a thread of its own: some repeat writes with idempotency keys
 * through any proxy, some read for a rate-limited tenant faster than its limit allows, and others
 * write for a tenant whose home regions change, use the partitioned service or download large
 * responses slowly.
 */
final class Workload {
  /** API key of the tenant without a rate limit. */
  static final String UNLIMITED_API_KEY = "key-f";

  /** API key of the tenant with a rate limit. */
  static final String LIMITED_API_KEY = "key-l";

  /** Name of the tenant with a rate limit. */
  static final String LIMITED_TENANT = "limited";

  /** Rate limit of the limited tenant, in requests per second. */
  static final int LIMIT_PER_SECOND = 20;

  /** Burst limit of the limited tenant, in requests. */
  static final int LIMIT_BURST = 20;

  private static final int DEADLINE_MILLIS = 1500;
  private static final int IDLE_TIMEOUT_MILLIS = 15_000;
  private static final int MAX_SENDS_PER_KEY = 4;
  private static final int MAX_WRITE_PAUSE_MILLIS = 2500;
  private static final int HOT_KEYS = 200;
  private static final int MAX_PAUSE_MILLIS = 60;

  private final LocalFleet fleet;
  private final ConcurrentLinkedQueue<ClientCall> calls = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<ClientReply> partitionedReads = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<LargeDownload> downloads = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  Workload(final LocalFleet fleet) {
    this.fleet = fleet;
  }

  /** API key of the tenant whose home regions change. */
  static final String REGION_BOUND_API_KEY = "key-h";

  /** Name of the tenant whose home regions change. */
  static final String REGION_BOUND_TENANT = "homed";

  /** Returns the initial configuration: version 1, without home regions. */
  static String configuration() {
    return configuration(1, IDLE_TIMEOUT_MILLIS, HomeRegions.UNRESTRICTED);
  }

  /**
   * Returns the configuration of the workload's routes, tenants and services.
   *
   * @param idleTimeoutMillis idle timeout of client connections
   */
  static String configuration(
      final int version, final int idleTimeoutMillis, final HomeRegions homeRegions) {
    final String action = "\"action\":{\"service\":\"desk\",\"timeoutMs\":1500,\"maxAttempts\":2}";
    return "{\"version\":\""
        + String.format("%08x", version)
        + "\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":"
        + idleTimeoutMillis
        + "},\"tenants\":[{\"name\":\""
        + LIMITED_TENANT
        + "\",\"apiKeys\":[\"key-l\"],\"ratePerS\":"
        + LIMIT_PER_SECOND
        + ",\"burst\":"
        + LIMIT_BURST
        + "},{\"name\":\"free\",\"apiKeys\":[\"key-f\"]},{\"name\":\""
        + REGION_BOUND_TENANT
        + "\",\"homeRegions\":"
        + HomeRegions.toJson(homeRegions.tenant())
        + ",\"apiKeys\":[\""
        + REGION_BOUND_API_KEY
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
        + LocalFleet.REGION_BOUND_PATH
        + "\"},\"action\":{\"service\":\"desk\",\"homeRegions\":"
        + HomeRegions.toJson(homeRegions.route())
        + ",\"timeoutMs\":1500,\"maxAttempts\":3}"
        + "},{\"name\":\"shelf\",\"routeKind\":\"egress\",\"targetLatencyMs\":1000,"
        + "\"match\":{\"pathPrefix\":\""
        + LocalFleet.PARTITIONED_READ_PATH
        + "\"},\"action\":{\"service\":\"shelf\",\"timeoutMs\":1500,\"maxAttempts\":2}"
        + "},{\"name\":\"stock\",\"routeKind\":\"mutating\",\"targetLatencyMs\":1000,"
        + "\"match\":{\"pathPrefix\":\""
        + LocalFleet.PARTITIONED_WRITE_PATH
        + "\"},\"action\":{\"service\":\"shelf\",\"timeoutMs\":1500,\"maxAttempts\":2}"
        + "},{\"name\":\"sheet\",\"routeKind\":\"egress\",\"targetLatencyMs\":1000,"
        + "\"match\":{\"pathPrefix\":\""
        + LocalFleet.LARGE_DOWNLOAD_PATH
        + "\"},\"action\":{\"service\":\"desk\",\"timeoutMs\":2500,\"maxAttempts\":2}"
        + "}]}],\"pools\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":200},"
        + "{\"name\":\"shelf\",\"healthPath\":\"/health\",\"maxConns\":200,"
        + "\"partitioned\":true,\"warmS\":1.0}]}";
  }

  /** Starts this number of clients of each kind. */
  void start(final int clients, final long seed) {
    for (int client = 0; client < clients; client++) {
      final long clientSeed = seed * 1000 + client;
      startThread(() -> sendKeyedWrites(clientSeed));
      startThread(() -> sendReads(clientSeed));
      startThread(() -> sendRegionBoundWrites(clientSeed));
      startThread(() -> new SlowReader(fleet, clientSeed ^ 0x510, downloads, () -> stopped).run());
      if (fleet.size().keyHolders() > 0) {
        startThread(() -> sendPartitionedReads(clientSeed));
        startThread(() -> sendPartitionedWrites(clientSeed));
      }
    }
  }

  private void startThread(final Runnable task) {
    final Thread thread = new Thread(task, "client");
    thread.setDaemon(true);
    thread.start();
    threads.add(thread);
  }

  private void sendKeyedWrites(final long seed) {
    final Random random = new Random(seed);
    for (int order = 0; !stopped; order++) {
      final String key = "order-" + seed + "-" + order;
      final int sends = 1 + random.nextInt(MAX_SENDS_PER_KEY);
      for (int send = 0; send < sends && !stopped; send++) {
        if (random.nextInt(3) == 0) {
          startThread(() -> sendKeyedWrite(random.nextInt(fleet.size().proxies()), key));
        } else {
          sendKeyedWrite(random.nextInt(fleet.size().proxies()), key);
        }
        pause(random.nextInt(1 + random.nextInt(MAX_WRITE_PAUSE_MILLIS)));
      }
    }
  }

  private void sendKeyedWrite(final int proxy, final String key) {
    final String attemptId = fleet.attemptId();
    final long sentAt = Clock.millis();
    final ClientReply reply =
        fleet.request(
            proxy, LocalFleet.WRITE_PATH + "1", attemptId, key, UNLIMITED_API_KEY, DEADLINE_MILLIS);
    calls.add(new ClientCall(attemptId, key, false, sentAt, reply));
  }

  private void sendReads(final long seed) {
    final Random random = new Random(~seed);
    while (!stopped) {
      final String attemptId = fleet.attemptId();
      final long sentAt = Clock.millis();
      final ClientReply reply =
          fleet.request(
              random.nextInt(fleet.size().proxies()),
              LocalFleet.READ_PATH + "1",
              attemptId,
              "",
              LIMITED_API_KEY,
              DEADLINE_MILLIS);
      calls.add(new ClientCall(attemptId, "", true, sentAt, reply));
      pause(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  /** Sends writes for the tenant whose home regions change. */
  private void sendRegionBoundWrites(final long seed) {
    final Random random = new Random(seed ^ 0xdeed);
    while (!stopped) {
      final String attemptId = fleet.attemptId();
      final long sentAt = Clock.millis();
      final ClientReply reply =
          fleet.request(
              random.nextInt(fleet.size().proxies()),
              LocalFleet.REGION_BOUND_PATH + "1",
              attemptId,
              "",
              REGION_BOUND_API_KEY,
              DEADLINE_MILLIS);
      calls.add(new ClientCall(attemptId, "", false, sentAt, reply));
      pause(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  /** Reads keys of the partitioned service, a few hot keys much more often than the others. */
  private void sendPartitionedReads(final long seed) {
    final Random random = new Random(seed ^ 0x5eed);
    while (!stopped) {
      final int key =
          random.nextInt(3) == 0 ? random.nextInt(HOT_KEYS) : random.nextInt(GrantedKeys.KEY_COUNT);
      final ClientReply reply =
          fleet.partitionedRead(
              random.nextInt(fleet.size().proxies()), fleet.attemptId(), Integer.toString(key));
      partitionedReads.add(reply);
      pause(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  /** Writes keys of the partitioned service, chosen uniformly. */
  private void sendPartitionedWrites(final long seed) {
    final Random random = new Random(seed ^ 0xcaf);
    while (!stopped) {
      final String attemptId = fleet.attemptId();
      final long sentAt = Clock.millis();
      final ClientReply reply =
          fleet.partitionedWrite(
              random.nextInt(fleet.size().proxies()),
              attemptId,
              Integer.toString(random.nextInt(GrantedKeys.KEY_COUNT)));
      calls.add(new ClientCall(attemptId, "", false, sentAt, reply));
      pause(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  /** Returns the large downloads of slow clients. */
  List<LargeDownload> downloads() {
    return new ArrayList<>(downloads);
  }

  /** Returns the responses to reads from the partitioned service. */
  List<ClientReply> partitionedReads() {
    return new ArrayList<>(partitionedReads);
  }

  private void pause(final int millis) {
    try {
      Thread.sleep(millis);
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops all clients and waits for their last responses. */
  void stop() throws InterruptedException {
    stopped = true;
    for (final Thread thread : new ArrayList<>(threads)) {
      thread.join(2L * DEADLINE_MILLIS + 3000);
    }
  }

  /** Returns all requests that got a response or were given up. */
  List<ClientCall> calls() {
    return new ArrayList<>(calls);
  }
}
