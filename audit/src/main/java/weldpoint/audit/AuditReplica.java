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
 * Keeps one replica's log alike with the others': what is decided is pushed at once, and a random
 * peer is asked each second.
 */
public final class AuditReplica {
  private static final long RECONCILE_MILLIS = 1000;
  private static final int MOST_ENTRIES = 512;
  private static final int MOST_BYTES = 128 << 10;

  private final AuditLog log;
  private final BiConsumer<String, Message> outlet;
  private final Random random;
  private long reconciledAt = Long.MIN_VALUE / 2;
  private long parts;
  private long asks;

  /** A replica over its log, that sends to peers by their addresses. */
  public AuditReplica(
      final AuditLog log, final BiConsumer<String, Message> outlet, final Random random) {
    this.log = log;
    this.outlet = outlet;
    this.random = random;
  }

  /** The log. */
  public AuditLog log() {
    return log;
  }

  /** Entries were decided here: takes them and tells all others. */
  public void decided(final List<byte[]> entries, final Collection<String> others) {
    for (final byte[] entry : entries) {
      log.offer(entry);
    }
    if (entries.isEmpty()) {
      return;
    }
    final AuditEntry first = AuditEntry.read(entries.get(0));
    final AuditEntry last = AuditEntry.read(entries.get(entries.size() - 1));
    final AuditMessages.AuditEntries part =
        new AuditMessages.AuditEntries(
            first.sequence - 1, first.previous, false, entries, last.sequence);
    for (final String other : others) {
      outlet.accept(other, part);
    }
  }

  /** Time has passed. */
  public void tick(final List<String> others, final long now) {
    if (now - reconciledAt < RECONCILE_MILLIS || others.isEmpty()) {
      return;
    }
    reconciledAt = now;
    outlet.accept(others.get(random.nextInt(others.size())), state());
  }

  private AuditMessages.AuditState state() {
    return new AuditMessages.AuditState(log.base(), log.last(), log.digest());
  }

  /** Asks one peer now for all that is missing here. */
  public void ask(final String peer) {
    asks++;
    outlet.accept(peer, new AuditMessages.AuditRequest(log.last() + 1));
  }

  /** A peer has said something; false where it does not concern the history. */
  public boolean receive(final String from, final Message message, final Consumer<Message> reply) {
    if (message instanceof AuditMessages.AuditState) {
      onState(from, (AuditMessages.AuditState) message, reply);
    } else if (message instanceof AuditMessages.AuditRequest) {
      give(((AuditMessages.AuditRequest) message).from, reply);
    } else if (message instanceof AuditMessages.AuditEntries) {
      onPart((AuditMessages.AuditEntries) message, reply);
    } else {
      return false;
    }
    return true;
  }

  private void onState(
      final String from, final AuditMessages.AuditState state, final Consumer<Message> reply) {
    final String here = log.digestAt(state.last);
    if (here != null && !here.equals(state.digest)) {
      log.differs(from, state.last);
    } else if (state.last < log.last()) {
      give(state.last + 1, reply);
    } else if (state.last > log.last()) {
      asks++;
      reply.accept(new AuditMessages.AuditRequest(log.last() + 1));
    }
  }

  private void give(final long from, final Consumer<Message> reply) {
    if (from > log.last()) {
      return;
    }
    final boolean trimmed = from <= log.base();
    final long start = Math.max(from, log.base() + 1);
    final List<byte[]> entries = new ArrayList<>();
    int bytes = 0;
    for (long sequence = start;
        sequence <= log.last() && entries.size() < MOST_ENTRIES && bytes < MOST_BYTES;
        sequence++) {
      final byte[] entry = log.read(sequence);
      if (entry == null) {
        break;
      }
      bytes += entry.length;
      entries.add(entry);
    }
    final String before = log.digestAt(start - 1);
    if (before == null || entries.isEmpty() && !trimmed) {
      return;
    }
    reply.accept(new AuditMessages.AuditEntries(start - 1, before, trimmed, entries, log.last()));
  }

  private void onPart(final AuditMessages.AuditEntries part, final Consumer<Message> reply) {
    parts++;
    if (part.trimmed && part.base > log.last()) {
      log.reset(part.base, part.baseDigest);
    }
    final long before = log.last();
    for (final byte[] entry : Protocol.emptyIfNull(part.entries)) {
      final AuditLog.Outcome outcome = log.offer(entry);
      if (outcome != AuditLog.Outcome.APPENDED && outcome != AuditLog.Outcome.KNOWN) {
        break;
      }
    }
    final boolean behind = log.last() < part.last;
    if (behind && (log.last() > before || part.base > log.last())) {
      asks++;
      reply.accept(new AuditMessages.AuditRequest(log.last() + 1));
    }
  }

  /** How many parts came and how many were asked for. */
  public String counters() {
    return "history "
        + log.last()
        + " from "
        + (log.base() + 1)
        + " parts "
        + parts
        + " asks "
        + asks
        + " differing "
        + log.conflicts()
        + " damaged "
        + log.damaged();
  }
}
