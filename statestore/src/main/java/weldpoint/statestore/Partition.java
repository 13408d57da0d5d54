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
 * One partition as this daemon sees it: what it has promised and stored, and, where it holds the
 * duty, how that stands.
 */
final class Partition {
  /** How far this daemon is with the duty. */
  enum Phase {
    IDLE,
    CANVASSING,
    PREPARING,
    ESTABLISHING,
    SERVING
  }

  /** A register's value under its mark, with the entries of the history that travel with it. */
  static final class StoredRegister {
    final RegisterVersion mark;
    final Object value;
    final byte[] audit;

    StoredRegister(final RegisterVersion mark, final Object value, final byte[] audit) {
      this.mark = mark;
      this.value = value;
      this.audit = audit;
    }
  }

  /**
   * How the holder brings a voter up to date: when it last answered a pulse, when it was last sent
   * something, and how long to wait for that to be acknowledged.
   */
  static final class Repair {
    long heardAt = Long.MIN_VALUE / 4;
    long sentAt = Long.MIN_VALUE / 2;
    long pause;
  }

  /** Work that waits until a majority has confirmed the ballot. */
  static final class Waiter {
    final long needed;
    final long receivedAt;
    final RegisterState.Work work;
    final Runnable then;

    Waiter(
        final long needed,
        final long receivedAt,
        final RegisterState.Work work,
        final Runnable then) {
      this.needed = needed;
      this.receivedAt = receivedAt;
      this.work = work;
      this.then = then;
    }
  }

  final int number;
  RegisterVersion promised = RegisterVersion.NONE;
  RegisterVersion established = RegisterVersion.NONE;
  final Map<String, StoredRegister> stored = new HashMap<>();
  long vacateAt;
  String holder;
  Phase phase = Phase.IDLE;
  RegisterVersion ballot = RegisterVersion.NONE;
  long count;
  long startedAt;
  long preparedAt;
  long servedAt;
  final RecentCalls recent = new RecentCalls();
  StateStoreMessages.Promise[] promises = new StateStoreMessages.Promise[0];
  List<Long> counted = List.of();
  boolean[] establishAcked = new boolean[0];
  long[] establishSentAt = new long[0];
  boolean[] establishSent = new boolean[0];
  Repair[] repairs = new Repair[0];
  Map<String, RegisterState> held = new LinkedHashMap<>();
  long pulseCount;
  long pulsedAt;
  boolean confirmOut;
  long[] pulsed = new long[0];
  final List<Waiter> waiters = new ArrayList<>();
  long betterSince;
  long heardAt = Long.MIN_VALUE / 2;
  long canvass;
  long canvassedAt;
  boolean[] agreed = new boolean[0];

  Partition(final int number) {
    this.number = number;
  }

  /** All that is stored, as it travels. */
  List<RegisterEntry> entries() {
    final List<RegisterEntry> entries = new ArrayList<>(stored.size());
    stored.forEach(
        (name, one) ->
            entries.add(
                new RegisterEntry(
                    name,
                    one.mark,
                    RegisterVersion.NONE,
                    null,
                    StoredValues.Kind.of(name).encode(one.value),
                    one.audit)));
    return entries;
  }

  /** All that is stored, as records for the disk of about so many bytes each. */
  List<byte[]> records(final int type, final int bytes) {
    final List<byte[]> records = new ArrayList<>();
    final List<RegisterEntry> some = new ArrayList<>();
    int size = 0;
    for (final Map.Entry<String, StoredRegister> one : stored.entrySet()) {
      final byte[] whole = StoredValues.Kind.of(one.getKey()).encode(one.getValue().value);
      if (!some.isEmpty() && size + whole.length > bytes) {
        records.add(
            Serializer.serialize(
                new StoredValues.DiskRecord(
                    type, number, RegisterVersion.NONE, some, null, null, 0)));
        some.clear();
        size = 0;
      }
      some.add(
          new RegisterEntry(
              one.getKey(),
              one.getValue().mark,
              RegisterVersion.NONE,
              null,
              whole,
              one.getValue().audit));
      size += whole.length;
    }
    if (!some.isEmpty()) {
      records.add(
          Serializer.serialize(
              new StoredValues.DiskRecord(
                  type, number, RegisterVersion.NONE, some, null, null, 0)));
    }
    return records;
  }

  /**
   * Stores what was accepted under a ballot; entries whose base is not here are added to those
   * lacking.
   */
  void store(
      final RegisterVersion given,
      final boolean establish,
      final List<RegisterEntry> entries,
      final List<RegisterEntry> lacking) {
    if (given.compareTo(promised) > 0) {
      promised = given.ballot();
    }
    if (establish && !established.sameBallot(given) && given.compareTo(established) > 0) {
      stored.values().removeIf(one -> one.mark.compareTo(given.ballot()) < 0);
      established = given.ballot();
    }
    for (final RegisterEntry entry : entries) {
      final StoredRegister before = stored.get(entry.name);
      if (before != null && before.mark.compareTo(entry.version) >= 0) {
        continue;
      }
      final StoredValues.Kind kind = StoredValues.Kind.of(entry.name);
      if (entry.fullValue != null) {
        stored.put(
            entry.name,
            new StoredRegister(entry.version, kind.decode(entry.fullValue), entry.auditEntry));
      } else if (entry.delta != null
          && (before == null ? RegisterVersion.NONE : before.mark).equals(entry.baseVersion)) {
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
        lacking.add(entry);
      }
    }
  }
}
