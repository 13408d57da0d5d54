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
 * One soak: a fleet of real processes, clients that press, and troubles that overlap in time, all
 * drawn from one seed; then a calm, and what upstreams and clients saw is judged.
 */
final class SoakRun {
  private static final int CLIENTS = 6;
  private static final int MOST_AT_ONCE = 3;
  private static final int LEAST_LASTING_MILLIS = 300;
  private static final int MOST_LASTING_MILLIS = 4000;
  private static final int MOST_BETWEEN_MILLIS = 1500;
  private static final long CALM_MILLIS = 4000;
  private static final long STEP_MILLIS = 20;
  private static final long KEY_SPAN_MILLIS = 60_000;
  private static final long CONTACT_MILLIS = 4000;
  private static final long QUOTA_WINDOW_MILLIS = 5000;
  private static final long CONFIGURATION_MILLIS = 3000;
  private static final long BETWEEN_CHANGES_MILLIS = 1500;
  private static final int CALM_CHANGES = 2;
  private static final int IDLE_MILLIS = 15_000;

  /** The most runs of the limited tenant in a window, by the users' rule. */
  static final int ALLOWED = (int) ((Workload.RATE * 5 + Workload.BURST) * 1.1 + 20);

  private record TimedFault(long until, Fault fault, Fault.ActiveFault inForce) {}

  /**
   * What a soak found.
   *
   * @param seed the seed
   * @param broken what was broken, with the evidence; empty where nothing was
   * @param troubles how often each trouble was brought about
   * @param calls requests of clients
   * @param served those that were answered with success
   * @param keyedRuns runs of requests with a key
   * @param mostInWindow the most runs of the limited tenant in any window
   * @param fetches requests to the divided service
   * @param fetched those that were answered with success
   * @param twoHolders checks that found two holders of one key
   * @param pulls large answers that slow clients asked for
   * @param pulled those that came whole
   * @param homedRuns runs of the tenant with changing homes, of which was judged where they ran
   */
  record Verdict(
      long seed,
      List<String> broken,
      Map<Fault, Integer> troubles,
      int calls,
      int served,
      int keyedRuns,
      int mostInWindow,
      int fetches,
      int fetched,
      int twoHolders,
      int pulls,
      int pulled,
      int homedRuns) {}

  private final long seed;
  private final LocalFleet.Size size;
  private final long troubledMillis;
  private final Random random;
  private final Map<Fault, Integer> counts = new EnumMap<>(Fault.class);
  private final List<String> notes = new ArrayList<>();
  private long calmSince;

  SoakRun(final long seed, final LocalFleet.Size size, final long troubledMillis) {
    this.seed = seed;
    this.size = size;
    this.troubledMillis = troubledMillis;
    this.random = new Random(seed);
  }

  /** Plays it. */
  Verdict play() throws IOException, InterruptedException {
    try (LocalFleet fleet = new LocalFleet(size, seed)) {
      fleet.start(Workload.configuration());
      fleet.keyHolders().forEach(holder -> holder.full(Fault.USUALLY_TURNED_AWAY));
      final Workload workload = new Workload(fleet);
      workload.start(CLIENTS, seed);
      trouble(fleet);
      Thread.sleep(CALM_MILLIS);
      changeHomes(fleet);
      workload.end();
      return judge(fleet, workload);
    }
  }

  /** Changes homes in the calm, when a change must be in force within the bound. */
  private void changeHomes(final LocalFleet fleet) throws InterruptedException {
    calmSince = Clock.millis();
    for (int change = 0; change < CALM_CHANGES; change++) {
      fleet.sendNextConfiguration(IDLE_MILLIS, HomeRegions.drawn(random));
      Thread.sleep(CONFIGURATION_MILLIS + BETWEEN_CHANGES_MILLIS);
    }
  }

