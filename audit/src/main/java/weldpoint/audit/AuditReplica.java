package weldpoint.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import weldpoint.transport.AuditMessages;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;

/**
 * Replicates an audit log. Entries decided here are pushed to all peers at once; in addition, the
 * state of the log is sent to a random peer each second, and whichever of the two is behind gets
 * the missing entries. Not thread-safe; owned by one replica of the state store.
 */
public final class AuditReplica {
  private static final long RECONCILE_INTERVAL_MILLIS = 1000;
  private static final int MAX_BATCH_ENTRIES = 512;
  private static final int MAX_BATCH_BYTES = 128 << 10;

  private final AuditLog log;
  private final BiConsumer<String, Message> sender;
  private final Random random;
  private long lastReconcileMillis = Long.MIN_VALUE / 2;
  private long batchesReceived;
  private long requestsSent;

  /**
   * Creates a replica.
   *
   * @param sender sends a message to the peer with the given address
   * @param random chooses the peer to reconcile with
   */
  public AuditReplica(
      final AuditLog log, final BiConsumer<String, Message> sender, final Random random) {
    this.log = log;
    this.sender = sender;
    this.random = random;
  }

  /** The log that is replicated. */
  public AuditLog log() {
    return log;
  }

  /** Appends entries that were decided here, in order, and sends them to all peers. */
  public void replicate(final List<byte[]> entries, final Collection<String> peers) {
    for (final byte[] entry : entries) {
      log.offer(entry);
    }
    if (entries.isEmpty()) {
      return;
    }
    final AuditEntry first = AuditEntry.read(entries.get(0));
    final AuditEntry last = AuditEntry.read(entries.get(entries.size() - 1));
    final AuditMessages.AuditEntries batch =
        new AuditMessages.AuditEntries(
            first.sequence - 1, first.previousDigest, false, entries, last.sequence);
    for (final String peer : peers) {
      sender.accept(peer, batch);
    }
  }

  /**
   * Sends the state of the log to a random peer if a second has passed since the last time. To be
   * called regularly.
   */
  public void tick(final List<String> peers, final long nowMillis) {
    if (nowMillis - lastReconcileMillis < RECONCILE_INTERVAL_MILLIS || peers.isEmpty()) {
      return;
    }
    lastReconcileMillis = nowMillis;
    sender.accept(peers.get(random.nextInt(peers.size())), state());
  }

  private AuditMessages.AuditState state() {
    return new AuditMessages.AuditState(log.base(), log.last(), log.digest());
  }

  /** Requests all entries after the last one from a peer. */
  public void requestMissing(final String peer) {
    requestsSent++;
    sender.accept(peer, new AuditMessages.AuditRequest(log.last() + 1));
  }

  /** Handles a message from a peer; false if it is not a message about the audit log. */
  public boolean receive(final String from, final Message message, final Consumer<Message> reply) {
    if (message instanceof AuditMessages.AuditState) {
      onState(from, (AuditMessages.AuditState) message, reply);
    } else if (message instanceof AuditMessages.AuditRequest) {
      sendEntries(((AuditMessages.AuditRequest) message).from, reply);
    } else if (message instanceof AuditMessages.AuditEntries) {
      onEntries((AuditMessages.AuditEntries) message, reply);
    } else {
      return false;
    }
    return true;
  }

  private void onState(
      final String from, final AuditMessages.AuditState state, final Consumer<Message> reply) {
    final String localDigest = log.digestAt(state.last);
    if (localDigest != null && !localDigest.equals(state.digest)) {
      log.reportDivergence(from, state.last);
    } else if (state.last < log.last()) {
      sendEntries(state.last + 1, reply);
    } else if (state.last > log.last()) {
      requestsSent++;
      reply.accept(new AuditMessages.AuditRequest(log.last() + 1));
    }
  }

  private void sendEntries(final long from, final Consumer<Message> reply) {
    if (from > log.last()) {
      return;
    }
    final boolean trimmed = from <= log.base();
    final long start = Math.max(from, log.base() + 1);
    final List<byte[]> entries = new ArrayList<>();
    int bytes = 0;
    for (long sequence = start;
        sequence <= log.last() && entries.size() < MAX_BATCH_ENTRIES && bytes < MAX_BATCH_BYTES;
        sequence++) {
      final byte[] entry = log.read(sequence);
      if (entry == null) {
        break;
      }
      bytes += entry.length;
      entries.add(entry);
    }
    final String baseDigest = log.digestAt(start - 1);
    if (baseDigest == null || entries.isEmpty() && !trimmed) {
      return;
    }
    reply.accept(
        new AuditMessages.AuditEntries(start - 1, baseDigest, trimmed, entries, log.last()));
  }

  private void onEntries(final AuditMessages.AuditEntries batch, final Consumer<Message> reply) {
    batchesReceived++;
    if (batch.trimmed && batch.base > log.last()) {
      log.reset(batch.base, batch.baseDigest);
    }
    final long previousLast = log.last();
    for (final byte[] entry : Protocol.emptyIfNull(batch.entries)) {
      final AuditLog.Outcome outcome = log.offer(entry);
      if (outcome != AuditLog.Outcome.APPENDED && outcome != AuditLog.Outcome.KNOWN) {
        break;
      }
    }
    final boolean behind = log.last() < batch.last;
    if (behind && (log.last() > previousLast || batch.base > log.last())) {
      requestsSent++;
      reply.accept(new AuditMessages.AuditRequest(log.last() + 1));
    }
  }

  /** The counters of this replica as one line for the log. */
  public String counters() {
    return "history "
        + log.last()
        + " from "
        + (log.base() + 1)
        + " batches "
        + batchesReceived
        + " requests "
        + requestsSent
        + " conflicts "
        + log.conflicts()
        + " damaged "
        + log.damagedEntries();
  }
}
