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
 * Numbers the entries of the history on the leader of partition 0. Entries that are not yet in the
 * logs of a majority (the tail) are replicated with the register whose change they record. One
 * change is in flight at a time.
 */
class AuditSequencer {
  private static final int ENTRY_OVERHEAD_BYTES = 456;

  private final int entryBytes;
  private final ArrayDeque<byte[]> tail = new ArrayDeque<>();
  private final long[] loggedThrough = new long[64];
  private long tailBase;
  private String tailDigest = AuditEntry.NO_DIGEST;
  private long lastSequence;
  private String lastDigest = AuditEntry.NO_DIGEST;
  private long decidedSequence;
  private String decidedDigest = AuditEntry.NO_DIGEST;
  private RegisterState inFlight;

  AuditSequencer(final int entryBytes) {
    this.entryBytes = entryBytes;
  }

  /**
   * Restores the tail from the registers that a majority promised: the register whose tail ends
   * last carries every entry that may be missing in logs.
   */
  void restore(final Iterable<RegisterState> registers) {
    tail.clear();
    tailBase = 0;
    tailDigest = AuditEntry.NO_DIGEST;
    lastSequence = 0;
    lastDigest = AuditEntry.NO_DIGEST;
    inFlight = null;
    Arrays.fill(loggedThrough, 0);
    RegisterState best = null;
    for (final RegisterState register : registers) {
      if (register.auditTail != null) {
        final AuditTail candidate = Serializer.deserialize(register.auditTail, AuditTail.class);
        final long reach = candidate.base + Protocol.emptyIfNull(candidate.entries).size();
        if (best == null || reach > lastSequence) {
          best = register;
          lastSequence = reach;
          tailBase = candidate.base;
          tailDigest = candidate.baseDigest == null ? AuditEntry.NO_DIGEST : candidate.baseDigest;
          tail.clear();
          tail.addAll(Protocol.emptyIfNull(candidate.entries));
        }
      }
    }
    for (final RegisterState register : registers) {
      if (register != best) {
        register.auditTail = null;
      }
    }
    lastDigest = tail.isEmpty() ? tailDigest : AuditEntry.digest(tail.peekLast());
    decidedSequence = 0;
    decidedDigest = AuditEntry.NO_DIGEST;
  }

  /**
   * Marks the restored tail as decided, since the restored registers are now on a majority of
   * disks; returns its entries.
   */
  List<byte[]> decideRestored() {
    decidedSequence = lastSequence;
    decidedDigest = lastDigest;
    return new ArrayList<>(tail);
  }

  /** Whether a change of this register has to wait for one of another register in flight. */
  boolean mustWait(final RegisterState register) {
    return inFlight != null && inFlight != register;
  }

  /** Appends an entry for the change that is about to be proposed. */
  void add(final AuditEntry.Draft draft) {
    final byte[] bytes = draft.encode(lastSequence + 1, lastDigest);
    tail.addLast(bytes);
    lastSequence++;
    lastDigest = AuditEntry.digest(bytes);
  }

  /**
   * Attaches the tail to a register that is about to be proposed, and marks its change as in
   * flight.
   */
  void propose(final RegisterState register) {
    inFlight = register;
    register.auditTail =
        Serializer.serialize(new AuditTail(tailBase, tailDigest, new ArrayList<>(tail)));
  }

  /** Returns the entries decided by a register's change that is on a majority of disks. */
  List<byte[]> commit(final RegisterState register) {
    if (inFlight != register) {
      return List.of();
    }
    inFlight = null;
    final List<byte[]> newlyDecided = new ArrayList<>();
    int skip = (int) (decidedSequence - tailBase);
    for (final byte[] entry : tail) {
      if (skip-- <= 0) {
        newlyDecided.add(entry);
      }
    }
    decidedSequence = lastSequence;
    decidedDigest = lastDigest;
    return newlyDecided;
  }

  /** Notes that a voter has the history on disk up to this entry. */
  void loggedThrough(final int voterIndex, final long through) {
    loggedThrough[voterIndex] = Math.max(loggedThrough[voterIndex], through);
  }

  /** Drops the decided entries of the tail that a majority of voters has in its logs. */
  void trimTail(final StateStoreMessages.Roster roster) {
    final long majorityThrough = majorityLogged(roster);
    while (!tail.isEmpty() && tailBase < majorityThrough && tailBase < decidedSequence) {
      tailDigest = AuditEntry.digest(tail.pollFirst());
      tailBase++;
    }
  }

