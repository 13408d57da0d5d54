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

/** A stand-in upstream that notes each request that it runs, works for a while and answers. */
final class RecordingUpstream implements AutoCloseable {
  private final String instance;
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
  private volatile int workMillis = 20;
  private volatile double lostAnswers;

  RecordingUpstream(
      final String instance,
      final String host,
      final int port,
      final ConcurrentLinkedQueue<Run> runs,
      final long seed)
      throws IOException {
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

  private void handle(final HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
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
