package weldpoint.statestore;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.OwnershipMessages;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.TrialMessages;

/**
 * The values of registers, answers and disk records, written by field position. All are immutable.
 */
public final class StoredValues {
  /** The delta that leaves a value unchanged and only replaces its version. */
  static final byte[] UNCHANGED = new byte[0];

  private StoredValues() {}

  /** The kinds of registers, distinguished by the prefix of their names. */
  public enum Kind {
    ROSTER("roster", StateStoreMessages.Roster.class),
    CONFIGURATION("spec", StoredConfiguration.class),
    EVACUATION("evacuation/", Evacuation.class),
    TRIAL("trial/", TrialMessages.Trial.class),
    PURGES("purges", CacheMessages.Purges.class),
    ELECTORATE("electorate/", RegionMessages.Electorate.class),
    AUDIT("audit", Retention.class),
    PLACEMENT("placement/", PlacementMessages.Placement.class),
    PLACEMENT_OWNER("keeper", PlacementMessages.PlacementOwner.class),
    OWNERSHIP("ownership/", OwnershipMessages.Assignment.class),
    LOCK("lock/", Lock.class),
    NUMBER("number/", Number.class),
    GROUP("group/", CellGroup.class);

    private final String prefix;
    private final Class<?> type;

    Kind(final String prefix, final Class<?> type) {
      this.prefix = prefix;
      this.type = type;
    }

    /** The kind of the register with this name. */
    public static Kind of(final String name) {
      for (final Kind kind : values()) {
        if (name.startsWith(kind.prefix)) {
          return kind;
        }
      }
      throw new IllegalArgumentException("register name has no known prefix: " + name);
    }

    /** Whether registers of this kind are control state, which is all in partition 0. */
    public boolean isControl() {
      return ordinal() < LOCK.ordinal();
    }

    /** Whether changes of such registers are routing changes, which the history records. */
    public boolean isAudited() {
      return this == CONFIGURATION || this == EVACUATION || this == TRIAL || this == AUDIT;
    }

    /** The name of the register of this kind with this identifier. */
    public String register(final String identifier) {
      return prefix + identifier;
    }

    /** Decodes a complete value. */
    public Object decode(final byte[] bytes) {
      return this == GROUP ? CellGroup.decode(bytes) : Serializer.deserialize(bytes, type);
    }

    /** Encodes a complete value. */
    public byte[] encode(final Object value) {
      return this == GROUP ? ((CellGroup) value).encode() : Serializer.serialize(value);
    }

    /** Applies a delta to a value; only groups have deltas. */
    public Object apply(final Object value, final byte[] delta) {
      final GroupDelta change = Serializer.deserialize(delta, GroupDelta.class);
      return (value == null ? CellGroup.EMPTY : (CellGroup) value)
          .with(Protocol.emptyIfNull(change.puts), change.floor);
    }
  }

  /**
   * The operators' configuration: its version, its compressed bytes and its compressed summary for
   * the history; whether a route uses session affinity; the digest of its content, null if an older
   * release stored it.
   */
  public static final class StoredConfiguration {
    public final long version;
    public final byte[] compressedBody;
    public final byte[] compressedSummary;
    public final boolean hasAffinity;
    public final byte[] contentDigest;

    public StoredConfiguration(
        final long version,
        final byte[] compressedBody,
        final byte[] compressedSummary,
        final boolean hasAffinity,
        final byte[] contentDigest) {
      this.contentDigest = contentDigest;
      this.hasAffinity = hasAffinity;
      this.version = version;
      this.compressedBody = compressedBody;
      this.compressedSummary = compressedSummary;
    }
  }

  /**
   * A version that was already taken by another configuration: that one's author, and when it was
   * accepted, by the clock of the replica that decided; empty and 0 if not known.
   */
  public static final class TakenVersion {
    public final long version;
    public final String author;
    public final long time;

    public TakenVersion(final long version, final String author, final long time) {
      this.version = version;
      this.author = author;
      this.time = time;
    }
  }

  /** The last entry up to which the history was trimmed. */
  public static final class Retention {
    public final long through;

    public Retention(final long through) {
      this.through = through;
    }
  }

