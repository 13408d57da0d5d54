package weldpoint.statestore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;

/** The state in one disk's records, as a replica would restore it after a loss of power. */
public final class DiskContents {
  /** The types of disk records, in the order of their numbers. */
  public enum Kind {
    SELF,
    PROMISE,
    REGISTERS,
    ROSTER,
    PEER_INCARNATION
  }

  private final Partition[] partitions = new Partition[StateStoreReplica.PARTITIONS];
  private final Map<String, Long> peerIncarnations = new HashMap<>();
  private StateStoreMessages.Roster roster = new StateStoreMessages.Roster(0, List.of());
  private long incarnation;

  /** Restores the state from these records. */
  public DiskContents(final List<byte[]> records) {
    for (int index = 0; index < partitions.length; index++) {
      partitions[index] = new Partition(index);
    }
    records.forEach(this::apply);
  }

  /** The type of a record. */
  public static Kind kind(final byte[] record) {
    return Kind.values()[Serializer.deserialize(record, StoredValues.DiskRecord.class).type];
  }

  /** The partition of a promise or register record. */
  public static int partition(final byte[] record) {
    return Serializer.deserialize(record, StoredValues.DiskRecord.class).partition;
  }

  /** The ballot of a promise or register record. */
  public static RegisterVersion ballot(final byte[] record) {
    return Serializer.deserialize(record, StoredValues.DiskRecord.class).ballot;
  }

  /** Applies one more durable record. */
  public void apply(final byte[] bytes) {
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
      case PEER_INCARNATION ->
          peerIncarnations.merge(record.address, record.incarnation, Math::max);
      default -> throw new IllegalStateException("unhandled record type " + kind(bytes));
    }
  }

  /** The replica's incarnation; 0 if the disk has none. */
  public long incarnation() {
    return incarnation;
  }

  /** The latest roster. */
  public StateStoreMessages.Roster roster() {
    return roster;
  }

  /** The incarnation of another replica. */
  public long peerIncarnations(final String address) {
    return peerIncarnations.getOrDefault(address, 1L);
  }

  /** The highest promised or accepted ballot of a partition. */
  public RegisterVersion promised(final int partition) {
    return partitions[partition].promised;
  }

  /** The ballot that last established a partition on this disk. */
  public RegisterVersion established(final int partition) {
    return partitions[partition].established;
  }

  /** The version of a register; {@link RegisterVersion#NONE} if it is not stored. */
  public RegisterVersion stored(final int partition, final String name) {
    final Partition.StoredRegister stored = partitions[partition].stored.get(name);
    return stored == null ? RegisterVersion.NONE : stored.version;
  }

  /** All registers of a partition as message entries. */
  public List<StateStoreMessages.RegisterEntry> entries(final int partition) {
    return partitions[partition].entries();
  }
}
