package weldpoint.metrics;

import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;
import weldpoint.common.Invariant;

public final class PrometheusFormatTest {
  @Test
  public void metricsOfOneNameAreGroupedWithTheirLabels() {
    final String text =
        new String(
            PrometheusFormat.format(
                List.of(
                    Metric.counter("weldpoint_runs", "Runs.", 3).withLabel("tenant", "a \"b\""),
                    Metric.gauge("weldpoint_active", "Active.", 2),
                    Metric.counter("weldpoint_runs", "Runs.", 4).withLabel("tenant", "c"))),
            StandardCharsets.UTF_8);
    assertTrue(text.contains("# TYPE weldpoint_runs_total counter\n"), text);
    assertTrue(text.contains("weldpoint_runs_total{tenant=\"a \\\"b\\\"\"} 3.0\n"), text);
    assertTrue(text.contains("weldpoint_runs_total{tenant=\"c\"} 4.0\n"), text);
    assertTrue(text.contains("weldpoint_active 2.0\n"), text);
  }

  @Test
  public void invariantViolationsAreReported() {
    final Invariant invariant = Invariant.named("a test's");
    invariant.check(true, () -> "never");
    assertTrue(
        new String(PrometheusFormat.format(List.of()), StandardCharsets.UTF_8)
            .contains("weldpoint_invariant_violations_total{invariant=\"a test's\"} 0.0"));
  }

  @Test
  public void servesMetricsAndToleratesPortInUse() throws IOException, InterruptedException {
    final EventLoopGroup loop = new NioEventLoopGroup(1);
    final int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    final List<Metric> metrics = List.of(Metric.gauge("weldpoint_active", "Active.", 2));
    for (int attempt = 0; attempt < 2; attempt++) {
      MetricsServer.serve(
          loop, "127.0.0.1", port, () -> CompletableFuture.completedFuture(metrics));
    }
    final HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics")).build();
    String text = "";
    for (int poll = 0; poll < 100 && text.isEmpty(); poll++) {
      Thread.sleep(20);
      try {
        text =
            HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
      } catch (final IOException notYet) {
        text = "";
      }
    }
    assertTrue(text.contains("weldpoint_active 2.0"), text);
    loop.shutdownGracefully();
  }
}