  /** Entries of one replica's history, with its first and last entry. */
  public static final class HistoryPart {
    public final long base;
    public final long last;
    public final String digest;
    public final long conflicts;
    public final boolean recovering;
    public final long from;
    public final List<byte[]> entries;

    public HistoryPart(
        final long base,
        final long last,
        final String digest,
        final long conflicts,
        final boolean recovering,
        final long from,
        final List<byte[]> entries) {
      this.base = base;
      this.last = last;
      this.digest = digest;
      this.conflicts = conflicts;
      this.recovering = recovering;
      this.from = from;
      this.entries = entries;
    }
  }

  /** How often an evacuation or trial register has changed; 0 for other kinds. */
  static long serial(final Kind kind, final Object value) {
    if (value == null) {
      return 0;
    }
    return kind == Kind.EVACUATION
        ? ((Evacuation) value).serial
        : kind == Kind.TRIAL ? ((TrialMessages.Trial) value).serial : 0;
  }

  /** Whether a site is evacuated, and how often that has changed. */
  public static final class Evacuation {
    public final boolean on;
    public final long serial;

    public Evacuation(final boolean on, final long serial) {
      this.on = on;
      this.serial = serial;
    }
  }

  /** A lock's owner and fencing token; an empty owner means that the lock is free. */
  public static final class Lock {
    public final String owner;
    public final long fence;
    public final long holdMillis;

    public Lock(final String owner, final long fence, final long holdMillis) {
      this.owner = owner;
      this.fence = fence;
      this.holdMillis = holdMillis;
    }
  }

  /** The last number issued from a sequence. */
  public static final class Number {
    public final long value;

    public Number(final long value) {
      this.value = value;
    }
  }

  /** A value that was put under a key, with its revision. */
  public static final class Put {
    public final String name;
    public final String value;
    public final long revision;

    public Put(final String name, final String value, final long revision) {
      this.name = name;
      this.value = value;
      this.revision = revision;
    }
  }

  /** Puts to add to a group, and the revision up to which its history is trimmed. */
  public static final class GroupDelta {
    public final List<Put> puts;
    public final long floor;

    public GroupDelta(final List<Put> puts, final long floor) {
      this.puts = puts;
      this.floor = floor;
    }
  }

  /** The serialized form of a complete group. */
  public static final class GroupSnapshot {
    public final List<Put> cells;
    public final List<Put> history;
    public final long revision;
    public final long floor;

    public GroupSnapshot(
        final List<Put> cells, final List<Put> history, final long revision, final long floor) {
      this.cells = cells;
      this.history = history;
      this.revision = revision;
      this.floor = floor;
    }
  }

  /** A group of cells: the current put of each key, and all puts above the floor revision. */
  public static final class CellGroup {
    /** The empty group. */
    public static final CellGroup EMPTY = new CellGroup(Map.of(), List.of(), 0, 0);

    public final Map<String, Put> cells;
    public final List<Put> history;
    public final long revision;
    public final long floor;

    private CellGroup(
        final Map<String, Put> cells,
        final List<Put> history,
        final long revision,
        final long floor) {
      this.cells = cells;
      this.history = history;
      this.revision = revision;
      this.floor = floor;
    }

    /** This group with further puts, its history trimmed up to the floor revision. */
    public CellGroup with(final List<Put> puts, final long newFloor) {
      final Map<String, Put> nextCells = new LinkedHashMap<>(cells);
      final List<Put> nextHistory = new ArrayList<>(history.size() + puts.size());
      for (final Put put : history) {
        if (put.revision > newFloor) {
          nextHistory.add(put);
        }
      }
      long last = revision;
      for (final Put put : puts) {
        nextCells.put(put.name, put);
        nextHistory.add(put);
        last = put.revision;
      }
      return new CellGroup(nextCells, nextHistory, last, Math.max(floor, newFloor));
    }

    /** The first known put of this value under this key; null if there is none. */
    public Put findPut(final String name, final String value) {
      for (final Put put : history) {
        if (put.name.equals(name) && put.value.equals(value)) {
          return put;
        }
      }
      final Put present = cells.get(name);
      return present != null && present.value.equals(value) ? present : null;
    }

    byte[] encode() {
      return Serializer.serialize(
          new GroupSnapshot(new ArrayList<>(cells.values()), history, revision, floor));
    }

