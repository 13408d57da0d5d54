package weldpoint.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * One soak: a fleet of real processes, clients that send requests continuously, and faults that
 * overlap in time, all chosen from one seed. After a recovery phase without faults, the records of
 * the upstreams and the clients are checked.
 */
final class SoakRun {
  private static final int CLIENTS = 6;
  private static final int MAX_ACTIVE_FAULTS = 3;
  private static final int MIN_FAULT_MILLIS = 300;
  private static final int MAX_FAULT_MILLIS = 4000;
  private static final int MAX_FAULT_INTERVAL_MILLIS = 1500;
  private static final long RECOVERY_MILLIS = 4000;
  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final long KEY_WINDOW_MILLIS = 60_000;
  private static final long CONTACT_BOUND_MILLIS = 4000;
  private static final long QUOTA_WINDOW_MILLIS = 5000;
  private static final long CONFIGURATION_BOUND_MILLIS = 3000;
  private static final long CHANGE_INTERVAL_MILLIS = 1500;
  private static final int CHANGES_AFTER_RECOVERY = 2;
  private static final int IDLE_TIMEOUT_MILLIS = 15_000;
  private static final double UNFRAMED_RESPONSE_SHARE = 0.15;
  private static final long PROMPT_RESPONSE_MILLIS = 800;

  /**
   * The most runs that the users' requirements allow the limited tenant in a window of 5 s: its
   * rate over the window plus its burst, plus 10 % (bound.quota-overshoot) and 20 runs
   * (bound.quota-tolerance).
   */
  static final int MAX_RUNS_IN_WINDOW =
      (int) ((Workload.LIMIT_PER_SECOND * 5 + Workload.LIMIT_BURST) * 1.1 + 20);

  private record TimedFault(long endsAt, Fault fault, Fault.ActiveFault active) {}

  /**
   * The result of a soak.
   *
   * @param seed the seed of the soak
   * @param violations violations with evidence; empty if the soak passed
   * @param faults how often each kind of fault was injected
   * @param calls number of client requests, without partitioned reads and downloads
   * @param served how many of the calls got status 200
   * @param keyedRuns runs of requests with an idempotency key
   * @param maxRunsInWindow the most runs of the limited tenant in any window
   * @param partitionedReads reads from the partitioned service
   * @param partitionedReadsServed how many of these reads got status 200
   * @param holderConflicts cases in which two upstreams held the lease on one key
   * @param downloads large downloads that slow clients requested
   * @param completeDownloads how many of the downloads were complete
   * @param regionBoundRuns runs of the tenant with changing home regions whose region was checked
   */
  record Verdict(
      long seed,
      List<String> violations,
      Map<Fault, Integer> faults,
      int calls,
      int served,
      int keyedRuns,
      int maxRunsInWindow,
      int partitionedReads,
      int partitionedReadsServed,
      int holderConflicts,
      int downloads,
      int completeDownloads,
      int regionBoundRuns) {}

  private final long seed;
  private final LocalFleet.Size size;
  private final long faultPhaseMillis;
  private final Random random;
  private final Map<Fault, Integer> faultCounts = new EnumMap<>(Fault.class);
  private final List<String> faultLog = new ArrayList<>();
  private long recoveredAt;

  SoakRun(final long seed, final LocalFleet.Size size, final long faultPhaseMillis) {
    this.seed = seed;
    this.size = size;
    this.faultPhaseMillis = faultPhaseMillis;
    this.random = new Random(seed);
  }

  /** Runs the soak and returns its result. */
  Verdict run() throws IOException, InterruptedException {
    try (LocalFleet fleet = new LocalFleet(size, seed)) {
      fleet.start(Workload.configuration());
      fleet
          .keyHolders()
          .forEach(keyHolder -> keyHolder.rejectedShare(Fault.BASELINE_REJECTED_SHARE));
      fleet
          .upstreams()
          .forEach(upstream -> upstream.unframedResponseShare(UNFRAMED_RESPONSE_SHARE));
      fleet.keyHolders().forEach(holder -> holder.unframedResponseShare(UNFRAMED_RESPONSE_SHARE));
      final Workload workload = new Workload(fleet);
      workload.start(CLIENTS, seed);
      injectFaults(fleet);
      Thread.sleep(RECOVERY_MILLIS);
      changeHomeRegions(fleet);
      workload.stop();
      return check(fleet, workload);
    }
  }

  /** Changes home regions after recovery, when a change must be in force within the bound. */
  private void changeHomeRegions(final LocalFleet fleet) throws InterruptedException {
    recoveredAt = Clock.millis();
    for (int change = 0; change < CHANGES_AFTER_RECOVERY; change++) {
      fleet.sendNextConfiguration(IDLE_TIMEOUT_MILLIS, HomeRegions.pick(random));
      Thread.sleep(CONFIGURATION_BOUND_MILLIS + CHANGE_INTERVAL_MILLIS);
    }
  }

