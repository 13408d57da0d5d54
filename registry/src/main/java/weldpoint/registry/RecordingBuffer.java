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
  private static final int MOST_NOTES = 30_000;
  private static final int MOST_DRAINED = 4000;
  private static final long TELL_MILLIS = 1000;

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
    public final boolean on;
    public final long mark;
    public final long dropped;
    public final long left;
    public final List<CollectedBatch> reels;
    public final long version;
    public final byte[] spec;
    public final List<RegistryMessages.Registration> registrations;
    public final List<String> evacuated;

    public Collection(
        final boolean on,
        final long mark,
        final long dropped,
        final long left,
        final List<CollectedBatch> reels,
        final long version,
        final byte[] spec,
        final List<RegistryMessages.Registration> registrations,
        final List<String> evacuated) {
      this.on = on;
      this.mark = mark;
      this.dropped = dropped;
      this.left = left;
      this.reels = reels;
      this.version = version;
      this.spec = spec;
      this.registrations = registrations;
      this.evacuated = evacuated;
    }
  }

  private record BufferedBatch(RecordingBatch batch, long at) {}

  private final ArrayDeque<BufferedBatch> held = new ArrayDeque<>();
  private RecordingState state = new RecordingState(0, false);
  private long notes;
  private long dropped;
  private long toldAt;

  RecordingState state() {
    return state;
  }

  /** Orders recording to begin or end; the new state must be told to all. */
  RecordingState order(final boolean on, final long wall) {
    state = new RecordingState(Math.max(state.revision + 1, wall), on);
    return state;
  }

  /** Takes another exchange's word; true where it was news. */
  boolean take(final RecordingState given) {
    if (given.revision <= state.revision) {
      return false;
    }
    state = given;
    return true;
  }

  /**
   * Whether it is time to tell the others again; while nothing was ever recorded there is nothing
   * to tell.
   */
  boolean tells(final long now) {
    if (state.revision == 0 || now - toldAt < TELL_MILLIS) {
      return false;
    }
    toldAt = now;
    return true;
  }

  void add(final RecordingBatch batch, final long now) {
    final int count = Protocol.emptyIfNull(batch.records).size();
    if (notes + count > MOST_NOTES) {
      dropped += count;
      return;
    }
    notes += count;
    held.add(new BufferedBatch(batch, now));
  }

  List<CollectedBatch> drain(final long now) {
    final List<CollectedBatch> list = new ArrayList<>();
    int count = 0;
    while (!held.isEmpty() && count < MOST_DRAINED) {
      final BufferedBatch one = held.poll();
      count += Protocol.emptyIfNull(one.batch.records).size();
      list.add(new CollectedBatch(now - one.at, one.batch));
    }
    notes -= count;
    return list;
  }

  long left() {
    return notes;
  }

  long dropped() {
    return dropped;
  }
}
