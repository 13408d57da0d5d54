package weldpoint.statestore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;

/** What the records on one disk say, as a frame would read them after a loss of power. */
public final class DiskContents {
  /** What a record is about. */
  public enum Kind {
    SELF,
    PROMISE,
    REGISTERS,
    ROSTER,
    KNOWN
  }

  private final Partition[] partitions = new Partition[StateStoreReplica.PARTITIONS];
  private final Map<String, Long> known = new HashMap<>();
  private StateStoreMessages.Roster roster = new StateStoreMessages.Roster(0, List.of());
  private long incarnation;

  /** A disk with these records. */
  public DiskContents(final List<byte[]> records) {
    for (int index = 0; index < partitions.length; index++) {
      partitions[index] = new Partition(index);
    }
    records.forEach(this::take);
  }

  /** What a record is about. */
  public static Kind kind(final byte[] record) {
    return Kind.values()[Serializer.deserialize(record, StoredValues.DiskRecord.class).type];
  }

  /** The partition of a promise or of registers. */
  public static int partition(final byte[] record) {
    return Serializer.deserialize(record, StoredValues.DiskRecord.class).partition;
  }

  /** The ballot of a promise or of registers. */
  public static RegisterVersion ballot(final byte[] record) {
    return Serializer.deserialize(record, StoredValues.DiskRecord.class).ballot;
  }

  /** One more record is lasting. */
  public void take(final byte[] bytes) {
    final StoredValues.DiskRecord record =
        Serializer.deserialize(bytes, StoredValues.DiskRecord.class);
    switch (kind(bytes)) {
      case SELF -> incarnation = record.incarnation;
      case PROMISE -> {
        if (record.ballot.compareTo(partitions[record.partition].promised) > 0) {
          partitions[record.partition].promised = record.ballot;
        }
      }
      case REGISTERS ->
          partitions[record.partition].store(
              record.ballot,
              record.incarnation == 1,
              Protocol.emptyIfNull(record.entries),
              new ArrayList<>());
      case ROSTER -> roster = record.roster.number > roster.number ? record.roster : roster;
      case KNOWN -> known.merge(record.address, record.incarnation, Math::max);
      default -> throw new IllegalStateException("no rule for " + kind(bytes));
    }
  }

  /** The incarnation; 0 while the disk is blank. */
  public long incarnation() {
    return incarnation;
  }

  /** The roster. */
  public StateStoreMessages.Roster roster() {
    return roster;
  }

  /** The incarnation that is known of another. */
  public long known(final String address) {
    return known.getOrDefault(address, 1L);
  }

  /** The highest ballot that was promised or accepted. */
  public RegisterVersion promised(final int partition) {
    return partitions[partition].promised;
  }

  /** The ballot that established the partition here. */
  public RegisterVersion established(final int partition) {
    return partitions[partition].established;
  }

  /** The mark of a register; none where there is none. */
  public RegisterVersion stored(final int partition, final String name) {
    final Partition.StoredRegister stored = partitions[partition].stored.get(name);
    return stored == null ? RegisterVersion.NONE : stored.mark;
  }

  /** All registers of a partition. */
  public List<StateStoreMessages.RegisterEntry> entries(final int partition) {
    return partitions[partition].entries();
  }
}