  /** Drops the whole tail, whether or not a majority has it in its logs. */
  final void discardTail() {
    tailBase = lastSequence;
    tailDigest = lastDigest;
    tail.clear();
  }

  /** The last entry that the logs of a majority of voters have. */
  long majorityLogged(final StateStoreMessages.Roster roster) {
    return majorityLoggedWithout(roster, -1);
  }

  /** The last entry that a majority has without the voter at this index. */
  long majorityLoggedWithout(final StateStoreMessages.Roster roster, final int leavingIndex) {
    final long[] sorted = Arrays.copyOf(loggedThrough, roster.voters.size());
    if (leavingIndex >= 0) {
      sorted[leavingIndex] = 0;
    }
    Arrays.sort(sorted);
    return sorted.length == 0 ? 0 : sorted[sorted.length - roster.majority()];
  }

  /** The last entry before the tail, which a majority has in its logs. */
  long tailBase() {
    return tailBase;
  }

  /** The entry in the tail with which a configuration took this version; null if there is none. */
  AuditEntry entryForVersion(final long version) {
    for (final byte[] bytes : tail) {
      final AuditEntry entry = AuditEntry.read(bytes);
      if (entry.definesVersion() && entry.version == version) {
        return entry;
      }
    }
    return null;
  }

  /** The last decided entry. */
  long decidedSequence() {
    return decidedSequence;
  }

  /** The digest of the last decided entry. */
  String decidedDigest() {
    return decidedDigest;
  }

  /** Whether no change is in flight. */
  boolean isIdle() {
    return inFlight == null;
  }

  /**
   * The draft of the entry that records a change, not numbered yet; null if the operation changes
   * no routing.
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
                  .version(0, serial);
          case TRIAL_WRITE ->
              trial((TrialMessages.Trial) before, (TrialMessages.Trial) after).version(0, serial);
          default -> null;
        };
    if (draft == null) {
      return null;
    }
    final StoreMessages.ChangeOrigin origin = call.origin;
    return origin == null
        ? draft.origin(null, null, null, time)
        : draft.origin(origin.author, origin.callerAddress, origin.receivedBy, time);
  }

  private AuditEntry.Draft configuration(
      final StoredValues.StoredConfiguration before, final StoredValues.StoredConfiguration after) {
    final ConfigurationSummary previous = summary(before);
    final ConfigurationSummary next = summary(after);
    return new AuditEntry.Draft(ChangeKind.CONFIGURATION, "")
        .version(after.version, 0)
        .digests(previous.digest, next.digest)
        .contentDigest(after.contentDigest)
        .difference(
            new ConfigurationDifference(previous, next),
            Math.max(0, entryBytes - ENTRY_OVERHEAD_BYTES));
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

  private static ConfigurationSummary summary(
      final StoredValues.StoredConfiguration configuration) {
    return configuration == null || configuration.compressedSummary == null
        ? ConfigurationSummary.empty()
        : Serializer.deserialize(
            Compression.inflate(configuration.compressedSummary), ConfigurationSummary.class);
  }

  /** The first entry in a store that is older than its history. */
  AuditEntry.Draft upgradeEntry(
      final StoredValues.StoredConfiguration configuration, final String taker, final long time) {
    return new AuditEntry.Draft(ChangeKind.UPGRADE, "")
        .version(configuration == null ? 0 : configuration.version, 0)
        .origin(weldpoint.audit.Authors.SYSTEM, "", taker, time)
        .summary("the store is older than its history; what was changed before is not in it")
        .digests(
            "",
            configuration == null
                ? ""
                : AuditEntry.digest(Compression.inflate(configuration.compressedBody)))
        .contentDigest(configuration == null ? null : TakenVersions.contentDigest(configuration));
  }

  /** The entry with which all replicas trim the oldest ones. */
  AuditEntry.Draft retentionEntry(
      final long through, final String throughDigest, final String taker, final long time) {
    return new AuditEntry.Draft(ChangeKind.RETENTION, "")
        .origin(weldpoint.audit.Authors.SYSTEM, "", taker, time)
        .trimThrough(through, throughDigest)
        .summary("entries up to " + through + " are forgotten");
  }
}