  private void trouble(final LocalFleet fleet) throws InterruptedException {
    final PriorityQueue<TimedFault> lasting =
        new PriorityQueue<>(Comparator.comparingLong(TimedFault::until));
    final long began = Clock.millis();
    long next = began;
    while (Clock.millis() - began < troubledMillis) {
      final long now = Clock.millis();
      while (!lasting.isEmpty() && lasting.peek().until() <= now) {
        lasting.poll().inForce().end();
      }
      if (now >= next && lasting.size() < MOST_AT_ONCE) {
        final Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
        final int millis =
            LEAST_LASTING_MILLIS + random.nextInt(MOST_LASTING_MILLIS - LEAST_LASTING_MILLIS);
        next = now + random.nextInt(MOST_BETWEEN_MILLIS);
        counts.merge(fault, 1, Integer::sum);
        notes.add(now + " " + fault + " for " + millis + " ms");
        lasting.add(new TimedFault(now + millis, fault, fault.begin(fleet, random)));
      }
      Thread.sleep(STEP_MILLIS);
    }
    lasting.forEach(one -> one.inForce().end());
    fleet.all().forEach(DaemonProcess::resume);
    fleet.all().forEach(DaemonProcess::startIfDown);
  }

  /** What a registry told of its calls to holders of keys. */
  private static List<String> keyCalls(final DaemonProcess registry) {
    return registry.output().stream()
        .filter(line -> line.contains(" keys ") || line.contains("assigns the keys"))
        .map(line -> registry.name() + ": " + line)
        .toList();
  }

  private Verdict judge(final LocalFleet fleet, final Workload workload) {
    final List<UpstreamRun> runs = fleet.runs();
    final List<ClientCall> calls = workload.calls();
    final List<String> broken = new ArrayList<>(SoakChecker.doubledKeys(runs, KEY_SPAN_MILLIS));
    broken.addAll(SoakChecker.brokenPromises(calls, runs));
    broken.addAll(SoakChecker.strangeAnswers(calls, runs));
    broken.addAll(SoakChecker.doubledRequests(calls, runs));
    final List<LargeDownload> pulls = workload.pulls();
    broken.addAll(
        SoakChecker.cutAnswers(
            pulls,
            fleet.answered(),
            (proxy, from, to) -> fleet.proxies().get(proxy).disturbed(from, to),
            SlowReader.DEADLINE_MILLIS,
            CONTACT_MILLIS));
    final List<UpstreamRun> homed =
        runs.stream()
            .filter(run -> run.tenant().equals(Workload.HOMED_TENANT))
            .filter(run -> run.startedAt() >= calmSince)
            .toList();
    broken.addAll(
        SoakChecker.outsideHomes(
            homed, fleet.homeChanges(), LocalFleet::regionOf, CONFIGURATION_MILLIS));
    broken.addAll(fleet.twoHolders());
    if (!fleet.twoHolders().isEmpty()) {
      fleet.registries().forEach(registry -> broken.addAll(keyCalls(registry)));
    }
    final int most = SoakChecker.mostInWindow(runs, Workload.LIMITED_TENANT, QUOTA_WINDOW_MILLIS);
    if (most > ALLOWED) {
      broken.add(most + " runs of the limited tenant in a window, allowed " + ALLOWED);
    }
    fleet
        .all()
        .forEach(
            process ->
                process.output().stream()
                    .filter(line -> line.contains("invariant broken"))
                    .forEach(line -> broken.add(process.name() + ": " + line)));
    if (!broken.isEmpty()) {
      broken.addAll(notes);
    }
    final int served = (int) calls.stream().filter(call -> call.reply().status() == 200).count();
    final int keyed = (int) runs.stream().filter(run -> !run.key().isEmpty()).count();
    final List<ClientReply> replies = workload.fetched();
    final int fetched = (int) replies.stream().filter(reply -> reply.status() == 200).count();
    return new Verdict(
        seed,
        broken,
        counts,
        calls.size(),
        served,
        keyed,
        most,
        replies.size(),
        fetched,
        fleet.twoHolders().size(),
        pulls.size(),
        (int) pulls.stream().filter(LargeDownload::whole).count(),
        homed.size());
  }
}
