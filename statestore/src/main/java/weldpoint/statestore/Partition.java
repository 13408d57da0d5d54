package weldpoint.statestore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StateStoreMessages.RegisterEntry;

/**
 * One partition on this replica: the promised ballot and the stored registers, and, if this replica
 * leads the partition or tries to, the state of that.
 */
final class Partition {
  /** How far this replica is in becoming the partition's leader. */
  enum Phase {
    IDLE,
    PRE_VOTING,
    PREPARING,
    ESTABLISHING,
    SERVING
  }

  /** A register's value and version, with the history entries that are replicated with it. */
  static final class StoredRegister {
    final RegisterVersion version;
    final Object value;
    final byte[] auditTail;

    StoredRegister(final RegisterVersion version, final Object value, final byte[] auditTail) {
      this.version = version;
      this.value = value;
      this.auditTail = auditTail;
    }
  }

  /**
   * The leader's repair of one voter: when it last answered a heartbeat, when it was last sent
   * registers, and how long to wait for their acknowledgement.
   */
  static final class Repair {
    long lastAckAt = Long.MIN_VALUE / 4;
    long sentAt = Long.MIN_VALUE / 2;
    long backoffMillis;
  }

  /** A request that waits until a majority has confirmed the leader's ballot. */
  static final class ConfirmationWaiter {
    final long heartbeatNumber;
    final long receivedAt;
    final RegisterState.PendingRequest pending;
    final Runnable onConfirmed;

    ConfirmationWaiter(
        final long heartbeatNumber,
        final long receivedAt,
        final RegisterState.PendingRequest pending,
        final Runnable onConfirmed) {
      this.heartbeatNumber = heartbeatNumber;
      this.receivedAt = receivedAt;
      this.pending = pending;
      this.onConfirmed = onConfirmed;
    }
  }

  final int number;
  RegisterVersion promised = RegisterVersion.NONE;
  RegisterVersion established = RegisterVersion.NONE;
  final Map<String, StoredRegister> stored = new HashMap<>();
  long electionDueAt;
  String leader;
  Phase phase = Phase.IDLE;
  RegisterVersion ballot = RegisterVersion.NONE;
  long versionCount;
  long phaseStartedAt;
  long prepareSentAt;
  long servingSince;
  final RecentCalls recentCalls = new RecentCalls();
  StateStoreMessages.Promise[] promises = new StateStoreMessages.Promise[0];
  List<Long> countedIncarnations = List.of();
  boolean[] establishmentAcked = new boolean[0];
  long[] establishmentSentAt = new long[0];
  boolean[] establishmentSent = new boolean[0];
  Repair[] repairs = new Repair[0];
  Map<String, RegisterState> registers = new LinkedHashMap<>();
  long heartbeatCount;
  long heartbeatSentAt;
  boolean confirmationInFlight;
  long[] heartbeatAcked = new long[0];
  final List<ConfirmationWaiter> waiters = new ArrayList<>();
  long preferredRegionReadySince;
  long leaderHeardAt = Long.MIN_VALUE / 2;
  long preVoteNumber;
  long preVoteStartedAt;
  boolean[] preVotesGranted = new boolean[0];

  Partition(final int number) {
    this.number = number;
  }

  /** All stored registers as message entries. */
  List<RegisterEntry> entries() {
    final List<RegisterEntry> entries = new ArrayList<>(stored.size());
    stored.forEach(
        (name, register) ->
            entries.add(
                new RegisterEntry(
                    name,
                    register.version,
                    RegisterVersion.NONE,
                    null,
                    StoredValues.Kind.of(name).encode(register.value),
                    register.auditTail)));
    return entries;
  }

  /** All stored registers as disk records of about this many bytes each. */
  List<byte[]> records(final int type, final int bytes) {
    final List<byte[]> records = new ArrayList<>();
    final List<RegisterEntry> batch = new ArrayList<>();
    int size = 0;
    for (final Map.Entry<String, StoredRegister> register : stored.entrySet()) {
      final byte[] encoded =
          StoredValues.Kind.of(register.getKey()).encode(register.getValue().value);
      if (!batch.isEmpty() && size + encoded.length > bytes) {
        records.add(
            Serializer.serialize(
                new StoredValues.DiskRecord(
                    type, number, RegisterVersion.NONE, batch, null, null, 0)));
        batch.clear();
        size = 0;
      }
      batch.add(
          new RegisterEntry(
              register.getKey(),
              register.getValue().version,
              RegisterVersion.NONE,
              null,
              encoded,
              register.getValue().auditTail));
      size += encoded.length;
    }
    if (!batch.isEmpty()) {
      records.add(
          Serializer.serialize(
              new StoredValues.DiskRecord(
                  type, number, RegisterVersion.NONE, batch, null, null, 0)));
    }
    return records;
  }

  /**
   * Stores entries accepted under a ballot; an entry whose base version is not stored here is added
   * to {@code missing} instead.
   */
  void store(
      final RegisterVersion acceptedBallot,
      final boolean establish,
      final List<RegisterEntry> entries,
      final List<RegisterEntry> missing) {
    if (acceptedBallot.compareTo(promised) > 0) {
      promised = acceptedBallot.ballot();
    }
    if (establish
        && !established.sameBallot(acceptedBallot)
        && acceptedBallot.compareTo(established) > 0) {
      stored.values().removeIf(register -> register.version.compareTo(acceptedBallot.ballot()) < 0);
      established = acceptedBallot.ballot();
    }
    for (final RegisterEntry entry : entries) {
      final StoredRegister before = stored.get(entry.name);
      if (before != null && before.version.compareTo(entry.version) >= 0) {
        continue;
      }
      final StoredValues.Kind kind = StoredValues.Kind.of(entry.name);
      if (entry.fullValue != null) {
        stored.put(
            entry.name,
            new StoredRegister(entry.version, kind.decode(entry.fullValue), entry.auditEntry));
      } else if (entry.delta != null
          && (before == null ? RegisterVersion.NONE : before.version).equals(entry.baseVersion)) {
        final boolean unchanged = before != null && entry.delta != null && entry.delta.length == 0;
        stored.put(
            entry.name,
            new StoredRegister(
                entry.version,
                unchanged
                    ? before.value
                    : kind.apply(before == null ? null : before.value, entry.delta),
                entry.auditEntry));
      } else {
        missing.add(entry);
      }
    }
  }
}
