package weldpoint.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import weldpoint.common.RendezvousHash;
import weldpoint.metrics.Metric;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.KeyOutcome;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeFound;
import weldpoint.transport.KeyMessages.OutcomeLookup;
import weldpoint.transport.KeyMessages.OutcomeReport;
import weldpoint.transport.KeyMessages.OutcomeResponse;
import weldpoint.transport.KeyMessages.OutcomeStored;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * A registry's part in keeping the responses of requests with idempotency keys, so that a repeat
 * gets the first response after the proxy that received it is gone. Each outcome is kept by {@link
 * #REPLICAS} voters, chosen by rendezvous hashing of the key in different sites where possible. An
 * outcome never changes, so the first replica that has it answers. Used on the control thread;
 * times are milliseconds of the monotonic clock.
 */
final class KeyOutcomes {
  /** Survives the loss of two disks, or of one site, within the retention period. */
  static final int REPLICAS = 3;

  private static final int ACKS_REQUIRED = 2;
  private static final long LOOKUP_TIMEOUT_MILLIS = 400;
  private static final long REPORT_TIMEOUT_MILLIS = 2000;
  private static final long MAX_STORED_BYTES = 4 << 20;
  private static final int OVERHEAD_BYTES = 200;

  /** Appends outcomes to the disk; the callback runs once they are durable. */
  interface Disk {
    void append(List<KeyOutcome> outcomes, Runnable synced);
  }

  private record Key(long high, long low) {}

  private record Entry(Key key, KeyOutcome outcome, long expiresAt, int bytes) {}

  private static final class PendingReport {
    final long proxyNumber;
    final Consumer<Message> reply;
    final long deadline;
    final int required;
    final Set<String> stored = new HashSet<>();

    PendingReport(
        final long proxyNumber,
        final Consumer<Message> reply,
        final long deadline,
        final int required) {
      this.proxyNumber = proxyNumber;
      this.reply = reply;
      this.deadline = deadline;
      this.required = required;
    }
  }

  private static final class PendingLookup {
    final long proxyNumber;
    final Consumer<Message> reply;
    final long deadline;
    final Set<String> unanswered;

    PendingLookup(
        final long proxyNumber,
        final Consumer<Message> reply,
        final long deadline,
        final Set<String> unanswered) {
      this.proxyNumber = proxyNumber;
      this.reply = reply;
      this.deadline = deadline;
      this.unanswered = unanswered;
    }
  }

  private final String self;
  private final BiConsumer<String, Message> registrySender;
  private final Disk disk;
  private final Map<Key, Entry> entries = new HashMap<>();
  private final ArrayDeque<Entry> entriesByAge = new ArrayDeque<>();
  private final Map<Long, PendingReport> pendingReports = new HashMap<>();
  private final Map<Long, PendingLookup> pendingLookups = new HashMap<>();
  private Roster roster = new Roster(0, List.of());
  private Roster previousRoster;
  private long lastNumber;
  private long storedBytes;
  private long evicted;

  KeyOutcomes(
      final String self, final BiConsumer<String, Message> registrySender, final Disk disk) {
    this.self = self;
    this.registrySender = registrySender;
    this.disk = disk;
  }

  /** Sets the roster that names the replicas, and the previous one while it still counts. */
  void roster(final Roster present, final Roster previous) {
    roster = present;
    previousRoster = previous;
  }

  /** Restores outcomes from disk. Their retention spans start again. */
  void restore(final List<KeyOutcome> outcomes, final long now) {
    outcomes.forEach(outcome -> keep(outcome, now));
  }

  /** Returns the outcomes that have not expired, with their remaining retention. */
  List<KeyOutcome> liveOutcomes(final long now) {
    final List<KeyOutcome> live = new ArrayList<>(entries.size());
    for (final Entry entry : entries.values()) {
      if (entry.expiresAt > now) {
        final KeyOutcome outcome = entry.outcome;
        live.add(
            new KeyOutcome(
                outcome.claim.withKeepMillis(entry.expiresAt - now),
                outcome.fingerprint,
                outcome.response,
                outcome.regions));
      }
    }
    return live;
  }

  /** Handles a proxy's report of an outcome or its lookup of one. */
  void fromProxy(final Message message, final Consumer<Message> reply, final long now) {
    if (message instanceof OutcomeReport) {
      replicate((OutcomeReport) message, reply, now);
    } else if (message instanceof OutcomeLookup) {
      lookUp((OutcomeLookup) message, reply, now);
    }
  }

  private void replicate(
      final OutcomeReport report, final Consumer<Message> reply, final long now) {
    final Set<String> replicas =
        replicas(roster, report.outcome.claim, Protocol.emptyIfNull(report.outcome.regions));
    if (replicas.isEmpty()) {
      reply.accept(new OutcomeStored(report.number));
      return;
    }
    final long number = ++lastNumber;
    pendingReports.put(
        number,
        new PendingReport(
            report.number,
            reply,
            now + REPORT_TIMEOUT_MILLIS,
            Math.min(ACKS_REQUIRED, replicas.size())));
    final OutcomeReport forwarded = new OutcomeReport(number, report.outcome);
    replicas.forEach(replica -> send(replica, forwarded, now));
  }

  private void lookUp(final OutcomeLookup lookup, final Consumer<Message> reply, final long now) {
    final List<String> regions = Protocol.emptyIfNull(lookup.regions);
    final Set<String> replicas = replicas(roster, lookup.claim, regions);
    if (previousRoster != null) {
      replicas.addAll(replicas(previousRoster, lookup.claim, regions));
    }
    if (replicas.isEmpty()) {
      reply.accept(new OutcomeFound(lookup.number, new OutcomeResponse(Outcome.UNCERTAIN)));
      return;
    }
    final long number = ++lastNumber;
    pendingLookups.put(
        number,
        new PendingLookup(
            lookup.number, reply, now + LOOKUP_TIMEOUT_MILLIS, new HashSet<>(replicas)));
    final OutcomeLookup forwarded =
        new OutcomeLookup(number, lookup.claim, lookup.fingerprint, lookup.regions);
    replicas.forEach(replica -> send(replica, forwarded, now));
  }

  private void send(final String address, final Message message, final long now) {
    if (address.equals(self)) {
      receive(self, message, response -> receive(self, response, unused -> {}, now), now);
    } else {
      registrySender.accept(address, message);
    }
  }

  /** The voters that keep a claim's outcome: the first ones by hash, in different sites first. */
  private static Set<String> replicas(
      final Roster roster, final Claim claim, final List<String> regions) {
    final String key = Long.toHexString(claim.high) + Long.toHexString(claim.low);
    final List<Voter> ranked =
        roster.voters.stream()
            .filter(voter -> regions.isEmpty() || regions.contains(voter.region))
            .sorted(Comparator.comparingLong(voter -> RendezvousHash.of(voter.address, key)))
            .toList();
    final Set<String> chosen = new LinkedHashSet<>();
    final Set<String> sites = new HashSet<>();
    for (final Voter voter : ranked) {
      if (chosen.size() < REPLICAS && sites.add(voter.site)) {
        chosen.add(voter.address);
      }
    }
    for (final Voter voter : ranked) {
      if (chosen.size() < REPLICAS) {
        chosen.add(voter.address);
      }
    }
    return chosen;
  }

  /** Handles a message of another registry or of this one. */
  void receive(
      final String from, final Message message, final Consumer<Message> reply, final long now) {
    if (message instanceof OutcomeReport) {
      store((OutcomeReport) message, reply, now);
    } else if (message instanceof OutcomeLookup) {
      final OutcomeLookup lookup = (OutcomeLookup) message;
      reply.accept(new OutcomeFound(lookup.number, kept(lookup, now)));
    } else if (message instanceof OutcomeStored) {
      onStored(from, ((OutcomeStored) message).number);
    } else if (message instanceof OutcomeFound) {
      onFound(from, (OutcomeFound) message);
    }
  }

  private void store(final OutcomeReport report, final Consumer<Message> reply, final long now) {
    final Runnable acknowledge = () -> reply.accept(new OutcomeStored(report.number));
    if (keep(report.outcome, now)) {
      disk.append(List.of(report.outcome), acknowledge);
    } else {
      acknowledge.run();
    }
  }

  /** Keeps an outcome; false if it is kept already. */
  private boolean keep(final KeyOutcome outcome, final long now) {
    final Key key = new Key(outcome.claim.high, outcome.claim.low);
    final Entry existing = entries.get(key);
    if (existing != null && existing.outcome.claim.sameClaimant(outcome.claim)) {
      return false;
    }
    final Entry entry = new Entry(key, outcome, now + outcome.claim.keepMillis, size(outcome));
    if (existing != null) {
      storedBytes -= existing.bytes;
    }
    entries.put(key, entry);
    entriesByAge.add(entry);
    storedBytes += entry.bytes;
    while (storedBytes > MAX_STORED_BYTES) {
      evicted++;
      remove(entriesByAge.poll());
    }
    return true;
  }

  private static int size(final KeyOutcome outcome) {
    int bytes = OVERHEAD_BYTES;
    bytes += outcome.response.body == null ? 0 : outcome.response.body.length;
    for (final String text : Protocol.emptyIfNull(outcome.response.headers)) {
      bytes += text.length();
    }
    return bytes;
  }

  private void remove(final Entry entry) {
    if (entries.remove(entry.key, entry)) {
      storedBytes -= entry.bytes;
    }
  }

  private OutcomeResponse kept(final OutcomeLookup lookup, final long now) {
    final Entry entry = entries.get(new Key(lookup.claim.high, lookup.claim.low));
    if (entry == null
        || entry.expiresAt <= now
        || !entry.outcome.claim.sameClaimant(lookup.claim)) {
      return new OutcomeResponse(Outcome.UNCERTAIN);
    }
    return entry.outcome.fingerprint == lookup.fingerprint
        ? entry.outcome.response
        : new OutcomeResponse(Outcome.KEY_REUSED);
  }

  private void onStored(final String from, final long number) {
    final PendingReport pending = pendingReports.get(number);
    if (pending != null && pending.stored.add(from) && pending.stored.size() >= pending.required) {
      pendingReports.remove(number);
      pending.reply.accept(new OutcomeStored(pending.proxyNumber));
    }
  }

  private void onFound(final String from, final OutcomeFound found) {
    final PendingLookup pending = pendingLookups.get(found.number);
    if (pending == null) {
      return;
    }
    pending.unanswered.remove(from);
    if (found.response.outcome() != Outcome.UNCERTAIN || pending.unanswered.isEmpty()) {
      pendingLookups.remove(found.number);
      pending.reply.accept(new OutcomeFound(pending.proxyNumber, found.response));
    }
  }

  /** Advances the clock: expires outcomes, and ends lookups and reports that timed out. */
  void tick(final long now) {
    while (!entriesByAge.isEmpty() && entriesByAge.peek().expiresAt <= now) {
      remove(entriesByAge.poll());
    }
    pendingReports.values().removeIf(pending -> now >= pending.deadline);
    final List<PendingLookup> expired = new ArrayList<>();
    pendingLookups.values().removeIf(pending -> now >= pending.deadline && expired.add(pending));
    for (final PendingLookup pending : expired) {
      pending.reply.accept(
          new OutcomeFound(pending.proxyNumber, new OutcomeResponse(Outcome.UNCERTAIN)));
    }
  }

  /** Returns the metrics of kept outcomes. */
  List<Metric> metrics() {
    return List.of(
        Metric.gauge(
            "weldpoint_key_outcomes", "Answers to keyed requests kept here.", entries.size()),
        Metric.gauge(
            "weldpoint_key_outcome_bytes",
            "Bytes of the answers to keyed requests kept here.",
            storedBytes),
        Metric.counter(
            "weldpoint_key_outcomes_evicted",
            "Answers to keyed requests dropped before their time, for want of room.",
            evicted));
  }
}
