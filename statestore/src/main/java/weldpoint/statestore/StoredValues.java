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

/** The values that registers hold. All are immutable. */
public final class StoredValues {
  /** The difference that leaves a value as it is, under another mark. */
  static final byte[] UNCHANGED = new byte[0];

  private StoredValues() {}

  /** The kinds of registers, told apart by the beginning of their names. */
  public enum Kind {
    ROSTER("roster", StateStoreMessages.Roster.class),
    SPEC("spec", StoredConfiguration.class),
    EVACUATION("evacuation/", Evacuation.class),
    TRIAL("trial/", TrialMessages.Trial.class),
    PURGES("purges", CacheMessages.Purges.class),
    ELECTORATE("electorate/", RegionMessages.Electorate.class),
    AUDIT("audit", Retention.class),
    PLACEMENT("placement/", PlacementMessages.Placement.class),
    KEEPER("keeper", PlacementMessages.PlacementOwner.class),
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

    /** The kind of the register of this name. */
    public static Kind of(final String name) {
      for (final Kind kind : values()) {
        if (name.startsWith(kind.prefix)) {
          return kind;
        }
      }
      throw new IllegalArgumentException("no register is named " + name);
    }

    /** Whether it belongs to the control state, which one partition holds together. */
    public boolean control() {
      return ordinal() < LOCK.ordinal();
    }

    /** Whether a change of it is a change of routing, which the history records. */
    public boolean audited() {
      return this == SPEC || this == EVACUATION || this == TRIAL || this == AUDIT;
    }

    /** The name of the register of this kind for an identifier. */
    public String register(final String identifier) {
      return prefix + identifier;
    }

    /** Reads a whole value. */
    public Object decode(final byte[] bytes) {
      return this == GROUP ? CellGroup.decode(bytes) : Serializer.deserialize(bytes, type);
    }

    /** The bytes of a whole value. */
    public byte[] encode(final Object value) {
      return this == GROUP ? ((CellGroup) value).encode() : Serializer.serialize(value);
    }

    /** A value changed by a difference; only groups have them. */
    public Object apply(final Object value, final byte[] difference) {
      final GroupDelta change = Serializer.deserialize(difference, GroupDelta.class);
      return (value == null ? CellGroup.EMPTY : (CellGroup) value)
          .with(Protocol.emptyIfNull(change.puts), change.floor);
    }
  }

  /**
   * The operators' configuration: its version, its compressed bytes and, compressed too, its
   * summary for the history; whether a route ties callers to nodes; the digest of what it says,
   * null in an older store.
   */
  public static final class StoredConfiguration {
    public final long version;
    public final byte[] body;
    public final byte[] summary;
    public final boolean tied;
    public final byte[] content;

    public StoredConfiguration(
        final long version,
        final byte[] body,
        final byte[] summary,
        final boolean tied,
        final byte[] content) {
      this.content = content;
      this.tied = tied;
      this.version = version;
      this.body = body;
      this.summary = summary;
    }
  }

  /**
   * A version that stands for another configuration: who sent that one, and when it was taken, by
   * the clock of the daemon that decided; empty and 0 where that is not known.
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

  /** Up to which entry the history is forgotten. */
  public static final class Retention {
    public final long through;

    public Retention(final long through) {
      this.through = through;
    }
  }

  /** Entries of one replica's history, with how far it reaches. */
  public static final class HistoryPart {
    public final long base;
    public final long last;
    public final String digest;
    public final long conflicts;
    public final boolean blank;
    public final long from;
    public final List<byte[]> entries;

    public HistoryPart(
        final long base,
        final long last,
        final String digest,
        final long conflicts,
        final boolean blank,
        final long from,
        final List<byte[]> entries) {
      this.base = base;
      this.last = last;
      this.digest = digest;
      this.conflicts = conflicts;
      this.blank = blank;
      this.from = from;
      this.entries = entries;
    }
  }

