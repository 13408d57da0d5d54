package weldpoint.statestore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.StoreMessages.StoreRequest;
import weldpoint.transport.StoreMessages.StoreResponse;

/** A register as the holder of its duty sees it. */
final class RegisterState {
  static final class Work {
    final StoreRequest call;
    final StoreOperation operation;
    final Consumer<StoreResponse> reply;
    final long receivedAt;

    Work(
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
    final Work work;
    final Decision decision;

    Proposal(final Work work, final Decision decision) {
      this.work = work;
      this.decision = decision;
    }
  }

  final String name;
  final StoredValues.Kind kind;
  final long keepMillis;
  RegisterVersion mark = RegisterVersion.NONE;
  RegisterVersion source = RegisterVersion.NONE;
  RegisterVersion establishedMark = RegisterVersion.NONE;
  Object proposed;
  Object committed;
  byte[] audit;
  boolean inFlight;
  final long[] acked = new long[64];
  final long[] sent = new long[64];
  final long[] sentAt = new long[64];
  final ArrayDeque<Work> waiting = new ArrayDeque<>();
  final List<Proposal> uponCommit = new ArrayList<>();
  final List<Work> parked = new ArrayList<>();
  final ArrayDeque<long[]> putTimes = new ArrayDeque<>();
  long expiresAt;
  long grants;
  final long ballotRound;
  final TakenVersions versions;

  RegisterState(
      final String name,
      final long keepMillis,
      final long ballotRound,
      final TakenVersions versions) {
    this.versions = versions;
    this.ballotRound = ballotRound;
    this.name = name;
    this.kind = StoredValues.Kind.of(name);
    this.keepMillis = keepMillis;
  }

  long ticket() {
    return (ballotRound << 24) + grants;
  }

  long floor(final long now) {
    long floor = 0;
    while (!putTimes.isEmpty() && putTimes.peekFirst()[1] < now - keepMillis) {
      floor = putTimes.pollFirst()[0];
    }
    return Math.max(floor, committed == null ? 0 : ((StoredValues.CellGroup) committed).floor);
  }
}
