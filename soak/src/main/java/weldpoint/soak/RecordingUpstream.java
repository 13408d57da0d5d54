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
import weldpoint.soak.UpstreamServer.Request;
import weldpoint.soak.UpstreamServer.Response;

/**
 * A stand-in upstream that records each request it executes, simulates processing time and
 * responds. It can reject a share of its requests, drop a share of its responses and send a share
 * of them twice. The handler runs in the connection threads of {@link UpstreamServer}.
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
   * The records that all upstreams of a fleet share.
   *
   * @param runs executions of requests, recorded as they begin
   * @param responseTimes when the complete response was written, by attempt id
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

  /** Creates an upstream of a partitioned service, which executes only requests for leased keys. */
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

  /** Sets the processing time of a request, in milliseconds. */
  void processingMillis(final int millis) {
    processingMillis = millis;
  }

  /** Sets the share (0 to 1) of executions whose connection is closed without a response. */
  void droppedResponseShare(final double share) {
    droppedResponseShare = share;
  }

  /** Sets the share (0 to 1) of requests that are rejected as if the upstream were full (503). */
  void rejectedShare(final double share) {
    rejectedShare = share;
  }

  /** Sets the share (0 to 1) of responses that are sent twice. */
  void duplicatedResponseShare(final double share) {
    server.duplicatedResponseShare(share);
  }

  /** Sets the share (0 to 1) of successful responses that have no length. */
  void unframedResponseShare(final double share) {
    server.unframedResponseShare(share);
  }

  /** Stalls for a time in milliseconds, and then handles the requests that were read meanwhile. */
  void stall(final long millis) {
    server.stall(millis);
  }

  /** Simulates a restart at the same address under a new instance id: all leases are lost. */
  void restartAs(final String newInstanceId) {
    instanceId = newInstanceId;
    if (heldKeys != null) {
      heldKeys.restartAs(newInstanceId);
    }
  }

  /** Returns the number of grant calls, whatever the response. */
  long grantCalls() {
    return grantCalls.get();
  }

  /** Returns the number of requests rejected because their key was not leased to this upstream. */
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

  /** Handles the calls by which a registry grants and releases leases on keys. */
  private Response handleKeyCall(final Request request) {
    final int firstKey = (int) jsonNumber(request.body(), "source");
    final int lastKey = (int) jsonNumber(request.body(), "targetVersion");
    final long fence = jsonNumber(request.body(), "fenceNumber");
    if (request.path().equals("/api/grant")) {
      grantCalls.incrementAndGet();
      return emptyResponse(
          heldKeys.grant(
              firstKey, lastKey, fence, jsonNumber(request.body(), "holdMs"), request.readAt()));
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
                request.header("Weldpoint-Operation-Key"),
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