  private void injectFaults(final LocalFleet fleet) throws InterruptedException {
    final PriorityQueue<TimedFault> activeFaults =
        new PriorityQueue<>(Comparator.comparingLong(TimedFault::endsAt));
    final long startedAt = Clock.millis();
    long nextFaultAt = startedAt;
    while (Clock.millis() - startedAt < faultPhaseMillis) {
      final long now = Clock.millis();
      while (!activeFaults.isEmpty() && activeFaults.peek().endsAt() <= now) {
        activeFaults.poll().active().revert();
      }
      if (now >= nextFaultAt && activeFaults.size() < MAX_ACTIVE_FAULTS) {
        final Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
        final int durationMillis =
            MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS - MIN_FAULT_MILLIS);
        nextFaultAt = now + random.nextInt(MAX_FAULT_INTERVAL_MILLIS);
        faultCounts.merge(fault, 1, Integer::sum);
        faultLog.add(now + " " + fault + " for " + durationMillis + " ms");
        activeFaults.add(new TimedFault(now + durationMillis, fault, fault.inject(fleet, random)));
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    activeFaults.forEach(timedFault -> timedFault.active().revert());
    fleet.daemons().forEach(DaemonProcess::resume);
    fleet.daemons().forEach(DaemonProcess::startIfDown);
  }

  /** Returns a registry's log lines about its grant and release calls for keys. */
  private static List<String> keyAssignmentLines(final DaemonProcess registry) {
    return registry.output().stream()
        .filter(line -> line.contains(" keys ") || line.contains("assigns the keys"))
        .map(line -> registry.name() + ": " + line)
        .toList();
  }

  private Verdict check(final LocalFleet fleet, final Workload workload) {
    final List<UpstreamRun> runs = fleet.runs();
    final List<ClientCall> calls = workload.calls();
    final List<String> violations =
        new ArrayList<>(SoakChecker.duplicateKeyRuns(runs, KEY_WINDOW_MILLIS));
    violations.addAll(SoakChecker.refusedButRun(calls, runs));
    violations.addAll(SoakChecker.inconsistentResponses(calls, runs));
    violations.addAll(SoakChecker.duplicateRequestRuns(calls, runs));
    violations.addAll(SoakChecker.cutSuccesses(calls));
    violations.addAll(
        SoakChecker.lostResponses(
            calls.stream().filter(call -> call.sentAt() >= recoveredAt).toList(),
            fleet.responseTimes(),
            PROMPT_RESPONSE_MILLIS));
    final List<LargeDownload> downloads = workload.downloads();
    violations.addAll(
        SoakChecker.truncatedResponses(
            downloads,
            fleet.responseTimes(),
            (proxy, from, to) -> fleet.proxies().get(proxy).disruptedBetween(from, to),
            SlowReader.TIMEOUT_MILLIS,
            CONTACT_BOUND_MILLIS));
    final List<UpstreamRun> regionBoundRuns =
        runs.stream()
            .filter(run -> run.tenant().equals(Workload.REGION_BOUND_TENANT))
            .filter(run -> run.startedAt() >= recoveredAt)
            .toList();
    violations.addAll(
        SoakChecker.runsOutsideHomeRegions(
            regionBoundRuns,
            fleet.homeRegionChanges(),
            LocalFleet::regionOf,
            CONFIGURATION_BOUND_MILLIS));
    violations.addAll(fleet.acknowledgedDamage());
    violations.addAll(fleet.holderConflicts());
    if (!fleet.holderConflicts().isEmpty()) {
      fleet.registries().forEach(registry -> violations.addAll(keyAssignmentLines(registry)));
    }
    final int maxRuns =
        SoakChecker.maxRunsInWindow(runs, Workload.LIMITED_TENANT, QUOTA_WINDOW_MILLIS);
    if (maxRuns > MAX_RUNS_IN_WINDOW) {
      violations.add(
          maxRuns + " runs of the limited tenant in one window, allowed " + MAX_RUNS_IN_WINDOW);
    }
    fleet
        .daemons()
        .forEach(
            process ->
                process.output().stream()
                    .filter(line -> line.contains("invariant broken"))
                    .forEach(line -> violations.add(process.name() + ": " + line)));
    if (!violations.isEmpty()) {
      violations.addAll(faultLog);
    }
    final int served = (int) calls.stream().filter(call -> call.reply().status() == 200).count();
    final int keyedRuns = (int) runs.stream().filter(run -> !run.key().isEmpty()).count();
    final List<ClientReply> partitionedReads = workload.partitionedReads();
    final int partitionedReadsServed =
        (int) partitionedReads.stream().filter(reply -> reply.status() == 200).count();
    return new Verdict(
        seed,
        violations,
        faultCounts,
        calls.size(),
        served,
        keyedRuns,
        maxRuns,
        partitionedReads.size(),
        partitionedReadsServed,
        fleet.holderConflicts().size(),
        downloads.size(),
        (int) downloads.stream().filter(LargeDownload::whole).count(),
        regionBoundRuns.size());
  }
}
