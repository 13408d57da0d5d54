package weldpoint.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import weldpoint.transport.Protocol;
import weldpoint.transport.RecordingMessages.RecordingBatch;
import weldpoint.transport.RecordingMessages.RecordingState;
import weldpoint.transport.RegistryMessages;

/**
 * Buffers the batches that proxies recorded until an operator collects them. The number of notes is
 * bounded; notes that do not fit are dropped and counted. Used by {@link RegistryCore} on the
 * control thread.
 */
public final class RecordingBuffer {
  private static final int MAX_NOTES = 30_000;
  private static final int MAX_DRAINED_NOTES = 4000;
  private static final long ANNOUNCE_INTERVAL_MILLIS = 1000;

  /** One recording batch, and how long ago it arrived. */
  public static final class CollectedBatch {
    public final long ageMillis;
    public final RecordingBatch batch;

    public CollectedBatch(final long ageMillis, final RecordingBatch batch) {
      this.ageMillis = ageMillis;
      this.batch = batch;
    }
  }

  /**
   * The response to one collection. The collector subtracts the ages from the time of its request.
   */
  public static final class Collection {
    public final boolean recording;
    public final long stateRevision;
    public final long dropped;
    public final long remaining;
    public final List<CollectedBatch> batches;
    public final long version;
    public final byte[] spec;
    public final List<RegistryMessages.Registration> registrations;
    public final List<String> evacuated;

    public Collection(
        final boolean recording,
        final long stateRevision,
        final long dropped,
        final long remaining,
        final List<CollectedBatch> batches,
        final long version,
        final byte[] spec,
        final List<RegistryMessages.Registration> registrations,
        final List<String> evacuated) {
      this.recording = recording;
      this.stateRevision = stateRevision;
      this.dropped = dropped;
      this.remaining = remaining;
      this.batches = batches;
      this.version = version;
      this.spec = spec;
      this.registrations = registrations;
      this.evacuated = evacuated;
    }
  }

  private record BufferedBatch(RecordingBatch batch, long receivedAt) {}

  private final ArrayDeque<BufferedBatch> buffered = new ArrayDeque<>();
  private RecordingState state = new RecordingState(0, false);
  private long notes;
  private long dropped;
  private long announcedAt;

  RecordingState state() {
    return state;
  }

  /** Starts or stops recording; the caller must announce the new state to all daemons. */
  RecordingState setRecording(final boolean enabled, final long wallMillis) {
    state = new RecordingState(Math.max(state.revision + 1, wallMillis), enabled);
    return state;
  }

  /** Accepts the state of another registry; returns true if it is newer than the own one. */
  boolean accept(final RecordingState received) {
    if (received.revision <= state.revision) {
      return false;
    }
    state = received;
    return true;
  }

  /**
   * Returns whether the state is due to be announced to the other registries again, and counts it
   * as announced. Nothing is announced before the first recording.
   */
  boolean shouldAnnounce(final long now) {
    if (state.revision == 0 || now - announcedAt < ANNOUNCE_INTERVAL_MILLIS) {
      return false;
    }
    announcedAt = now;
    return true;
  }

  void add(final RecordingBatch batch, final long now) {
    final int count = Protocol.emptyIfNull(batch.records).size();
    if (notes + count > MAX_NOTES) {
      dropped += count;
      return;
    }
    notes += count;
    buffered.add(new BufferedBatch(batch, now));
  }

  List<CollectedBatch> drain(final long now) {
    final List<CollectedBatch> list = new ArrayList<>();
    int count = 0;
    while (!buffered.isEmpty() && count < MAX_DRAINED_NOTES) {
      final BufferedBatch next = buffered.poll();
      count += Protocol.emptyIfNull(next.batch.records).size();
      list.add(new CollectedBatch(now - next.receivedAt, next.batch));
    }
    notes -= count;
    return list;
  }

  long remaining() {
    return notes;
  }

  long dropped() {
    return dropped;
  }
}
