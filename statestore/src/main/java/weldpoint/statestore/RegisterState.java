package weldpoint.statestore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.StoreMessages.StoreRequest;
import weldpoint.transport.StoreMessages.StoreResponse;

/** The leader's state of one register: its values, acknowledgements and queued requests. */
final class RegisterState {
  static final class PendingRequest {
    final StoreRequest call;
    final StoreOperation operation;
    final Consumer<StoreResponse> reply;
    final long receivedAt;

    PendingRequest(
        final StoreRequest call,
        final StoreOperation operation,
        final Consumer<StoreResponse> reply,
        final long receivedAt) {
      this.call = call;
      this.operation = operation;
      this.reply = reply;
      this.receivedAt = receivedAt;
    }
  }

  static final class Proposal {
    final PendingRequest pending;
    final Decision decision;

    Proposal(final PendingRequest pending, final Decision decision) {
      this.pending = pending;
      this.decision = decision;
    }
  }

  /** When a lock that is held for a time from now expires; the end of time if that overflows. */
  static long lockExpiry(final long now, final long holdMillis) {
    return holdMillis > Long.MAX_VALUE - now ? Long.MAX_VALUE : now + holdMillis;
  }

  final String name;
  final StoredValues.Kind kind;
  final long historyRetentionMillis;
  RegisterVersion version = RegisterVersion.NONE;
  RegisterVersion promisedVersion = RegisterVersion.NONE;
  RegisterVersion establishedVersion = RegisterVersion.NONE;
  Object proposed;
  Object committed;
  byte[] auditTail;
  boolean inFlight;
  final long[] ackedCounts = new long[64];
  final long[] sentCounts = new long[64];
  final long[] sentAt = new long[64];
  final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
  final List<Proposal> awaitingCommit = new ArrayList<>();
  final List<PendingRequest> parkedWatches = new ArrayList<>();
  final ArrayDeque<long[]> putTimes = new ArrayDeque<>();
  long expiresAt;
  long ticketCount;
  final long ballotRound;
  final TakenVersions takenVersions;

  RegisterState(
      final String name,
      final long historyRetentionMillis,
      final long ballotRound,
      final TakenVersions takenVersions) {
    this.takenVersions = takenVersions;
    this.ballotRound = ballotRound;
    this.name = name;
    this.kind = StoredValues.Kind.of(name);
    this.historyRetentionMillis = historyRetentionMillis;
  }

  long ticket() {
    return (ballotRound << 24) + ticketCount;
  }

  long historyFloor(final long now) {
    long floor = 0;
    while (!putTimes.isEmpty() && putTimes.peekFirst()[1] < now - historyRetentionMillis) {
      floor = putTimes.pollFirst()[0];
    }
    return Math.max(floor, committed == null ? 0 : ((StoredValues.CellGroup) committed).floor);
  }
}
