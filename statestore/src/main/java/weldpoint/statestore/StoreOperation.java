package weldpoint.statestore;

import java.util.ArrayList;
import java.util.List;
import weldpoint.statestore.StoredValues.CellGroup;
import weldpoint.statestore.StoredValues.Evacuation;
import weldpoint.statestore.StoredValues.Lock;
import weldpoint.statestore.StoredValues.Put;
import weldpoint.statestore.StoredValues.StoredConfiguration;
import weldpoint.transport.OwnershipMessages;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages.StoreRequest;

/** What may be asked of the store, each with how it is decided at the holder of the duty. */
public enum StoreOperation {
  /**
   * Takes a configuration: first is its version, second 1 where a route ties callers to nodes, body
   * its compressed bytes; the answer's first is 0 if it alters nothing, since this or a later one
   * holds. Status 409 if the version stands for another one.
   */
  SPEC_REPLACE(StoredValues.Kind.SPEC) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final StoredConfiguration spec = (StoredConfiguration) value;
      return spec != null && call.first <= spec.version
          ? held.versions.decide(spec, call)
          : Decision.write(
              new StoredConfiguration(
                  call.first,
                  call.body,
                  call.origin == null ? null : call.origin.configurationSummary,
                  call.second == 1,
                  TakenVersions.content(call)),
              null,
              call.first);
    }
  },
  /** Reads the configuration: first is its version, body its compressed bytes. */
  SPEC_READ(StoredValues.Kind.SPEC) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }

    @Override
    Decision read(final Object value, final StoreRequest call) {
      final StoredConfiguration spec = (StoredConfiguration) value;
      return spec == null
          ? Decision.tell(404, 0, null)
          : Decision.tell(200, spec.version, spec.body);
    }
  },
  /**
   * Begins (first is 1) or finishes (0) the evacuation of a site, under the ticket second; status
   * 410 if another order was decided since the ticket.
   */
  EVACUATE(StoredValues.Kind.EVACUATION) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final Evacuation evacuation = value == null ? new Evacuation(false, 0) : (Evacuation) value;
      if (call.callerIncarnation != 0 && call.second != held.ticket()) {
        return Decision.confirm(410, 0);
      }
      held.grants++;
      final boolean wanted = call.first == 1;
      return evacuation.on == wanted
          ? Decision.confirm(200, evacuation.serial)
          : Decision.write(
              new Evacuation(wanted, evacuation.serial + 1), null, evacuation.serial + 1);
    }
  },
  /**
   * Writes a trial (body), if the one there has the serial first; a held one is never opened again.
   */
  TRIAL_WRITE(StoredValues.Kind.TRIAL) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final weldpoint.transport.TrialMessages.Trial before =
          (weldpoint.transport.TrialMessages.Trial) value;
      final weldpoint.transport.TrialMessages.Trial next =
          Serializer.deserialize(call.body, weldpoint.transport.TrialMessages.Trial.class);
      if (before != null && java.util.Arrays.equals(Serializer.serialize(before), call.body)) {
        return Decision.confirm(200, before.serial);
      }
      final boolean reopens =
          before != null && before.number == next.number && next.verdict < before.verdict;
      if (reopens
          || (before == null ? 0 : before.serial) != call.first
          || next.serial != call.first + 1) {
        return Decision.confirm(412, before == null ? 0 : before.serial);
      }
      return Decision.write(next, null, next.serial);
    }
  },
  /**
   * Ends an object (owner its host, body its path) or a label (owner null, body the label) for all
   * caches.
   */
  PURGE(StoredValues.Kind.PURGES) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final weldpoint.transport.CacheMessages.Purges before =
          value == null
              ? new weldpoint.transport.CacheMessages.Purges(0, 0, List.of())
              : (weldpoint.transport.CacheMessages.Purges) value;
      final String named = new String(call.body, java.nio.charset.StandardCharsets.UTF_8);
      final long serial = before.lastSerial + 1;
      final List<weldpoint.transport.CacheMessages.Purge> all =
          new ArrayList<>(weldpoint.transport.Protocol.emptyIfNull(before.purges));
      all.add(
          call.owner == null
              ? new weldpoint.transport.CacheMessages.Purge(serial, null, null, named)
              : new weldpoint.transport.CacheMessages.Purge(serial, call.owner, named, null));
      while (all.size() > MOST_PURGES) {
        all.remove(0);
      }
      return Decision.write(
          new weldpoint.transport.CacheMessages.Purges(all.get(0).serial - 1, serial, all),
          null,
          serial);
    }
  },
  /** Writes who may choose a region's chief (body), if its mark follows the one there. */
  ELECTORATE(StoredValues.Kind.ELECTORATE) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final weldpoint.transport.RegionMessages.Electorate before =
          (weldpoint.transport.RegionMessages.Electorate) value;
      final weldpoint.transport.RegionMessages.Electorate next =
          Serializer.deserialize(call.body, weldpoint.transport.RegionMessages.Electorate.class);
      final long mark = before == null ? 0 : before.revision;
      return next.revision == mark + 1
          ? Decision.write(next, null, next.revision)
          : Decision.confirm(412, mark);
    }
  },
  /**
   * Waits for control state newer than version first and the marks of evacuations and trials,
   * second.
   */
  CONTROL(StoredValues.Kind.SPEC) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }
  },
  /** Takes a lock for first milliseconds. */
  LOCK_BEGIN(StoredValues.Kind.LOCK) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final Lock lock = value == null ? new Lock("", 0, 0) : (Lock) value;
      if (!lock.owner.isEmpty() && now < held.expiresAt) {
        if (!lock.owner.equals(call.owner)) {
          return Decision.confirm(409, 0);
        }
        return extend(held, lock, call, now);
      }
      held.grants++;
      held.expiresAt = now + call.first;
      return Decision.write(new Lock(call.owner, lock.fence + 1, call.first), null, lock.fence + 1);
    }
  },
  /** Renews a lock of fence second for first milliseconds. */
  LOCK_HEARTBEAT(StoredValues.Kind.LOCK) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final Lock lock = (Lock) value;
      if (lock == null
          || !lock.owner.equals(call.owner)
          || lock.fence != call.second
          || now >= held.expiresAt) {
        return Decision.confirm(409, 0);
      }
      return extend(held, lock, call, now);
    }
  },
  /**
   * Asks for a ticket to give a lock back with: it is void once the lock has been granted or
   * renewed again.
   */
  LOCK_TICKET(StoredValues.Kind.LOCK) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      return Decision.confirm(200, held.ticket());
    }
  },
  /** Gives a lock of fence second back, under the ticket first. */
  LOCK_FINISH(StoredValues.Kind.LOCK) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final Lock lock = (Lock) value;
      if (call.first != held.ticket()) {
        return Decision.confirm(410, 0);
      }
      return lock == null || !lock.owner.equals(call.owner) || lock.fence != call.second
          ? Decision.confirm(200, 0)
          : Decision.write(new Lock("", lock.fence, 0), null, lock.fence);
    }
  },
  /** Gives the next number. */
  NUMBER(StoredValues.Kind.NUMBER) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final long next = value == null ? 1 : ((StoredValues.Number) value).value + 1;
      return Decision.write(new StoredValues.Number(next), null, next);
    }
  },
  /**
   * Puts a value (owner carries it) under a key (body names it); first is the revision it must
   * have, -1 for any.
   */
  CELL_REPLACE(StoredValues.Kind.GROUP) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final CellGroup group = value == null ? CellGroup.EMPTY : (CellGroup) value;
      final String name = new String(call.body, java.nio.charset.StandardCharsets.UTF_8);
      final Put before = group.first(name, call.owner);
      if (before != null) {
        return Decision.confirm(200, before.revision);
      }
      final Put present = group.cells.get(name);
      final long revision = present == null ? 0 : present.revision;
      if (call.first >= 0 && call.first != revision) {
        return Decision.confirm(412, revision);
      }
      final Put put = new Put(name, call.owner, group.revision + 1);
      return Decision.write(group.with(List.of(put), held.floor(now)), put, put.revision);
    }
  },
  /** Reads a key (body names it). */
  CELL_READ(StoredValues.Kind.GROUP) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }

    @Override
    Decision read(final Object value, final StoreRequest call) {
      final CellGroup group = value == null ? CellGroup.EMPTY : (CellGroup) value;
      final Put put =
          group.cells.get(new String(call.body, java.nio.charset.StandardCharsets.UTF_8));
      return put == null
          ? Decision.tell(404, 0, null)
          : Decision.tell(
              200, put.revision, put.value.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
  },
  /** Waits second milliseconds for puts above revision first. */
  WATCH(StoredValues.Kind.GROUP) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      if (call.first == 0) {
        return Decision.read();
      }
      final CellGroup group = value == null ? CellGroup.EMPTY : (CellGroup) value;
      if (call.first < group.floor) {
        return Decision.confirm(410, group.floor);
      }
      return call.first < group.revision ? events(group, call.first) : Decision.park();
    }

    @Override
    Decision read(final Object value, final StoreRequest call) {
      final CellGroup group = value == null ? CellGroup.EMPTY : (CellGroup) value;
      return Decision.tell(
          200,
          group.revision,
          Serializer.serialize(new StoredValues.WatchEvents(List.of(), group.revision)));
    }
  },
  /**
   * Asks how far the history of routing changes reaches: the answer's first is the last decided
   * entry, its body the digest.
   */
  HISTORY_HEAD(StoredValues.Kind.AUDIT) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }
  },
  /** Asks any replica, whoever holds the duty, for second entries of its history from first on. */
  HISTORY_READ(StoredValues.Kind.AUDIT) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }
  },
  /**
   * Writes among which upstreams a service's callers are placed (body), if its serial follows the
   * one there.
   */
  PLACEMENT_WRITE(StoredValues.Kind.PLACEMENT) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final PlacementMessages.Placement next =
          Serializer.deserialize(call.body, PlacementMessages.Placement.class);
      final long serial = value == null ? 0 : ((PlacementMessages.Placement) value).serial;
      return next.serial == serial + 1
          ? Decision.write(next, null, next.serial)
          : Decision.confirm(412, serial);
    }
  },
  /** Writes which exchange keeps placements (body), if its serial follows the one there. */
  KEEPER_WRITE(StoredValues.Kind.KEEPER) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final PlacementMessages.PlacementOwner next =
          Serializer.deserialize(call.body, PlacementMessages.PlacementOwner.class);
      final long serial = value == null ? 0 : ((PlacementMessages.PlacementOwner) value).serial;
      return next.serial == serial + 1
          ? Decision.write(next, null, next.serial)
          : Decision.confirm(412, serial);
    }
  },
  /**
   * Asks for a ticket to order a site's evacuation with: it is void once any order for the site was
   * decided, and with the duty.
   */
  EVACUATION_TICKET(StoredValues.Kind.EVACUATION) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      return Decision.confirm(200, held.ticket());
    }
  },
  /**
   * Writes who holds the keys of a divided service (body), if its serial follows the one there.
   * Only the registry that knows the latest assignment can write, so a change by one that has been
   * overtaken never takes effect.
   */
  OWNERSHIP_WRITE(StoredValues.Kind.OWNERSHIP) {
    @Override
    Decision decide(
        final RegisterState held, final Object value, final StoreRequest call, final long now) {
      final OwnershipMessages.Assignment next =
          Serializer.deserialize(call.body, OwnershipMessages.Assignment.class);
      final long serial = value == null ? 0 : ((OwnershipMessages.Assignment) value).serial;
      return next.serial == serial + 1
          ? Decision.write(next, null, next.serial)
          : Decision.confirm(412, serial);
    }
  };

  private static final int MOST_PURGES = 200;
  private static final StoreOperation[] ALL = values();
  private final StoredValues.Kind kind;

  StoreOperation(final StoredValues.Kind kind) {
    this.kind = kind;
  }

  /** The deed of this number; null where there is none. */
  public static StoreOperation of(final int number) {
    return number < 0 || number >= ALL.length ? null : ALL[number];
  }

  /** The register that a call of this deed concerns. */
  public String register(final String identifier) {
    return kind == StoredValues.Kind.SPEC
            || kind == StoredValues.Kind.PURGES
            || kind == StoredValues.Kind.AUDIT
            || kind == StoredValues.Kind.KEEPER
        ? kind.register("")
        : kind.register(identifier);
  }

  /**
   * Whether a copy that comes late would do something that the first did not, so that it must be
   * known by its identity.
   */
  boolean once() {
    return this == LOCK_BEGIN || this == NUMBER || this == PURGE;
  }

  abstract Decision decide(RegisterState held, Object value, StoreRequest call, long now);

  Decision read(final Object value, final StoreRequest call) {
    throw new IllegalStateException(this + " reads nothing");
  }

  private static Decision extend(
      final RegisterState held, final Lock lock, final StoreRequest call, final long now) {
    held.grants++;
    held.expiresAt = Math.max(held.expiresAt, now + call.first);
    return call.first > lock.holdMillis
        ? Decision.write(new Lock(lock.owner, lock.fence, call.first), null, lock.fence)
        : Decision.confirm(200, lock.fence);
  }

  static Decision events(final CellGroup group, final long after) {
    final List<Put> events = new ArrayList<>();
    for (final Put put : group.history) {
      if (put.revision > after) {
        events.add(put);
      }
    }
    return Decision.tell(
        200,
        group.revision,
        Serializer.serialize(new StoredValues.WatchEvents(events, group.revision)));
  }
}
