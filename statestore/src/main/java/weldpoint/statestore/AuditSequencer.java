package weldpoint.statestore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditTail;
import weldpoint.audit.ChangeKind;
import weldpoint.audit.ConfigurationDifference;
import weldpoint.audit.ConfigurationSummary;
import weldpoint.transport.Compression;
import weldpoint.transport.Protocol;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.TrialMessages;

/**
 * The history as the holder of partition 0 sees it: which entry is the last, and which are not yet
 * in the logs of a majority and therefore travel with the register that changed. One change is
 * under way at a time.
 */
class AuditSequencer {
  private static final int FIXED_BYTES = 456;

  private final int entryBytes;
  private final ArrayDeque<byte[]> tail = new ArrayDeque<>();
  private final long[] logged = new long[64];
  private long tailBase;
  private String tailDigest = AuditEntry.NO_DIGEST;
  private long last;
  private String digest = AuditEntry.NO_DIGEST;
  private long decided;
  private String decidedDigest = AuditEntry.NO_DIGEST;
  private RegisterState inFlight;

  AuditSequencer(final int entryBytes) {
    this.entryBytes = entryBytes;
  }

  /**
   * Begins from what a majority told: the register whose tail reaches furthest carries all that may
   * be missing in logs.
   */
  void begin(final Iterable<RegisterState> registers) {
    tail.clear();
    tailBase = 0;
    tailDigest = AuditEntry.NO_DIGEST;
    last = 0;
    digest = AuditEntry.NO_DIGEST;
    inFlight = null;
    Arrays.fill(logged, 0);
    RegisterState best = null;
    for (final RegisterState held : registers) {
      if (held.audit != null) {
        final AuditTail one = Serializer.deserialize(held.audit, AuditTail.class);
        final long reaches = one.base + Protocol.list(one.entries).size();
        if (best == null || reaches > last) {
          best = held;
          last = reaches;
          tailBase = one.base;
          tailDigest = one.baseDigest == null ? AuditEntry.NO_DIGEST : one.baseDigest;
          tail.clear();
          tail.addAll(Protocol.list(one.entries));
        }
      }
    }
    for (final RegisterState held : registers) {
      if (held != best) {
        held.audit = null;
      }
    }
    digest = tail.isEmpty() ? tailDigest : AuditEntry.digest(tail.peekLast());
    decided = 0;
    decidedDigest = AuditEntry.NO_DIGEST;
  }

  /**
   * All that was begun from is on a majority of disks now; the entries of the tail are thereby
   * decided.
   */
  List<byte[]> serve() {
    decided = last;
    decidedDigest = digest;
    return new ArrayList<>(tail);
  }

  /** Whether another register's change is under way, so that this one's has to wait. */
  boolean busy(final RegisterState held) {
    return inFlight != null && inFlight != held;
  }

  /** Adds an entry to the change that is being put together. */
  void add(final AuditEntry.Draft draft) {
    final byte[] bytes = draft.encode(last + 1, digest);
    tail.addLast(bytes);
    last++;
    digest = AuditEntry.digest(bytes);
  }

  /**
   * The change of this register goes out with all entries that are not in the logs of a majority.
   */
  void propose(final RegisterState held) {
    inFlight = held;
    held.audit = Serializer.serialize(new AuditTail(tailBase, tailDigest, new ArrayList<>(tail)));
  }

  /** The change of this register is on a majority of disks; the entries that it decided. */
  List<byte[]> commit(final RegisterState held) {
    if (inFlight != held) {
      return List.of();
    }
    inFlight = null;
    final List<byte[]> news = new ArrayList<>();
    int skip = (int) (decided - tailBase);
    for (final byte[] entry : tail) {
      if (skip-- <= 0) {
        news.add(entry);
      }
    }
    decided = last;
    decidedDigest = digest;
    return news;
  }

  /** A voter's disk has the history up to here. */
  void logged(final int place, final long through) {
    logged[place] = Math.max(logged[place], through);
  }

  /** Forgets the tail up to where a majority of voters has it in their logs. */
  void settle(final StateStoreMessages.Roster roster) {
    final long settled = settled(roster);
    while (!tail.isEmpty() && tailBase < settled && tailBase < decided) {
      tailDigest = AuditEntry.digest(tail.pollFirst());
      tailBase++;
    }
  }

  /** Forgets the whole tail, wherever else it may be. */
  final void forget() {
    tailBase = last;
    tailDigest = digest;
    tail.clear();
  }

  /** Up to where the logs of a majority reach. */
  long settled(final StateStoreMessages.Roster roster) {
    return settledWithout(roster, -1);
  }

