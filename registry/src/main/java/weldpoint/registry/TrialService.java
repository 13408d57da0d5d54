package weldpoint.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import weldpoint.audit.Authors;
import weldpoint.common.WeldpointException;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.TrialMessages;

/**
 * A registry's part in trials of services: it counts what proxies report, writes the verdicts that
 * follow from the counts, and takes operators' orders. Times are milliseconds of the steady clock.
 */
public final class TrialService {
  private static final long JUDGE_MILLIS = 100;
  private static final long WRITE_MILLIS = 900;
  private static final int USUAL_LEAST_WRITES = 30;
  private static final double USUAL_LATE_ALLOWANCE = 0.01;

  /** What the registry around it knows and does. */
  interface Registry {
    /** Completes once a majority has confirmed what is known, after this moment. */
    CompletableFuture<Void> refresh(long now);

    /** Completes once a majority of registries has what is known. */
    CompletableFuture<Void> settle();

    /** The steady clock. */
    long now();

    /** The addresses of the proxies that were heard of lately. */
    List<String> liveProxies(long now);

    /** Whether a majority was heard of lately. */
    boolean hearsMajority(long now);

    /** Passes a report on to all other registries. */
    void relay(TrialMessages.TrialReport report);
  }

  private final String self;
  private final ControlState control;
  private final StoreClient store;
  private final Registry registry;
  private long judgedAt;

  TrialService(
      final String self,
      final ControlState control,
      final StoreClient store,
      final Registry registry) {
    this.self = self;
    this.control = control;
    this.store = store;
    this.registry = registry;
  }

  /** A proxy, or another registry that passes it on, tells what was counted in trials. */
  public void report(final TrialMessages.TrialReport report, final long now) {
    control.coordinator().recordReport(report, now);
    if (!report.relayed) {
      registry.relay(new TrialMessages.TrialReport(true, report.tallies, report.digests));
    }
    judge(now);
  }

  /** Writes the verdicts that follow from what was counted. */
  void judge(final long now) {
    if (control.trials().isEmpty() || now - judgedAt < JUDGE_MILLIS) {
      return;
    }
    judgedAt = now;
    for (final TrialMessages.Trial verdict :
        control.coordinator().requiredUpdates(control.routingTable())) {
      write(verdict, new StoreMessages.ChangeOrigin(Authors.SYSTEM, "", self, null), now);
    }
  }

  private CompletableFuture<TrialMessages.Trial> write(
      final TrialMessages.Trial next, final StoreMessages.ChangeOrigin origin, final long now) {
    return store
        .call(
            StoreOperation.TRIAL_WRITE,
            next.route,
            null,
            next.serial - 1,
            0,
            Serializer.serialize(next),
            origin,
            now,
            WRITE_MILLIS)
        .thenApply(answer -> written(next, answer));
  }

  private static TrialMessages.Trial written(
      final TrialMessages.Trial next, final StoreMessages.StoreResponse answer) {
    if (answer.status == 200) {
      return next;
    }
    throw new WeldpointException(
        answer.status == 412
            ? WeldpointException.Kind.CONFLICT
            : WeldpointException.Kind.OUT_OF_REACH,
        "the trial has changed meanwhile; look at its status and order again");
  }

  /**
   * Judges an order by what a majority confirms after it came, and acknowledges it once a majority
   * of registries has it.
   */
  private CompletableFuture<TrialMessages.Trial> order(
      final Supplier<TrialMessages.Trial> next,
      final StoreMessages.ChangeOrigin origin,
      final long now) {
    return registry
        .refresh(now)
        .thenCompose(done -> write(next.get(), origin, registry.now()))
        .thenCompose(written -> registry.settle().thenApply(done -> written));
  }

  /** Begins a trial. */
  CompletableFuture<TrialMessages.Trial> begin(
      final String route,
      final ControlApi.TrialRequest order,
      final StoreMessages.ChangeOrigin origin,
      final long now) {
    final List<Integer> stages = new ArrayList<>();
    for (final Double stage : order.stages() == null ? List.<Double>of() : order.stages()) {
      stages.add(stage == null ? null : stage.intValue());
    }
    final int leastWrites =
        order.leastWrites() == null ? USUAL_LEAST_WRITES : order.leastWrites().intValue();
    final double lateAllowance =
        order.lateAllowance() == null ? USUAL_LATE_ALLOWANCE : order.lateAllowance();
    return order(
        () ->
            control
                .coordinator()
                .begin(
                    route,
                    String.valueOf(order.oldService()),
                    String.valueOf(order.newService()),
                    order.token(),
                    stages,
                    leastWrites,
                    lateAllowance,
                    control.routingTable()),
        origin,
        now);
  }

  /** Moves a trial to its next stage, if the evidence is there. */
  CompletableFuture<TrialMessages.Trial> advance(
      final String route, final StoreMessages.ChangeOrigin origin, final long now) {
    final List<String> live = registry.liveProxies(now);
    return order(
        () -> control.coordinator().advance(route, live, registry.hearsMajority(now), now),
        origin,
        now);
  }

  /** Holds a trial by an operator's order. */
  CompletableFuture<TrialMessages.Trial> hold(
      final String route,
      final String reason,
      final StoreMessages.ChangeOrigin origin,
      final long now) {
    return order(() -> control.coordinator().hold(route, reason), origin, now);
  }

  /** Ends a trial. */
  CompletableFuture<TrialMessages.Trial> finish(
      final String route, final StoreMessages.ChangeOrigin origin, final long now) {
    return order(() -> control.coordinator().finish(route), origin, now);
  }
}
