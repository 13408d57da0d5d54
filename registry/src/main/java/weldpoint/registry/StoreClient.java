package weldpoint.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import weldpoint.common.WeldpointException;
import weldpoint.statestore.StateStoreReplica;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.StoreMessages;

/**
 * Sends calls to the state store: to the replica that holds the call's partition if it is known,
 * otherwise to the replica on this machine, which names the holder. A call may be resent: it
 * carries its identity, and how long ago a copy was sent that may have been executed, so that the
 * store executes nothing twice. A response counts only if it names this process, and comes from a
 * replica to which a copy is in flight on a connection that is still open.
 */
final class StoreClient {
  /** The delay before a call that no replica took is sent again. */
  private static final long RETRY_MILLIS = 30;

  /** After this time without a response, a call is sent again. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 400;

  /** Sends a call to a replica; false if there is no connection to it. */
  interface Sender {
    boolean send(String address, StoreMessages.StoreRequest call);
  }

  private static final class PendingCall {
    final StoreMessages.StoreRequest call;
    final int partition;
    final long deadline;
    final CompletableFuture<StoreMessages.StoreResponse> future = new CompletableFuture<>();
    final Map<String, Integer> copiesInFlight = new HashMap<>();
    boolean mayHaveExecuted;
    boolean copyLost;
    String target;
    long firstSentAt;
    long sentAt;
    long resendAt;
    int attempts;
    final long responseTimeoutMillis;
    final String pinnedReplica;

    PendingCall(
        final StoreMessages.StoreRequest call,
        final int partition,
        final long deadline,
        final long responseTimeoutMillis,
        final String pinnedReplica) {
      this.pinnedReplica = pinnedReplica;
      this.call = call;
      this.partition = partition;
      this.deadline = deadline;
      this.responseTimeoutMillis = responseTimeoutMillis;
    }
  }

  private final String self;
  private final Sender sender;
  private final Random random;
  private final Map<Long, PendingCall> pending = new HashMap<>();
  private final String[] knownHolders = new String[StateStoreReplica.PARTITIONS];
  private List<String> replicas = List.of();
  private final long caller;
  private long lastNumber;

  StoreClient(final String self, final Random random, final Sender sender) {
    this.self = self;
    this.random = random;
    this.sender = sender;
    this.caller = random.nextLong() | 1;
  }

  void replicas(final List<String> addresses) {
    replicas = addresses;
  }

  /** Calls the replica on this machine, whichever replica holds the partition. */
  CompletableFuture<StoreMessages.StoreResponse> callLocalReplica(
      final StoreOperation operation,
      final long first,
      final long second,
      final long now,
      final long timeout) {
    final StoreMessages.StoreRequest request =
        new StoreMessages.StoreRequest(
                ++lastNumber, operation.ordinal(), "", null, first, second, null)
            .withCaller(caller);
    final PendingCall pendingCall =
        new PendingCall(request, 0, now + timeout, RESPONSE_TIMEOUT_MILLIS, self);
    pending.put(request.number, pendingCall);
    send(pendingCall, now);
    return pendingCall.future;
  }

  CompletableFuture<StoreMessages.StoreResponse> call(
      final StoreOperation operation,
      final String name,
      final String owner,
      final long first,
      final long second,
      final byte[] body,
      final StoreMessages.ChangeOrigin origin,
      final long now,
      final long timeout) {
    return call(operation, name, owner, first, second, body, origin, null, now, timeout);
  }

  CompletableFuture<StoreMessages.StoreResponse> call(
      final StoreOperation operation,
      final String name,
      final String owner,
      final long first,
      final long second,
      final byte[] body,
      final StoreMessages.ChangeOrigin origin,
      final byte[] content,
      final long now,
      final long timeout) {
    final StoreMessages.StoreRequest request =
        new StoreMessages.StoreRequest(
                ++lastNumber,
                operation.ordinal(),
                name,
                owner,
                first,
                second,
                body,
                origin,
                content)
            .withCaller(caller);
    final long responseTimeoutMillis =
        operation == StoreOperation.WATCH
            ? second + RESPONSE_TIMEOUT_MILLIS
            : operation == StoreOperation.CONTROL
                ? 700 + RESPONSE_TIMEOUT_MILLIS
                : RESPONSE_TIMEOUT_MILLIS;
    final PendingCall pendingCall =
        new PendingCall(
            request,
            StateStoreReplica.partitionOf(operation.register(name)),
            now + timeout,
            responseTimeoutMillis,
            null);
    pending.put(request.number, pendingCall);
    send(pendingCall, now);
    return pendingCall.future;
  }