  /** Up to where the logs of a majority reach that does without the voter at this place. */
  long settledWithout(final StateStoreMessages.Roster roster, final int leaver) {
    final long[] sorted = Arrays.copyOf(logged, roster.voters.size());
    if (leaver >= 0) {
      sorted[leaver] = 0;
    }
    Arrays.sort(sorted);
    return sorted.length == 0 ? 0 : sorted[sorted.length - roster.majority()];
  }

  /** Up to which entry the history is in the logs of a majority, and not here. */
  long tailBase() {
    return tailBase;
  }

  /**
   * The entry, among those that travel with a register, with which a configuration took this
   * version; null where none did.
   */
  AuditEntry taking(final long version) {
    for (final byte[] bytes : tail) {
      final AuditEntry entry = AuditEntry.read(bytes);
      if (entry.definesVersion() && entry.version == version) {
        return entry;
      }
    }
    return null;
  }

  /** The last decided entry. */
  long decided() {
    return decided;
  }

  /** Its digest. */
  String decidedDigest() {
    return decidedDigest;
  }

  /** Whether nothing is under way. */
  boolean idle() {
    return inFlight == null;
  }

  /**
   * What a call changed, as an entry that has no place yet; null where its deed changes no routing.
   */
  AuditEntry.Draft draft(
      final StoreOperation operation,
      final StoreMessages.StoreRequest call,
      final Object before,
      final Object after,
      final long number,
      final long mark,
      final long time) {
    final AuditEntry.Draft draft =
        switch (operation) {
          case SPEC_REPLACE ->
              configuration(
                  (StoredValues.StoredConfiguration) before,
                  (StoredValues.StoredConfiguration) after);
          case EVACUATE ->
              new AuditEntry.Draft(
                      ((StoredValues.Evacuation) after).on
                          ? ChangeKind.EVACUATION_BEGUN
                          : ChangeKind.EVACUATION_FINISHED,
                      call.name)
                  .version(0, mark);
          case TRIAL_WRITE ->
              trial((TrialMessages.Trial) before, (TrialMessages.Trial) after).version(0, mark);
          default -> null;
        };
    if (draft == null) {
      return null;
    }
    final StoreMessages.ChangeOrigin origin = call.origin;
    return origin == null
        ? draft.origin(null, null, null, time)
        : draft.origin(origin.author, origin.caller, origin.taker, time);
  }

  private AuditEntry.Draft configuration(
      final StoredValues.StoredConfiguration before, final StoredValues.StoredConfiguration after) {
    final ConfigurationSummary old = summary(before);
    final ConfigurationSummary fresh = summary(after);
    return new AuditEntry.Draft(ChangeKind.CONFIGURATION, "")
        .version(after.version, 0)
        .digests(old.digest, fresh.digest)
        .contentDigest(after.content)
        .difference(new ConfigurationDifference(old, fresh), Math.max(0, entryBytes - FIXED_BYTES));
  }

  private AuditEntry.Draft trial(
      final TrialMessages.Trial before, final TrialMessages.Trial after) {
    return new AuditEntry.Draft(ChangeKind.TRIAL, after.route)
        .summary(
            "trial "
                + after.number
                + " of "
                + after.oldService
                + " -> "
                + after.newService
                + ": stage "
                + (before == null ? "" : before.stage + " -> ")
                + after.stage
                + ", verdict "
                + (before == null ? "" : before.verdict + " -> ")
                + after.verdict
                + (after.reason == null || after.reason.isEmpty()
                    ? ""
                    : ", "
                        + (after.reason.length() > 80
                            ? after.reason.substring(0, 80)
                            : after.reason)));
  }

  private static ConfigurationSummary summary(final StoredValues.StoredConfiguration spec) {
    return spec == null || spec.summary == null
        ? ConfigurationSummary.empty()
        : Serializer.deserialize(Compression.inflate(spec.summary), ConfigurationSummary.class);
  }

  /** The first entry of a store that is older than its history. */
  AuditEntry.Draft upgrade(
      final StoredValues.StoredConfiguration spec, final String taker, final long time) {
    return new AuditEntry.Draft(ChangeKind.UPGRADE, "")
        .version(spec == null ? 0 : spec.version, 0)
        .origin(weldpoint.audit.Authors.SYSTEM, "", taker, time)
        .summary("the store is older than its history; what was changed before is not in it")
        .digests("", spec == null ? "" : AuditEntry.digest(Compression.inflate(spec.body)))
        .contentDigest(spec == null ? null : TakenVersions.content(spec));
  }

  /** The entry under which all replicas forget the oldest ones. */
  AuditEntry.Draft retention(
      final long through, final String throughDigest, final String taker, final long time) {
    return new AuditEntry.Draft(ChangeKind.RETENTION, "")
        .origin(weldpoint.audit.Authors.SYSTEM, "", taker, time)
        .trimThrough(through, throughDigest)
        .summary("entries up to " + through + " are forgotten");
  }
}
