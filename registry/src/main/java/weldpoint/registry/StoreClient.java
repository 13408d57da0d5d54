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
 * Carries calls to the frames: to the holder of the duty where it is known, otherwise to the frame
 * of the own machine, which names it. A call may be sent again: it carries its identity, and how
 * long ago a copy was sent that may have been carried out, so that the store does nothing twice. An
 * answer counts only if it names this life, and comes from a frame to which a copy is under way on
 * the line that there still is.
 */
final class StoreClient {
  private static final long RETRY_MILLIS = 30;
  private static final long SILENCE_MILLIS = 400;

  /** Sends a call to a frame; false where there is no line to it. */
  interface Sender {
    boolean send(String address, StoreMessages.StoreRequest call);
  }

  private static final class Pending {
    final StoreMessages.StoreRequest call;
    final int partition;
    final long cutoff;
    final CompletableFuture<StoreMessages.StoreResponse> future = new CompletableFuture<>();
    final Map<String, Integer> copies = new HashMap<>();
    boolean doubtful;
    boolean copyLost;
    String at;
    long firstSentAt;
    long sentAt;
    long resendAt;
    int tries;
    final long patience;
    final String pinned;

    Pending(
        final StoreMessages.StoreRequest call,
        final int partition,
        final long cutoff,
        final long patience,
        final String pinned) {
      this.pinned = pinned;
      this.call = call;
      this.partition = partition;
      this.cutoff = cutoff;
      this.patience = patience;
    }
  }

  private final String self;
  private final Sender sender;
  private final Random random;
  private final Map<Long, Pending> pending = new HashMap<>();
  private final String[] holders = new String[StateStoreReplica.PARTITIONS];
  private List<String> frames = List.of();
  private final long caller;
  private long number;

  StoreClient(final String self, final Random random, final Sender sender) {
    this.self = self;
    this.random = random;
    this.sender = sender;
    this.caller = random.nextLong() | 1;
  }

  void frames(final List<String> addresses) {
    frames = addresses;
  }

  /** Calls the frame of this very machine, whoever holds the duty. */
  CompletableFuture<StoreMessages.StoreResponse> here(
      final StoreOperation operation,
      final long first,
      final long second,
      final long now,
      final long timeout) {
    final StoreMessages.StoreRequest call =
        new StoreMessages.StoreRequest(++number, operation.ordinal(), "", null, first, second, null)
            .withCaller(caller);
    final Pending one = new Pending(call, 0, now + timeout, SILENCE_MILLIS, self);
    pending.put(call.number, one);
    send(one, now);
    return one.future;
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
    final StoreMessages.StoreRequest call =
        new StoreMessages.StoreRequest(
                ++number, operation.ordinal(), name, owner, first, second, body, origin, content)
            .withCaller(caller);
    final long patience =
        operation == StoreOperation.WATCH
            ? second + SILENCE_MILLIS
            : operation == StoreOperation.CONTROL ? 700 + SILENCE_MILLIS : SILENCE_MILLIS;
    final Pending one =
        new Pending(
            call,
            StateStoreReplica.partition(operation.register(name)),
            now + timeout,
            patience,
            null);
    pending.put(call.number, one);
    send(one, now);
    return one.future;
  }

  private void send(final Pending one, final long now) {
    one.tries++;
    one.sentAt = now;
    one.resendAt = 0;
    if (one.pinned != null) {
      one.at = sent(one, one.pinned, now) ? one.pinned : null;
      one.resendAt = one.at == null ? now + RETRY_MILLIS : 0;
      return;
    }
    final String hint = holders[one.partition];
    if (hint != null && sent(one, hint, now)) {
      one.at = hint;
      return;
    }
    if (one.tries % 2 == 1 && sent(one, self, now)) {
      one.at = self;
      return;
    }
    final List<String> others = new ArrayList<>(frames);
    java.util.Collections.shuffle(others, random);
    for (final String other : others) {
      if (sent(one, other, now)) {
        one.at = other;
        return;
      }
    }
    one.at = null;
    one.resendAt = now + RETRY_MILLIS;
  }

  private boolean sent(final Pending one, final String to, final long now) {
    final boolean again = one.doubtful;
    one.copies.merge(to, 1, Integer::sum);
    one.firstSentAt = again ? one.firstSentAt : now;
    one.doubtful = true;
    if (sender.send(
        to, again ? one.call.withAge(Math.max(1, now - one.firstSentAt), now) : one.call)) {
      return true;
    }
    one.doubtful = again;
    forget(one, to);
    return false;
  }

  /** A copy was not sent, or its frame says that it did nothing for it. */
  private static void forget(final Pending one, final String to) {
    one.copies.computeIfPresent(to, (address, count) -> count == 1 ? null : count - 1);
    one.doubtful &= one.copyLost || !one.copies.isEmpty();
  }

  void answered(final String from, final StoreMessages.StoreResponse answer, final long now) {
    final Pending one = answer.callerIncarnation == caller ? pending.get(answer.number) : null;
    if (one == null || !one.copies.containsKey(from)) {
      return;
    }
    if (answer.status == 0) {
      forget(one, from);
      if (!from.equals(one.at)) {
        return;
      }
      if (answer.holder != null && !answer.holder.equals(from)) {
        holders[one.partition] = answer.holder;
        if (one.tries < 4) {
          send(one, now);
          return;
        }
      } else if (from.equals(holders[one.partition])) {
        holders[one.partition] = null;
      }
      one.at = null;
      one.resendAt = now + RETRY_MILLIS + random.nextInt(20);
      one.tries = Math.min(one.tries, 2);
      return;
    }
    if (answer.status != 504 && one.pinned == null) {
      holders[one.partition] = from;
    }
    pending.remove(answer.number);
    one.future.complete(answer);
  }

  void closed(final String address, final long now) {
    for (int index = 0; index < holders.length; index++) {
      if (address.equals(holders[index])) {
        holders[index] = null;
      }
    }
    for (final Pending one : pending.values()) {
      one.copyLost |= one.copies.remove(address) != null;
      if (address.equals(one.at)) {
        one.at = null;
        one.resendAt = now + RETRY_MILLIS;
      }
    }
  }

  void tick(final long now) {
    if (pending.isEmpty()) {
      return;
    }
    for (final Pending one : new ArrayList<>(pending.values())) {
      if (now >= one.cutoff) {
        pending.remove(one.call.number);
        one.future.completeExceptionally(
            new WeldpointException(
                WeldpointException.Kind.OUT_OF_REACH,
                "no frame that holds the duty answered in time; ask another daemon"));
      } else if (one.resendAt != 0 && now >= one.resendAt) {
        send(one, now);
      } else if (one.at != null && now - one.sentAt > one.patience) {
        if (one.at.equals(holders[one.partition])) {
          holders[one.partition] = null;
        }
        send(one, now);
      }
    }
  }
}
