package weldpoint.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import weldpoint.transport.Protocol;
import weldpoint.transport.RecordingMessages.RecordingBatch;
import weldpoint.transport.RecordingMessages.RecordingState;
import weldpoint.transport.RegistryMessages;

/**
 * What switchboards recorded, until an operator collects it; bounded, and what had to be dropped is
 * counted.
 */
public final class RecordingBuffer {
  private static final int MAX_NOTES = 30_000;
  private static final int MAX_DRAINED_NOTES = 4000;
  private static final long ANNOUNCE_INTERVAL_MILLIS = 1000;

  /** One reel, with how long ago it came. */
  public static final class CollectedBatch {
    public final long ageMillis;
    public final RecordingBatch batch;

    public CollectedBatch(final long ageMillis, final RecordingBatch batch) {
      this.ageMillis = ageMillis;
      this.batch = batch;
    }
  }

  /**
   * What one collection brought; whoever collects subtracts ages from the moment of its question.
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

  /** Orders recording to begin or end; the new state must be told to all. */
  RecordingState setRecording(final boolean enabled, final long wallMillis) {
    state = new RecordingState(Math.max(state.mark + 1, wallMillis), enabled);
    return state;
  }

  /** Takes another exchange's word; true where it was news. */
  boolean accept(final RecordingState received) {
    if (received.mark <= state.mark) {
      return false;
    }
    state = received;
    return true;
  }

  /**
   * Whether it is time to tell the others again; while nothing was ever recorded there is nothing
   * to tell.
   */
  boolean shouldAnnounce(final long now) {
    if (state.mark == 0 || now - announcedAt < ANNOUNCE_INTERVAL_MILLIS) {
      return false;
    }
    announcedAt = now;
    return true;
  }

  void add(final RecordingBatch batch, final long now) {
    final int count = Protocol.list(batch.notes).size();
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
      count += Protocol.list(next.batch.notes).size();
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