  /** How often a register of evacuations or trials has changed; 0 for any other. */
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

  /** Who holds a lock under which fence; an empty owner means nobody. */
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

  /** The last number given. */
  public static final class Number {
    public final long value;

    public Number(final long value) {
      this.value = value;
    }
  }

  /** One put of a key. */
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

  /** What puts add to a group, and up to which revision its history is forgotten. */
  public static final class GroupDelta {
    public final List<Put> puts;
    public final long floor;

    public GroupDelta(final List<Put> puts, final long floor) {
      this.puts = puts;
      this.floor = floor;
    }
  }

  /** How a group travels whole. */
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

  /** A group of cells: the present puts by name, and all puts above the floor. */
  public static final class CellGroup {
    /** A group that nothing was put to. */
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

    /** This group after further puts, its history forgotten up to the floor. */
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

    /** The first put of this value to this key that is still known; null where there is none. */
    public Put first(final String name, final String value) {
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
      final GroupSnapshot packed = Serializer.deserialize(bytes, GroupSnapshot.class);
      final Map<String, Put> cells = new LinkedHashMap<>();
      for (final Put put : Protocol.emptyIfNull(packed.cells)) {
        cells.put(put.name, put);
      }
      return new CellGroup(
          cells, Protocol.emptyIfNull(packed.history), packed.revision, packed.floor);
    }
  }

  /** What exchanges learn of control state. */
  public static final class ControlSnapshot {
    public final long version;
    public final byte[] spec;
    public final List<String> evacuated;
    public final long evacuationMark;
    public final StateStoreMessages.Roster roster;
    public final List<TrialMessages.Trial> trials;
    public final long trialMark;
    public final CacheMessages.Purges purges;
    public final List<RegionMessages.Electorate> electorates;
    public final boolean tied;
    public final long placementMark;
    public final List<PlacementMessages.Placement> placements;
    public final PlacementMessages.PlacementOwner keeper;

    /** Who holds the keys of divided services; null where nothing is news. */
    public final List<OwnershipMessages.Assignment> assignments;

    /** Control state without divided services. */
    public ControlSnapshot(
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationMark,
        final StateStoreMessages.Roster roster,
        final List<TrialMessages.Trial> trials,
        final long trialMark,
        final CacheMessages.Purges purges,
        final List<RegionMessages.Electorate> electorates,
        final boolean tied,
        final long placementMark,
        final List<PlacementMessages.Placement> placements,
        final PlacementMessages.PlacementOwner keeper) {
      this(
          version,
          spec,
          evacuated,
          evacuationMark,
          roster,
          trials,
          trialMark,
          purges,
          electorates,
          tied,
          placementMark,
          placements,
          keeper,
          null);
    }

    /** Control state. */
    public ControlSnapshot(
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationMark,
        final StateStoreMessages.Roster roster,
        final List<TrialMessages.Trial> trials,
        final long trialMark,
        final CacheMessages.Purges purges,
        final List<RegionMessages.Electorate> electorates,
        final boolean tied,
        final long placementMark,
        final List<PlacementMessages.Placement> placements,
        final PlacementMessages.PlacementOwner keeper,
        final List<OwnershipMessages.Assignment> assignments) {
      this.assignments = assignments;
      this.tied = tied;
      this.placementMark = placementMark;
      this.placements = placements;
      this.keeper = keeper;
      this.electorates = electorates;
      this.purges = purges;
      this.trials = trials;
      this.trialMark = trialMark;
      this.version = version;
      this.spec = spec;
      this.evacuated = evacuated;
      this.evacuationMark = evacuationMark;
      this.roster = roster;
    }
  }

  /** What a watch answers. */
  public static final class WatchEvents {
    public final List<Put> events;
    public final long revision;

    public WatchEvents(final List<Put> events, final long revision) {
      this.events = events;
      this.revision = revision;
    }
  }

  /** What lies on disk. */
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
