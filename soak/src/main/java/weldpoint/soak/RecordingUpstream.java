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
import weldpoint.soak.UpstreamServer.Response;
import weldpoint.soak.UpstreamServer.Request;

/**
 * A stand-in upstream that notes each request that it runs, works for a while and answers. It turns
 * a share of its requests away, loses a share of its answers, and gives a share of them twice.
 */
final class RecordingUpstream implements AutoCloseable, UpstreamServer.Handler {
  private static final byte[] EMPTY_BODY = new byte[0];
  private static final Pattern SIZE_PARAMETER = Pattern.compile("[?&]size=(\\d{1,7})");

  private volatile String instanceId;
  private final UpstreamServer server;
  private final Records records;
  private final Random random;
  private final GrantedKeys heldKeys;
  private final AtomicLong grantCalls = new AtomicLong();
  private final AtomicLong keyNotHeldRejections = new AtomicLong();
  private volatile int processingMillis = 20;
  private volatile double droppedResponseShare;
  private volatile double rejectedShare;

  /**
   * What all upstreams of a fleet note.
   *
   * @param runs requests that began to run
   * @param answered when a run's answer was written whole, by attempt id
   */
  record Records(ConcurrentLinkedQueue<UpstreamRun> runs, Map<String, Long> responseTimes) {}

  RecordingUpstream(
      final String instanceId,
      final String host,
      final int port,
      final Records records,
      final long seed)
      throws IOException {
    this(instanceId, host, port, records, seed, null);
  }

  /** An upstream of a divided service, which runs only what it holds the key of. */
  RecordingUpstream(
      final String instanceId,
      final String host,
      final int port,
      final Records records,
      final long seed,
      final GrantedKeys heldKeys)
      throws IOException {
    this.heldKeys = heldKeys;
    this.instanceId = instanceId;
    this.records = records;
    this.random = new Random(seed);
    this.server =
        new UpstreamServer(new InetSocketAddress(host, port), this, new Random(seed ^ 0x2c));
  }

  /** Sets how long a request takes, in milliseconds. */
  void processingMillis(final int millis) {
    processingMillis = millis;
  }

  /** Sets the share (0 to 1) of runs whose connection is closed in place of an answer. */
  void droppedResponseShare(final double share) {
    droppedResponseShare = share;
  }

  /** Sets the share (0 to 1) of requests that are turned away for want of a free slot. */
  void rejectedShare(final double share) {
    rejectedShare = share;
  }

  /** Sets the share (0 to 1) of answers that come twice. */
  void duplicatedResponseShare(final double share) {
    server.duplicatedResponseShare(share);
  }

  /** The process stands still for so many milliseconds, and then goes on with what it has read. */
  void stall(final long millis) {
    server.stall(millis);
  }

  /** The process ends with all that it holds, and another life begins at its address. */
  void restartAs(final String newInstanceId) {
    instanceId = newInstanceId;
    if (heldKeys != null) {
      heldKeys.restartAs(newInstanceId);
    }
  }

  /** How many grants came, whatever was answered. */
  long grantCalls() {
    return grantCalls.get();
  }

  /** How many requests were turned away since their key was not held. */
  long keyNotHeldRejections() {
    return keyNotHeldRejections.get();
  }

  private static long jsonNumber(final String body, final String name) {
    final Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(body);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
  }

  private static Response emptyResponse(final int status) {
    return new Response(status, Map.of(), EMPTY_BODY);
  }

  /** Answers the calls by which keys are given and taken. */
  private Response handleKeyCall(final Request request) {
    final int firstKey = (int) jsonNumber(request.body(), "source");
    final int lastKey = (int) jsonNumber(request.body(), "targetVersion");
    final long fence = jsonNumber(request.body(), "fenceNumber");
    if (request.path().equals("/api/grant")) {
      grantCalls.incrementAndGet();
      return emptyResponse(
          heldKeys.grant(firstKey, lastKey, fence, jsonNumber(request.body(), "holdMs"), request.readAt()));
    }
    try {
      final String handoverToken = heldKeys.release(firstKey, lastKey, fence, request.readAt());
      return new Response(200, Map.of("Weldpoint-Duty-Transfer", handoverToken), EMPTY_BODY);
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  @Override
  public Response handle(final Request request) {
    final String path = request.path();
    final String target = request.header("Weldpoint-Target-Instance");
    if (path.equals("/api/grant") && !target.isEmpty() && !target.equals(instanceId)) {
      return emptyResponse(421);
    }
    if (heldKeys != null && (path.equals("/api/grant") || path.equals("/api/release"))) {
      return handleKeyCall(request);
    }
    if (path.equals("/health")) {
      return new Response(200, Map.of("Weldpoint-Instance-Id", instanceId), EMPTY_BODY);
    }
    if (!target.isEmpty() && !target.equals(instanceId)) {
      return reject(request, 421);
    }
    if (chance(rejectedShare)) {
      return reject(request, 503);
    }
    final int shardKey = heldKeys == null ? -1 : shardKey(request);
    if (heldKeys != null && !heldKeys.tryBegin(shardKey)) {
      keyNotHeldRejections.incrementAndGet();
      return reject(request, 421);
    }
    try {
      return execute(request);
    } finally {
      if (heldKeys != null) {
        heldKeys.finish(shardKey);
      }
    }
  }

  private static Response reject(final Request request, final int status) {
    final Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Weldpoint-Not-Executed", "1");
    headers.put("Weldpoint-Attempt-Id", request.header("Weldpoint-Attempt-Id"));
    return new Response(status, headers, EMPTY_BODY);
  }

  private static int shardKey(final Request request) {
    final String text = request.header("Weldpoint-Shard-Key");
    return text.matches("\\d{1,5}") ? Integer.parseInt(text) : -1;
  }

  private Response execute(final Request request) {
    final String attemptId = request.header("Weldpoint-Attempt-Id");
    records
        .runs()
        .add(
            new UpstreamRun(
                instanceId,
                attemptId,
                request.header("Idempotency-Key"),
                request.header("Weldpoint-Tenant"),
                Clock.millis()));
    simulateProcessing();
    if (chance(droppedResponseShare)) {
      return null;
    }
    final Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Weldpoint-Instance-Id", instanceId);
    headers.put("Weldpoint-Attempt-Id", attemptId);
    headers.put("Weldpoint-Server-Seal", instanceId + "." + attemptId);
    return new Response(200, headers, responseBody(request));
  }

  private byte[] responseBody(final Request request) {
    final Matcher size = SIZE_PARAMETER.matcher(request.target());
    return size.find()
        ? new byte[Integer.parseInt(size.group(1))]
        : ("done by " + instanceId).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void responseSent(final Request request, final Response response) {
    if (response.status() == 200) {
      records.responseTimes().put(request.header("Weldpoint-Attempt-Id"), Clock.millis());
    }
  }

  private void simulateProcessing() {
    try {
      TimeUnit.MILLISECONDS.sleep(processingMillis);
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean chance(final double share) {
    synchronized (random) {
      return random.nextDouble() < share;
    }
  }

  @Override
  public void close() {
    server.close();
  }
}
