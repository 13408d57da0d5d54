package weldpoint.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import weldpoint.audit.AuditStore;

/**
 * A disk of one machine: what was synced outlives the process, what was only written may outlive
 * its kill but not a loss of power.
 */
final class SimulatedDisk {
  private static final int TURN_RECORDS = 400;
  private static final long RETRY_MILLIS = 200;

  private final ControlPlaneSimulation simulation;
  long syncMillis = 2;
  int full;
  int stalled;

  SimulatedDisk(final ControlPlaneSimulation simulation) {
    this.simulation = simulation;
  }

  /** The records of one program. */
  final class Records {
    private List<byte[]> lasting = new ArrayList<>();

    List<byte[]> lasting() {
      return new ArrayList<>(lasting);
    }

    void wipe() {
      lasting = new ArrayList<>();
    }

    void replace(final List<byte[]> records) {
      lasting = new ArrayList<>(records);
    }
  }

  /**
   * What one life of a program does with its records: they are written and synced in batches, in
   * order.
   */
  final class Writer {
    private final Records records;
    private final Supplier<List<byte[]>> view;
    private final ControlPlaneSimulation.Incarnation life;
    private final List<byte[]> waiting = new ArrayList<>();
    private final List<Runnable> callbacks = new ArrayList<>();
    private List<byte[]> written = List.of();
    private boolean turning = true;
    private int wholeRecords;
    private long busySince = -1;
    private boolean refusing;

    Writer(
        final Records records,
        final ControlPlaneSimulation.Incarnation life,
        final Supplier<List<byte[]>> view) {
      this.records = records;
      this.life = life;
      this.view = view;
    }

    void append(final byte[] record, final Runnable synced) {
      waiting.add(record);
      callbacks.add(synced);
      begin();
    }

    /** Writes the whole state first, as every life does. */
    void begin() {
      if (busySince >= 0 || !life.lives() || !turning && waiting.isEmpty()) {
        return;
      }
      busySince = simulation.now();
      attempt();
    }

    private void attempt() {
      if (!life.lives()) {
        return;
      }
      if (stalled > 0 || full > 0) {
        refusing = full > 0;
        simulation.after(RETRY_MILLIS, this::attempt);
        return;
      }
      refusing = false;
      final List<byte[]> whole = turning ? view.get() : null;
      final List<byte[]> batch = whole == null ? new ArrayList<>(waiting) : List.of();
      final List<Runnable> done = whole == null ? new ArrayList<>(callbacks) : List.of();
      if (whole == null) {
        waiting.clear();
        callbacks.clear();
      }
      written = batch;
      simulation.after(
          syncMillis + simulation.random().nextInt((int) (1 + syncMillis)),
          () -> synced(whole, batch, done));
    }

    private void synced(
        final List<byte[]> whole, final List<byte[]> batch, final List<Runnable> done) {
      if (!life.lives()) {
        return;
      }
      if (stalled > 0) {
        simulation.after(RETRY_MILLIS, () -> synced(whole, batch, done));
        return;
      }
      if (whole != null) {
        records.lasting = new ArrayList<>(whole);
        wholeRecords = whole.size();
        turning = false;
      } else {
        records.lasting.addAll(batch);
        turning = records.lasting.size() > wholeRecords + TURN_RECORDS;
      }
      written = List.of();
      busySince = -1;
      life.run(() -> done.forEach(Runnable::run));
      begin();
    }

    /** The process has ended: all that was written stays, or with a loss of power a part of it. */
    void ended(final boolean power) {
      records.lasting.addAll(
          written.subList(
              0, power ? simulation.random().nextInt(written.size() + 1) : written.size()));
    }

    long busyMillis() {
      return busySince < 0 || refusing ? 0 : simulation.now() - busySince;
    }

    boolean refusing() {
      return refusing;
    }
  }

  /** The history's entries on this disk. */
  final class Entries {
    private final List<byte[]> lasting = new ArrayList<>();
    private long base;

    void wipe() {
      lasting.clear();
      base = 0;
    }
  }

  /** The history as one life of a program sees it. */
  final class EntryStore implements AuditStore {
    private final Entries entries;
    private final ControlPlaneSimulation.Incarnation life;
    private final List<byte[]> all;
    private long syncedAt;
    private long base;

    EntryStore(final Entries entries, final ControlPlaneSimulation.Incarnation life) {
      this.entries = entries;
      this.life = life;
      this.all = new ArrayList<>(entries.lasting);
      this.base = entries.base;
    }

    @Override
    public long base() {
      return base;
    }

    @Override
    public long last() {
      return base + all.size();
    }

    @Override
    public boolean append(final long sequence, final byte[] entry, final Runnable synced) {
      if (full > 0) {
        return false;
      }
      all.add(entry);
      sync(sequence, entry, synced);
      return true;
    }

    private void sync(final long sequence, final byte[] entry, final Runnable synced) {
      syncedAt = Math.max(syncedAt, simulation.now() + syncMillis + 1);
      simulation.after(
          syncedAt - simulation.now(),
          () -> {
            if (!life.lives()) {
              return;
            }
            if (stalled > 0) {
              sync(sequence, entry, synced);
              return;
            }
            if (sequence == entries.base + entries.lasting.size() + 1) {
              entries.lasting.add(entry);
            }
            life.run(synced);
          });
    }

    @Override
    public byte[] read(final long sequence) {
      return sequence <= base || sequence > last() ? null : all.get((int) (sequence - base - 1));
    }

    @Override
    public void trim(final long through) {
      if (through > base && through <= last()) {
        all.subList(0, (int) (through - base)).clear();
        base = through;
        final int gone =
            (int) Math.min(entries.lasting.size(), Math.max(0, through - entries.base));
        entries.lasting.subList(0, gone).clear();
        entries.base += gone;
      }
    }

    @Override
    public void reset(final long newBase) {
      all.clear();
      base = newBase;
      entries.lasting.clear();
      entries.base = newBase;
    }
  }
}
