package weldpoint.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import weldpoint.common.WeldpointException;
import weldpoint.transport.Message;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/** Changes that are acknowledged once a majority of registries has them on disk. */
class QuorumWrites {
  private static final long RESEND_MILLIS = 300;

  private static final class PendingWrite {
    final LongFunction<Message> message;
    final Set<String> ackedBy = new HashSet<>();
    final CompletableFuture<Void> future = new CompletableFuture<>();
    final long deadline;
    long sentAt;

    PendingWrite(final LongFunction<Message> message, final long deadline, final long now) {
      this.message = message;
      this.deadline = deadline;
      this.sentAt = now;
    }
  }

  private final Map<Long, PendingWrite> pending = new LinkedHashMap<>();
  private long lastNumber;

  /** The number of the last change begun. */
  long lastNumber() {
    return lastNumber;
  }

  /**
   * Sends a change under a new number and resends it until a majority has it or the deadline has
   * passed.
   */
  CompletableFuture<Void> begin(
      final LongFunction<Message> message,
      final Consumer<Message> sendToMembers,
      final long deadline,
      final long now) {
    final long changeNumber = ++lastNumber;
    final PendingWrite write = new PendingWrite(message, deadline, now);
    pending.put(changeNumber, write);
    sendToMembers.accept(message.apply(changeNumber));
    return write.future;
  }

  /**
   * Records that a registry has the change of this number on disk. Distinct voters of the current
   * roster are counted; for a while after a change of roster, a majority of the previous roster is
   * required as well. Acknowledgements after the deadline do not count, so that a registry whose
   * disk was wiped in the meantime has finished its minimum bootstrap time before its
   * acknowledgements count.
   */
  void acknowledged(
      final String from,
      final long changeNumber,
      final Roster roster,
      final Roster previousRoster,
      final long now) {
    final PendingWrite write = pending.get(changeNumber);
    if (write == null || now >= write.deadline) {
      return;
    }
    write.ackedBy.add(from);
    if (hasMajority(write, roster)
        && (previousRoster == null || hasMajority(write, previousRoster))) {
      pending.remove(changeNumber);
      write.future.complete(null);
    }
  }

  private static boolean hasMajority(final PendingWrite write, final Roster roster) {
    int count = 0;
    for (final Voter voter : roster.voters) {
      count += write.ackedBy.contains(voter.address) ? 1 : 0;
    }
    return count >= roster.majority();
  }

  /** Fails the writes whose deadline has passed and resends the others. */
  void tick(final Consumer<Message> sendToMembers, final long now) {
    for (final Map.Entry<Long, PendingWrite> entry : new ArrayList<>(pending.entrySet())) {
      final PendingWrite write = entry.getValue();
      if (now >= write.deadline) {
        pending.remove(entry.getKey());
        write.future.completeExceptionally(
            new WeldpointException(
                WeldpointException.Kind.OUT_OF_REACH,
                "no majority of registries has the change on disk yet; retry at another daemon"));
      } else if (now - write.sentAt > RESEND_MILLIS) {
        write.sentAt = now;
        sendToMembers.accept(write.message.apply(entry.getKey()));
      }
    }
  }
}
