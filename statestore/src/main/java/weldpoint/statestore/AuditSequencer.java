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
  private static final int ENTRY_OVERHEAD_BYTES = 456;

  private final int entryBytes;
  private final ArrayDeque<byte[]> tail = new ArrayDeque<>();
  private final long[] loggedThrough = new long[64];
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
  void restore(final Iterable<RegisterState> registers) {
    tail.clear();
    tailBase = 0;
    tailDigest = AuditEntry.NO_DIGEST;
    last = 0;
    digest = AuditEntry.NO_DIGEST;
    inFlight = null;
    Arrays.fill(loggedThrough, 0);
    RegisterState best = null;
    for (final RegisterState register : registers) {
      if (register.audit != null) {
        final AuditTail candidate = Serializer.deserialize(register.audit, AuditTail.class);
        final long reach = candidate.base + Protocol.list(candidate.entries).size();
        if (best == null || reach > last) {
          best = register;
          last = reach;
          tailBase = candidate.base;
          tailDigest = candidate.baseDigest == null ? AuditEntry.NO_DIGEST : candidate.baseDigest;
          tail.clear();
          tail.addAll(Protocol.list(candidate.entries));
        }
      }
    }
    for (final RegisterState register : registers) {
      if (register != best) {
        register.audit = null;
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
  List<byte[]> decideRestored() {
    decided = last;
    decidedDigest = digest;
    return new ArrayList<>(tail);
  }

  /** Whether another register's change is under way, so that this one's has to wait. */
  boolean mustWait(final RegisterState register) {
    return inFlight != null && inFlight != register;
  }

  /** Adds an entry to the change that is being put together. */
  void add(final AuditEntry.Draft draft) {
    final byte[] bytes = draft.bytes(last + 1, digest);
    tail.addLast(bytes);
    last++;
    digest = AuditEntry.digest(bytes);
  }

  /**
   * The change of this register goes out with all entries that are not in the logs of a majority.
   */
  void propose(final RegisterState register) {
    inFlight = register;
    register.audit = Serializer.serialize(new AuditTail(tailBase, tailDigest, new ArrayList<>(tail)));
  }

  /** The change of this register is on a majority of disks; the entries that it decided. */
  List<byte[]> commit(final RegisterState register) {
    if (inFlight != register) {
      return List.of();
    }
    inFlight = null;
    final List<byte[]> newlyDecided = new ArrayList<>();
    int skip = (int) (decided - tailBase);
    for (final byte[] entry : tail) {
      if (skip-- <= 0) {
        newlyDecided.add(entry);
      }
    }
    decided = last;
    decidedDigest = digest;
    return newlyDecided;
  }

  /** A voter's disk has the history up to here. */
  void loggedThrough(final int voterIndex, final long through) {
    loggedThrough[voterIndex] = Math.max(loggedThrough[voterIndex], through);
  }

  /** Forgets the tail up to where a majority of voters has it in their logs. */
  void trimTail(final StateStoreMessages.Roster roster) {
    final long majorityThrough = majorityLogged(roster);
    while (!tail.isEmpty() && tailBase < majorityThrough && tailBase < decided) {
      tailDigest = AuditEntry.digest(tail.pollFirst());
      tailBase++;
    }
  }

  /** Forgets the whole tail, wherever else it may be. */
  final void discardTail() {
    tailBase = last;
    tailDigest = digest;
    tail.clear();
  }

  /** Up to where the logs of a majority reach. */
  long majorityLogged(final StateStoreMessages.Roster roster) {
    return majorityLoggedWithout(roster, -1);
  }

  /** Up to where the logs of a majority reach that does without the voter at this place. */
  long majorityLoggedWithout(final StateStoreMessages.Roster roster, final int leavingIndex) {
    final long[] sorted = Arrays.copyOf(loggedThrough, roster.voters.size());
    if (leavingIndex >= 0) {
      sorted[leavingIndex] = 0;
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
  AuditEntry entryForVersion(final long version) {
    for (final byte[] bytes : tail) {
      final AuditEntry entry = AuditEntry.read(bytes);
      if (entry.takesVersion() && entry.version == version) {
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
      final long serial,
      final long time) {
    final AuditEntry.Draft draft =
        switch (operation) {
          case CONFIGURATION_REPLACE ->
              configuration(
                  (StoredValues.StoredConfiguration) before,
                  (StoredValues.StoredConfiguration) after);
          case EVACUATE ->
              new AuditEntry.Draft(
                      ((StoredValues.Evacuation) after).on
                          ? ChangeKind.EVACUATION_BEGUN
                          : ChangeKind.EVACUATION_FINISHED,
                      call.name)
                  .number(0, serial);
          case TRIAL_WRITE ->
              trial((TrialMessages.Trial) before, (TrialMessages.Trial) after).number(0, serial);
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
    final ConfigurationSummary previous = summary(before);
    final ConfigurationSummary next = summary(after);
    return new AuditEntry.Draft(ChangeKind.CONFIGURATION, "")
        .number(after.version, 0)
        .digests(previous.digest, next.digest)
        .content(after.contentDigest)
        .difference(new ConfigurationDifference(previous, next), Math.max(0, entryBytes - ENTRY_OVERHEAD_BYTES));
  }

  private AuditEntry.Draft trial(
      final TrialMessages.Trial before, final TrialMessages.Trial after) {
    return new AuditEntry.Draft(ChangeKind.TRIAL, after.route)
        .line(
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

  private static ConfigurationSummary summary(final StoredValues.StoredConfiguration configuration) {
    return configuration == null || configuration.compressedSummary == null
        ? ConfigurationSummary.none()
        : Serializer.deserialize(Compression.inflate(configuration.compressedSummary), ConfigurationSummary.class);
  }

  /** The first entry of a store that is older than its history. */
  AuditEntry.Draft upgradeEntry(
      final StoredValues.StoredConfiguration configuration, final String taker, final long time) {
    return new AuditEntry.Draft(ChangeKind.UPGRADE, "")
        .number(configuration == null ? 0 : configuration.version, 0)
        .origin(weldpoint.audit.Authors.SYSTEM, "", taker, time)
        .line("the store is older than its history; what was changed before is not in it")
        .digests("", configuration == null ? "" : AuditEntry.digest(Compression.inflate(configuration.compressedBody)))
        .content(configuration == null ? null : TakenVersions.contentDigest(configuration));
  }

  /** The entry under which all replicas forget the oldest ones. */
  AuditEntry.Draft retentionEntry(
      final long through, final String throughDigest, final String taker, final long time) {
    return new AuditEntry.Draft(ChangeKind.RETENTION, "")
        .origin(weldpoint.audit.Authors.SYSTEM, "", taker, time)
        .trims(through, throughDigest)
        .line("entries up to " + through + " are forgotten");
  }
}