    static CellGroup decode(final byte[] bytes) {
      final GroupSnapshot snapshot = Serializer.deserialize(bytes, GroupSnapshot.class);
      final Map<String, Put> cells = new LinkedHashMap<>();
      for (final Put put : Protocol.emptyIfNull(snapshot.cells)) {
        cells.put(put.name, put);
      }
      return new CellGroup(
          cells, Protocol.emptyIfNull(snapshot.history), snapshot.revision, snapshot.floor);
    }
  }

  /** The control state that is sent to registries. */
  public static final class ControlSnapshot {
    public final long version;
    public final byte[] configuration;
    public final List<String> evacuated;
    public final long evacuationSerial;
    public final StateStoreMessages.Roster roster;
    public final List<TrialMessages.Trial> trials;
    public final long trialSerial;
    public final CacheMessages.Purges purges;
    public final List<RegionMessages.Electorate> electorates;
    public final boolean hasAffinity;
    public final long placementSerial;
    public final List<PlacementMessages.Placement> placements;
    public final PlacementMessages.PlacementOwner placementOwner;

    /** The key assignments of partitioned services; null if the registry is up to date. */
    public final List<OwnershipMessages.Assignment> assignments;

    /** Control state without partitioned services. */
    public ControlSnapshot(
        final long version,
        final byte[] configuration,
        final List<String> evacuated,
        final long evacuationSerial,
        final StateStoreMessages.Roster roster,
        final List<TrialMessages.Trial> trials,
        final long trialSerial,
        final CacheMessages.Purges purges,
        final List<RegionMessages.Electorate> electorates,
        final boolean hasAffinity,
        final long placementSerial,
        final List<PlacementMessages.Placement> placements,
        final PlacementMessages.PlacementOwner placementOwner) {
      this(
          version,
          configuration,
          evacuated,
          evacuationSerial,
          roster,
          trials,
          trialSerial,
          purges,
          electorates,
          hasAffinity,
          placementSerial,
          placements,
          placementOwner,
          null);
    }

    /** Control state with the key assignments of partitioned services. */
    public ControlSnapshot(
        final long version,
        final byte[] configuration,
        final List<String> evacuated,
        final long evacuationSerial,
        final StateStoreMessages.Roster roster,
        final List<TrialMessages.Trial> trials,
        final long trialSerial,
        final CacheMessages.Purges purges,
        final List<RegionMessages.Electorate> electorates,
        final boolean hasAffinity,
        final long placementSerial,
        final List<PlacementMessages.Placement> placements,
        final PlacementMessages.PlacementOwner placementOwner,
        final List<OwnershipMessages.Assignment> assignments) {
      this.assignments = assignments;
      this.hasAffinity = hasAffinity;
      this.placementSerial = placementSerial;
      this.placements = placements;
      this.placementOwner = placementOwner;
      this.electorates = electorates;
      this.purges = purges;
      this.trials = trials;
      this.trialSerial = trialSerial;
      this.version = version;
      this.configuration = configuration;
      this.evacuated = evacuated;
      this.evacuationSerial = evacuationSerial;
      this.roster = roster;
    }
  }

  /** The answer of a watch: the puts above its revision, and the group's revision. */
  public static final class WatchEvents {
    public final List<Put> events;
    public final long revision;

    public WatchEvents(final List<Put> events, final long revision) {
      this.events = events;
      this.revision = revision;
    }
  }

  /** A record of the disk log; unused fields are null or 0. */
  public static final class DiskRecord {
    public final int type;
    public final int partition;
    public final weldpoint.transport.RegisterVersion ballot;
    public final List<StateStoreMessages.RegisterEntry> entries;
    public final StateStoreMessages.Roster roster;
    public final String address;
    public final long incarnation;

    public DiskRecord(
        final int type,
        final int partition,
        final weldpoint.transport.RegisterVersion ballot,
        final List<StateStoreMessages.RegisterEntry> entries,
        final StateStoreMessages.Roster roster,
        final String address,
        final long incarnation) {
      this.type = type;
      this.partition = partition;
      this.ballot = ballot;
      this.entries = entries;
      this.roster = roster;
      this.address = address;
      this.incarnation = incarnation;
    }
  }
}
