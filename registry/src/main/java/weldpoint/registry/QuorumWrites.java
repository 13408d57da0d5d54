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

/** Changes that are acknowledged once a majority of the exchanges' disks has them. */
class QuorumWrites {
  private static final long RESEND_MILLIS = 300;

  private static final class Quorum {
    final LongFunction<Message> message;
    final Set<String> kept = new HashSet<>();
    final CompletableFuture<Void> future = new CompletableFuture<>();
    final long deadline;
    long sentAt;

    Quorum(final LongFunction<Message> message, final long deadline, final long now) {
      this.message = message;
      this.deadline = deadline;
      this.sentAt = now;
    }
  }

  private final Map<Long, Quorum> quorums = new LinkedHashMap<>();
  private long number;

  /** The number of the change that was begun last. */
  long last() {
    return number;
  }

  /**
   * Sends a change under a new number, again and again until a majority has it or its time has run
   * out.
   */
  CompletableFuture<Void> begin(
      final LongFunction<Message> message,
      final Consumer<Message> everybody,
      final long deadline,
      final long now) {
    final long key = ++number;
    final Quorum quorum = new Quorum(message, deadline, now);
    quorums.put(key, quorum);
    everybody.accept(message.apply(key));
    return quorum.future;
  }

  /**
   * An exchange has the change of this number on disk. Counted are distinct voters of the roster in
   * force now, and, for a while after a change of roster, a majority of the one before besides.
   * What comes past the deadline counts for nothing, so that a disk that was wiped meanwhile has
   * had its learning time before anything counts on it.
   */
  void kept(
      final String from, final long key, final Roster roster, final Roster before, final long now) {
    final Quorum quorum = quorums.get(key);
    if (quorum == null || now >= quorum.deadline) {
      return;
    }
    quorum.kept.add(from);
    if (majority(quorum, roster) && (before == null || majority(quorum, before))) {
      quorums.remove(key);
      quorum.future.complete(null);
    }
  }

  private static boolean majority(final Quorum quorum, final Roster roster) {
    int count = 0;
    for (final Voter voter : roster.voters) {
      count += quorum.kept.contains(voter.address) ? 1 : 0;
    }
    return count >= roster.majority();
  }

  /** Time has passed. */
  void tick(final Consumer<Message> everybody, final long now) {
    for (final Map.Entry<Long, Quorum> entry : new ArrayList<>(quorums.entrySet())) {
      final Quorum quorum = entry.getValue();
      if (now >= quorum.deadline) {
        quorums.remove(entry.getKey());
        quorum.future.completeExceptionally(
            new WeldpointException(
                WeldpointException.Kind.OUT_OF_REACH,
                "no majority of disks has taken the change yet; send it to another daemon"));
      } else if (now - quorum.sentAt > RESEND_MILLIS) {
        quorum.sentAt = now;
        everybody.accept(quorum.message.apply(entry.getKey()));
      }
    }
  }
}
