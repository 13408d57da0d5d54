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
 * A registry's part in trials of services: it adds up the counts that proxies report, writes the
 * verdicts that follow from them, and carries out the trial calls of operators. Used by {@link
 * RegistryCore} on the control thread. Times are milliseconds of the monotonic clock.
 */
public final class TrialService {
  private static final long EVALUATION_INTERVAL_MILLIS = 100;
  private static final long WRITE_TIMEOUT_MILLIS = 900;
  private static final int DEFAULT_LEAST_WRITES = 30;
  private static final double DEFAULT_LATE_ALLOWANCE = 0.01;

  /** The registry that this service belongs to. */
  interface Registry {
    /** Completes once a majority has confirmed the known state after {@code now}. */
    CompletableFuture<Void> refresh(long now);

    /** Completes once a majority of registries has the known state. */
    CompletableFuture<Void> awaitReplication();

    /** The monotonic clock, in milliseconds. */
    long now();

    /** The addresses of the proxies that reported recently. */
    List<String> liveProxies(long now);

    /** Whether a majority was heard from recently. */
    boolean hearsMajority(long now);

    /** Relays a report to all other registries. */
    void relay(TrialMessages.TrialReport report);
  }

  private final String self;
  private final ControlState control;
  private final StoreClient store;
  private final Registry registry;
  private long evaluatedAt;

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

  /** Handles the trial counts of a proxy, or those that another registry relayed. */
  public void report(final TrialMessages.TrialReport report, final long now) {
    control.trialCoordinator().recordReport(report, now);
    if (!report.relayed) {
      registry.relay(new TrialMessages.TrialReport(true, report.counts, report.attemptDigests));
    }
    evaluate(now);
  }

  /** Writes the verdicts that follow from the counts. */
  void evaluate(final long now) {
    if (control.trials().isEmpty() || now - evaluatedAt < EVALUATION_INTERVAL_MILLIS) {
      return;
    }
    evaluatedAt = now;
    for (final TrialMessages.Trial verdict :
        control.trialCoordinator().requiredUpdates(control.routingTable())) {
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
            WRITE_TIMEOUT_MILLIS)
        .thenApply(response -> requireWritten(next, response));
  }

  private static TrialMessages.Trial requireWritten(
      final TrialMessages.Trial next, final StoreMessages.StoreResponse response) {
    if (response.status == 200) {
      return next;
    }
    throw new WeldpointException(
        response.status == 412
            ? WeldpointException.Kind.CONFLICT
            : WeldpointException.Kind.OUT_OF_REACH,
        "the trial may have changed in the meantime; read its status and try again");
  }

  /**
   * Carries out an operator's call on the state that a majority confirmed after the call arrived;
   * completes once a majority of registries has the result.
   */
  private CompletableFuture<TrialMessages.Trial> execute(
      final Supplier<TrialMessages.Trial> next,
      final StoreMessages.ChangeOrigin origin,
      final long now) {
    return registry
        .refresh(now)
        .thenCompose(done -> write(next.get(), origin, registry.now()))
        .thenCompose(written -> registry.awaitReplication().thenApply(done -> written));
  }

  /** Begins a trial. */
  CompletableFuture<TrialMessages.Trial> begin(
      final String route,
      final ControlApi.TrialRequest request,
      final StoreMessages.ChangeOrigin origin,
      final long now) {
    final List<Integer> stages = new ArrayList<>();
    for (final Double stage : request.stages() == null ? List.<Double>of() : request.stages()) {
      stages.add(stage == null ? null : stage.intValue());
    }
    final int leastWrites =
        request.leastWrites() == null ? DEFAULT_LEAST_WRITES : request.leastWrites().intValue();
    final double lateAllowance =
        request.lateAllowance() == null ? DEFAULT_LATE_ALLOWANCE : request.lateAllowance();
    return execute(
        () ->
            control
                .trialCoordinator()
                .begin(
                    route,
                    String.valueOf(request.oldService()),
                    String.valueOf(request.newService()),
                    request.token(),
                    stages,
                    leastWrites,
                    lateAllowance,
                    control.routingTable()),
        origin,
        now);
  }

  /** Moves a trial to its next stage, if the counts suffice. */
  CompletableFuture<TrialMessages.Trial> advance(
      final String route, final StoreMessages.ChangeOrigin origin, final long now) {
    final List<String> live = registry.liveProxies(now);
    return execute(
        () -> control.trialCoordinator().advance(route, live, registry.hearsMajority(now), now),
        origin,
        now);
  }

  /** Holds a trial on an operator's request. */
  CompletableFuture<TrialMessages.Trial> hold(
      final String route,
      final String reason,
      final StoreMessages.ChangeOrigin origin,
      final long now) {
    return execute(() -> control.trialCoordinator().hold(route, reason), origin, now);
  }

  /** Ends a trial. */
  CompletableFuture<TrialMessages.Trial> finish(
      final String route, final StoreMessages.ChangeOrigin origin, final long now) {
    return execute(() -> control.trialCoordinator().finish(route), origin, now);
  }
}
