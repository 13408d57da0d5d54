package weldpoint.soak;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in upstream that notes each request that it runs, works for a while and answers. */
final class RecordingUpstream implements AutoCloseable {
  private volatile String instance;
  private final HttpServer server;
  private final ExecutorService workers =
      Executors.newCachedThreadPool(
          task -> {
            final Thread thread = new Thread(task, "upstream");
            thread.setDaemon(true);
            return thread;
          });
  private final ConcurrentLinkedQueue<Run> runs;
  private final Random random;
  private final HeldKeys heldKeys;
  private final AtomicLong grants = new AtomicLong();
  private final AtomicLong turnedAway = new AtomicLong();
  private volatile int workMillis = 20;
  private volatile double lostAnswers;

  RecordingUpstream(
      final String instance,
      final String host,
      final int port,
      final ConcurrentLinkedQueue<Run> runs,
      final long seed)
      throws IOException {
    this(instance, host, port, runs, seed, null);
  }

  /** An upstream of a divided service, which runs only what it holds the key of. */
  RecordingUpstream(
      final String instance,
      final String host,
      final int port,
      final ConcurrentLinkedQueue<Run> runs,
      final long seed,
      final HeldKeys heldKeys)
      throws IOException {
    this.heldKeys = heldKeys;
    this.instance = instance;
    this.runs = runs;
    this.random = new Random(seed);
    this.server = HttpServer.create(new InetSocketAddress(host, port), 256);
    server.setExecutor(workers);
    server.createContext("/", this::handle);
    server.start();
  }

  /** Sets how long a request takes, in milliseconds. */
  void workMillis(final int millis) {
    workMillis = millis;
  }

  /** Sets the share (0 to 1) of runs whose connection is closed in place of an answer. */
  void lostAnswers(final double share) {
    lostAnswers = share;
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

  /** Answers the calls by which keys are given and taken; false for any other request. */
  private boolean keyCall(final HttpExchange exchange, final String body) throws IOException {
    final String path = exchange.getRequestURI().getPath();
    if (heldKeys == null || !path.equals("/api/grant") && !path.equals("/api/release")) {
      return false;
    }
    final int first = (int) field(body, "source");
    final int last = (int) field(body, "targetVersion");
    final long fence = field(body, "fenceNumber");
    if (path.equals("/api/grant")) {
      grants.incrementAndGet();
      answer(exchange, heldKeys.grant(first, last, fence, field(body, "holdMs")), "");
      return true;
    }
    try {
      exchange
          .getResponseHeaders()
          .set("Weldpoint-Duty-Transfer", heldKeys.release(first, last, fence));
      answer(exchange, 200, "");
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
    return true;
  }

  private void handle(final HttpExchange exchange) throws IOException {
    final String body =
        new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    if (keyCall(exchange, body)) {
      return;
    }
    exchange.getResponseHeaders().set("Weldpoint-Instance-Id", instance);
    if (exchange.getRequestURI().getPath().equals("/health")) {
      answer(exchange, 200, "");
      return;
    }
    final String target = header(exchange, "Weldpoint-Target-Instance");
    if (!target.isEmpty() && !target.equals(instance)) {
      answer(exchange, 421, "");
      return;
    }
    final int shardKey = heldKeys == null ? -1 : shardKey(exchange);
    if (heldKeys != null && !heldKeys.begin(shardKey)) {
      turnedAway.incrementAndGet();
      exchange.getResponseHeaders().set("Weldpoint-Not-Executed", "1");
      exchange
          .getResponseHeaders()
          .set("Weldpoint-Attempt-Id", header(exchange, "Weldpoint-Attempt-Id"));
      answer(exchange, 421, "");
      return;
    }
    try {
      run(exchange);
    } finally {
      if (heldKeys != null) {
        heldKeys.end(shardKey);
      }
    }
  }

  private static int shardKey(final HttpExchange exchange) {
    final String text = header(exchange, "Weldpoint-Shard-Key");
    return text.matches("\\d{1,5}") ? Integer.parseInt(text) : -1;
  }

  private void run(final HttpExchange exchange) throws IOException {
    final String attemptId = header(exchange, "Weldpoint-Attempt-Id");
    runs.add(
        new Run(
            instance,
            attemptId,
            header(exchange, "Idempotency-Key"),
            header(exchange, "Weldpoint-Tenant"),
            Clock.millis()));
    work();
    if (lost()) {
      exchange.close();
      return;
    }
    exchange.getResponseHeaders().set("Weldpoint-Attempt-Id", attemptId);
    exchange.getResponseHeaders().set("Weldpoint-Server-Seal", instance + "." + attemptId);
    answer(exchange, 200, "done by " + instance);
  }

  private void work() {
    try {
      TimeUnit.MILLISECONDS.sleep(workMillis);
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean lost() {
    synchronized (random) {
      return random.nextDouble() < lostAnswers;
    }
  }

  private static String header(final HttpExchange exchange, final String name) {
    final String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value;
  }

  private static void answer(final HttpExchange exchange, final int status, final String text)
      throws IOException {
    final byte[] body = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    workers.shutdownNow();
  }
}