  private void send(final PendingCall pendingCall, final long now) {
    pendingCall.attempts++;
    pendingCall.sentAt = now;
    pendingCall.resendAt = 0;
    if (pendingCall.pinnedReplica != null) {
      pendingCall.target =
          trySend(pendingCall, pendingCall.pinnedReplica, now) ? pendingCall.pinnedReplica : null;
      pendingCall.resendAt = pendingCall.target == null ? now + RETRY_MILLIS : 0;
      return;
    }
    final String hint = knownHolders[pendingCall.partition];
    if (hint != null && trySend(pendingCall, hint, now)) {
      pendingCall.target = hint;
      return;
    }
    if (pendingCall.attempts % 2 == 1 && trySend(pendingCall, self, now)) {
      pendingCall.target = self;
      return;
    }
    final List<String> others = new ArrayList<>(replicas);
    java.util.Collections.shuffle(others, random);
    for (final String other : others) {
      if (trySend(pendingCall, other, now)) {
        pendingCall.target = other;
        return;
      }
    }
    pendingCall.target = null;
    pendingCall.resendAt = now + RETRY_MILLIS;
  }

  private boolean trySend(final PendingCall pendingCall, final String to, final long now) {
    final boolean resend = pendingCall.mayHaveExecuted;
    pendingCall.copiesInFlight.merge(to, 1, Integer::sum);
    pendingCall.firstSentAt = resend ? pendingCall.firstSentAt : now;
    pendingCall.mayHaveExecuted = true;
    if (sender.send(
        to,
        resend
            ? pendingCall.call.withAge(Math.max(1, now - pendingCall.firstSentAt), now)
            : pendingCall.call)) {
      return true;
    }
    pendingCall.mayHaveExecuted = resend;
    forgetCopy(pendingCall, to);
    return false;
  }

  /** Forgets a copy that was not sent, or that its replica reports as not executed. */
  private static void forgetCopy(final PendingCall pendingCall, final String to) {
    pendingCall.copiesInFlight.computeIfPresent(
        to, (address, count) -> count == 1 ? null : count - 1);
    pendingCall.mayHaveExecuted &= pendingCall.copyLost || !pendingCall.copiesInFlight.isEmpty();
  }

  void onResponse(final String from, final StoreMessages.StoreResponse response, final long now) {
    final PendingCall pendingCall =
        response.callerIncarnation == caller ? pending.get(response.number) : null;
    if (pendingCall == null || !pendingCall.copiesInFlight.containsKey(from)) {
      return;
    }
    if (response.status == 0) {
      forgetCopy(pendingCall, from);
      if (!from.equals(pendingCall.target)) {
        return;
      }
      if (response.holder != null && !response.holder.equals(from)) {
        knownHolders[pendingCall.partition] = response.holder;
        if (pendingCall.attempts < 4) {
          send(pendingCall, now);
          return;
        }
      } else if (from.equals(knownHolders[pendingCall.partition])) {
        knownHolders[pendingCall.partition] = null;
      }
      pendingCall.target = null;
      pendingCall.resendAt = now + RETRY_MILLIS + random.nextInt(20);
      pendingCall.attempts = Math.min(pendingCall.attempts, 2);
      return;
    }
    if (response.status != 504 && pendingCall.pinnedReplica == null) {
      knownHolders[pendingCall.partition] = from;
    }
    pending.remove(response.number);
    pendingCall.future.complete(response);
  }

  void onDisconnected(final String address, final long now) {
    for (int index = 0; index < knownHolders.length; index++) {
      if (address.equals(knownHolders[index])) {
        knownHolders[index] = null;
      }
    }
    for (final PendingCall pendingCall : pending.values()) {
      pendingCall.copyLost |= pendingCall.copiesInFlight.remove(address) != null;
      if (address.equals(pendingCall.target)) {
        pendingCall.target = null;
        pendingCall.resendAt = now + RETRY_MILLIS;
      }
    }
  }

  void tick(final long now) {
    if (pending.isEmpty()) {
      return;
    }
    for (final PendingCall pendingCall : new ArrayList<>(pending.values())) {
      if (now >= pendingCall.deadline) {
        pending.remove(pendingCall.call.number);
        pendingCall.future.completeExceptionally(
            new WeldpointException(
                WeldpointException.Kind.OUT_OF_REACH,
                "the holder of the partition did not answer in time; retry elsewhere"));
      } else if (pendingCall.resendAt != 0 && now >= pendingCall.resendAt) {
        send(pendingCall, now);
      } else if (pendingCall.target != null
          && now - pendingCall.sentAt > pendingCall.responseTimeoutMillis) {
        if (pendingCall.target.equals(knownHolders[pendingCall.partition])) {
          knownHolders[pendingCall.partition] = null;
        }
        send(pendingCall, now);
      }
    }
  }
}
