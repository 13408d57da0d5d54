package weldpoint.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import weldpoint.soak.UpstreamServer.Answer;
import weldpoint.soak.UpstreamServer.Request;

/**
 * A stand-in upstream that notes each request that it runs, works for a while and answers. It turns
 * a share of its requests away, loses a share of its answers, and gives a share of them twice.
 */
final class RecordingUpstream implements AutoCloseable, UpstreamServer.Handler {
  private static final byte[] EMPTY = new byte[0];
  private static final Pattern SIZE = Pattern.compile("[?&]size=(\\d{1,7})");

  private volatile String instance;
  private final UpstreamServer server;
  private final Records records;
  private final Random random;
  private final GrantedKeys heldKeys;
  private final AtomicLong grants = new AtomicLong();
  private final AtomicLong turnedAway = new AtomicLong();
  private volatile int workMillis = 20;
  private volatile double lostAnswers;
  private volatile double full;

  /**
   * What all upstreams of a fleet note.
   *
   * @param runs requests that began to run
   * @param answered when a run's answer was written whole, by attempt id
   */
  record Records(ConcurrentLinkedQueue<UpstreamRun> runs, Map<String, Long> answered) {}

  RecordingUpstream(
      final String instance,
      final String host,
      final int port,
      final Records records,
      final long seed)
      throws IOException {
    this(instance, host, port, records, seed, null);
  }

  /** An upstream of a divided service, which runs only what it holds the key of. */
  RecordingUpstream(
      final String instance,
      final String host,
      final int port,
      final Records records,
      final long seed,
      final GrantedKeys heldKeys)
      throws IOException {
    this.heldKeys = heldKeys;
    this.instance = instance;
    this.records = records;
    this.random = new Random(seed);
    this.server =
        new UpstreamServer(new InetSocketAddress(host, port), this, new Random(seed ^ 0x2c));
  }

  /** Sets how long a request takes, in milliseconds. */
  void workMillis(final int millis) {
    workMillis = millis;
  }

  /** Sets the share (0 to 1) of runs whose connection is closed in place of an answer. */
  void lostAnswers(final double share) {
    lostAnswers = share;
  }

  /** Sets the share (0 to 1) of requests that are turned away for want of a free slot. */
  void full(final double share) {
    full = share;
  }

  /** Sets the share (0 to 1) of answers that come twice. */
  void secondCopies(final double share) {
    server.secondCopies(share);
  }

  /** The process stands still for so many milliseconds, and then goes on with what it has read. */
  void stall(final long millis) {
    server.stall(millis);
  }

  /** The process ends with all that it holds, and another life begins at its address. */
  void beginLife(final String id) {
    instance = id;
    if (heldKeys != null) {
      heldKeys.beginLife(id);
    }
  }

  /** How many grants came, whatever was answered. */
  long grants() {
    return grants.get();
  }

  /** How many requests were turned away since their key was not held. */
  long turnedAway() {
    return turnedAway.get();
  }

  private static long field(final String body, final String name) {
    final Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(body);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
  }

  private static Answer answer(final int status) {
    return new Answer(status, Map.of(), EMPTY);
  }

  /** Answers the calls by which keys are given and taken. */
  private Answer keyCall(final Request request) {
    final int first = (int) field(request.body(), "source");
    final int last = (int) field(request.body(), "targetVersion");
    final long fence = field(request.body(), "fenceNumber");
    if (request.path().equals("/api/grant")) {
      grants.incrementAndGet();
      return answer(
          heldKeys.grant(first, last, fence, field(request.body(), "holdMs"), request.readAt()));
    }
    try {
      final String transfer = heldKeys.release(first, last, fence, request.readAt());
      return new Answer(200, Map.of("Weldpoint-Duty-Transfer", transfer), EMPTY);
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  @Override
  public Answer handle(final Request request) {
    final String path = request.path();
    final String target = request.header("Weldpoint-Target-Instance");
    if (path.equals("/api/grant") && !target.isEmpty() && !target.equals(instance)) {
      return answer(421);
    }
    if (heldKeys != null && (path.equals("/api/grant") || path.equals("/api/release"))) {
      return keyCall(request);
    }
    if (path.equals("/health")) {
      return new Answer(200, Map.of("Weldpoint-Instance-Id", instance), EMPTY);
    }
    if (!target.isEmpty() && !target.equals(instance)) {
      return turnAway(request, 421);
    }
    if (drawn(full)) {
      return turnAway(request, 503);
    }
    final int shardKey = heldKeys == null ? -1 : shardKey(request);
    if (heldKeys != null && !heldKeys.begin(shardKey)) {
      turnedAway.incrementAndGet();
      return turnAway(request, 421);
    }
    try {
      return run(request);
    } finally {
      if (heldKeys != null) {
        heldKeys.end(shardKey);
      }
    }
  }

  private static Answer turnAway(final Request request, final int status) {
    final Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Weldpoint-Not-Executed", "1");
    headers.put("Weldpoint-Attempt-Id", request.header("Weldpoint-Attempt-Id"));
    return new Answer(status, headers, EMPTY);
  }

  private static int shardKey(final Request request) {
    final String text = request.header("Weldpoint-Shard-Key");
    return text.matches("\\d{1,5}") ? Integer.parseInt(text) : -1;
  }

  private Answer run(final Request request) {
    final String attemptId = request.header("Weldpoint-Attempt-Id");
    records
        .runs()
        .add(
            new UpstreamRun(
                instance,
                attemptId,
                request.header("Idempotency-Key"),
                request.header("Weldpoint-Tenant"),
                Clock.millis()));
    work();
    if (drawn(lostAnswers)) {
      return null;
    }
    final Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Weldpoint-Instance-Id", instance);
    headers.put("Weldpoint-Attempt-Id", attemptId);
    headers.put("Weldpoint-Server-Seal", instance + "." + attemptId);
    return new Answer(200, headers, body(request));
  }

  private byte[] body(final Request request) {
    final Matcher size = SIZE.matcher(request.target());
    return size.find()
        ? new byte[Integer.parseInt(size.group(1))]
        : ("done by " + instance).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void answered(final Request request, final Answer answer) {
    if (answer.status() == 200) {
      records.answered().put(request.header("Weldpoint-Attempt-Id"), Clock.millis());
    }
  }

  private void work() {
    try {
      TimeUnit.MILLISECONDS.sleep(workMillis);
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean drawn(final double share) {
    synchronized (random) {
      return random.nextDouble() < share;
    }
  }

  @Override
  public void close() {
    server.close();
  }
}
