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

/** The operations of the store, each with its decision by the leader of the partition. */
public enum StoreOperation {
  /**
   * Replaces the configuration: first is its version, second 1 if a route uses session affinity,
   * body its compressed bytes. The answer's first is 0 if nothing changes because this or a later
   * version is stored. Status 409 if the version was taken by another configuration.
   */
  CONFIGURATION_REPLACE(StoredValues.Kind.CONFIGURATION) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final StoredConfiguration configuration = (StoredConfiguration) value;
      return configuration != null && call.first <= configuration.version
          ? register.takenVersions.decide(configuration, call)
          : Decision.write(
              new StoredConfiguration(
                  call.first,
                  call.body,
                  call.origin == null ? null : call.origin.configurationSummary,
                  call.second == 1,
                  TakenVersions.contentDigest(call)),
              null,
              call.first);
    }
  },
  /** Reads the configuration: first is its version, body its compressed bytes. */
  CONFIGURATION_READ(StoredValues.Kind.CONFIGURATION) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }

    @Override
    Decision read(final Object value, final StoreRequest call) {
      final StoredConfiguration configuration = (StoredConfiguration) value;
      return configuration == null
          ? Decision.reply(404, 0, null)
          : Decision.reply(200, configuration.version, configuration.compressedBody);
    }
  },
  /**
   * Begins (first is 1) or finishes (0) the evacuation of a site, under the ticket second; status
   * 410 if another order was decided since the ticket was issued.
   */
  EVACUATE(StoredValues.Kind.EVACUATION) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final Evacuation evacuation = value == null ? new Evacuation(false, 0) : (Evacuation) value;
      if (call.callerIncarnation != 0 && call.second != register.ticket()) {
        return Decision.confirm(410, 0);
      }
      register.ticketCount++;
      final boolean wanted = call.first == 1;
      return evacuation.on == wanted
          ? Decision.confirm(200, evacuation.serial)
          : Decision.write(
              new Evacuation(wanted, evacuation.serial + 1), null, evacuation.serial + 1);
    }
  },
  /**
   * Writes a trial (body) if the stored one has the serial first; a verdict of the same trial is
   * never lowered, so a trial on hold is not reopened.
   */
  TRIAL_WRITE(StoredValues.Kind.TRIAL) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
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
   * Purges an object (owner its host, body its path) or a label (owner null, body the label) from
   * all caches.
   */
  PURGE(StoredValues.Kind.PURGES) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final weldpoint.transport.CacheMessages.Purges before =
          value == null
              ? new weldpoint.transport.CacheMessages.Purges(0, 0, List.of())
              : (weldpoint.transport.CacheMessages.Purges) value;
      final String target = new String(call.body, java.nio.charset.StandardCharsets.UTF_8);
      final long serial = before.lastSerial + 1;
      final List<weldpoint.transport.CacheMessages.Purge> purges =
          new ArrayList<>(weldpoint.transport.Protocol.emptyIfNull(before.purges));
      purges.add(
          call.owner == null
              ? new weldpoint.transport.CacheMessages.Purge(serial, null, null, target)
              : new weldpoint.transport.CacheMessages.Purge(serial, call.owner, target, null));
      while (purges.size() > MAX_PURGES) {
        purges.remove(0);
      }
      return Decision.write(
          new weldpoint.transport.CacheMessages.Purges(purges.get(0).serial - 1, serial, purges),
          null,
          serial);
    }
  },
  /** Writes a region's electorate (body), who elects its leader, if its serial is the next. */
  ELECTORATE(StoredValues.Kind.ELECTORATE) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final weldpoint.transport.RegionMessages.Electorate before =
          (weldpoint.transport.RegionMessages.Electorate) value;
      final weldpoint.transport.RegionMessages.Electorate next =
          Serializer.deserialize(call.body, weldpoint.transport.RegionMessages.Electorate.class);
      final long serial = before == null ? 0 : before.revision;
      return next.revision == serial + 1
          ? Decision.write(next, null, next.revision)
          : Decision.confirm(412, serial);
    }
  },
  /**
   * Waits for control state newer than the configuration version first and the sum of the other
   * serials second.
   */
  CONTROL(StoredValues.Kind.CONFIGURATION) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }
  },
  /** Acquires a lock for first milliseconds. */
  LOCK_BEGIN(StoredValues.Kind.LOCK) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final Lock lock = value == null ? new Lock("", 0, 0) : (Lock) value;
      if (!lock.owner.isEmpty() && now < register.expiresAt) {
        if (!lock.owner.equals(call.owner)) {
          return Decision.confirm(409, 0);
        }
        return extend(register, lock, call, now);
      }
      register.ticketCount++;
      register.expiresAt = RegisterState.lockExpiry(now, call.first);
      return Decision.write(new Lock(call.owner, lock.fence + 1, call.first), null, lock.fence + 1);
    }
  },
  /** Renews the lock with fencing token second for first milliseconds. */
  LOCK_HEARTBEAT(StoredValues.Kind.LOCK) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final Lock lock = (Lock) value;
      if (lock == null
          || !lock.owner.equals(call.owner)
          || lock.fence != call.second
          || now >= register.expiresAt) {
        return Decision.confirm(409, 0);
      }
      return extend(register, lock, call, now);
    }
  },
  /**
   * Issues a ticket for releasing a lock: it is void once the lock has been granted or renewed
   * again.
   */
  LOCK_TICKET(StoredValues.Kind.LOCK) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      return Decision.confirm(200, register.ticket());
    }
  },
  /** Releases the lock with fencing token second, under the ticket first. */
  LOCK_FINISH(StoredValues.Kind.LOCK) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final Lock lock = (Lock) value;
      if (call.first != register.ticket()) {
        return Decision.confirm(410, 0);
      }
      return lock == null || !lock.owner.equals(call.owner) || lock.fence != call.second
          ? Decision.confirm(200, 0)
          : Decision.write(new Lock("", lock.fence, 0), null, lock.fence);
    }
  },
  /** Returns the next number of a sequence. */
  NUMBER(StoredValues.Kind.NUMBER) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final long next = value == null ? 1 : ((StoredValues.Number) value).value + 1;
      return Decision.write(new StoredValues.Number(next), null, next);
    }
  },
  /**
   * Puts a value (in owner) under a key (in body); first is the revision that the key must have, -1
   * for any.
   */
  CELL_REPLACE(StoredValues.Kind.GROUP) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final CellGroup group = value == null ? CellGroup.EMPTY : (CellGroup) value;
      final String name = new String(call.body, java.nio.charset.StandardCharsets.UTF_8);
      final Put before = group.findPut(name, call.owner);
      if (before != null) {
        return Decision.confirm(200, before.revision);
      }
      final Put present = group.cells.get(name);
      final long revision = present == null ? 0 : present.revision;
      if (call.first >= 0 && call.first != revision) {
        return Decision.confirm(412, revision);
      }
      final Put put = new Put(name, call.owner, group.revision + 1);
      return Decision.write(
          group.with(List.of(put), register.historyFloor(now)), put, put.revision);
    }
  },
  /** Reads the value of a key (in body). */
  CELL_READ(StoredValues.Kind.GROUP) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }

    @Override
    Decision read(final Object value, final StoreRequest call) {
      final CellGroup group = value == null ? CellGroup.EMPTY : (CellGroup) value;
      final Put put =
          group.cells.get(new String(call.body, java.nio.charset.StandardCharsets.UTF_8));
      return put == null
          ? Decision.reply(404, 0, null)
          : Decision.reply(
              200, put.revision, put.value.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
  },
  /** Waits up to second milliseconds for puts above revision first. */
  WATCH(StoredValues.Kind.GROUP) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
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
      return Decision.reply(
          200,
          group.revision,
          Serializer.serialize(new StoredValues.WatchEvents(List.of(), group.revision)));
    }
  },
  /**
   * Returns the end of the history of routing changes: the answer's first is the last decided
   * entry, its body that entry's digest.
   */
  HISTORY_HEAD(StoredValues.Kind.AUDIT) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }
  },
  /** Reads at most second history entries from first on; any replica answers, leader or not. */
  HISTORY_READ(StoredValues.Kind.AUDIT) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      return Decision.read();
    }
  },
  /**
   * Writes a service's placement (body), the upstreams its callers are spread over, if its serial
   * follows the stored one.
   */
  PLACEMENT_WRITE(StoredValues.Kind.PLACEMENT) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final PlacementMessages.Placement next =
          Serializer.deserialize(call.body, PlacementMessages.Placement.class);
      final long serial = value == null ? 0 : ((PlacementMessages.Placement) value).serial;
      return next.serial == serial + 1
          ? Decision.write(next, null, next.serial)
          : Decision.confirm(412, serial);
    }
  },
  /** Writes which registry owns placements (body), if its serial follows the stored one. */
  PLACEMENT_OWNER_WRITE(StoredValues.Kind.PLACEMENT_OWNER) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final PlacementMessages.PlacementOwner next =
          Serializer.deserialize(call.body, PlacementMessages.PlacementOwner.class);
      final long serial = value == null ? 0 : ((PlacementMessages.PlacementOwner) value).serial;
      return next.serial == serial + 1
          ? Decision.write(next, null, next.serial)
          : Decision.confirm(412, serial);
    }
  },
  /**
   * Issues a ticket for ordering a site's evacuation: it is void once any order for the site was
   * decided, or once the partition has a new leader.
   */
  EVACUATION_TICKET(StoredValues.Kind.EVACUATION) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      return Decision.confirm(200, register.ticket());
    }
  },
  /**
   * Writes the key assignment of a partitioned service (body), if its serial follows the stored
   * one. Only a registry that knows the latest assignment can write, so a change by one with an
   * outdated assignment never takes effect.
   */
  OWNERSHIP_WRITE(StoredValues.Kind.OWNERSHIP) {
    @Override
    Decision decide(
        final RegisterState register, final Object value, final StoreRequest call, final long now) {
      final OwnershipMessages.Assignment next =
          Serializer.deserialize(call.body, OwnershipMessages.Assignment.class);
      final long serial = value == null ? 0 : ((OwnershipMessages.Assignment) value).serial;
      return next.serial == serial + 1
          ? Decision.write(next, null, next.serial)
          : Decision.confirm(412, serial);
    }
  };

  private static final int MAX_PURGES = 200;
  private static final StoreOperation[] ALL = values();
  private final StoredValues.Kind kind;

  StoreOperation(final StoredValues.Kind kind) {
    this.kind = kind;
  }

  /** The operation with this number; null if there is none. */
  public static StoreOperation of(final int number) {
    return number < 0 || number >= ALL.length ? null : ALL[number];
  }

  /** The name of the register that a request for this operation concerns. */
  public String register(final String identifier) {
    return kind == StoredValues.Kind.CONFIGURATION
            || kind == StoredValues.Kind.PURGES
            || kind == StoredValues.Kind.AUDIT
            || kind == StoredValues.Kind.PLACEMENT_OWNER
        ? kind.register("")
        : kind.register(identifier);
  }

  /**
   * Whether carrying out a late copy of a request would change something again, so that copies must
   * be recognized by caller and number.
   */
  boolean needsDeduplication() {
    return this == LOCK_BEGIN || this == NUMBER || this == PURGE;
  }

  abstract Decision decide(RegisterState register, Object value, StoreRequest call, long now);

  Decision read(final Object value, final StoreRequest call) {
    throw new IllegalStateException(this + " is not a read operation");
  }

  private static Decision extend(
      final RegisterState register, final Lock lock, final StoreRequest call, final long now) {
    register.ticketCount++;
    register.expiresAt = Math.max(register.expiresAt, RegisterState.lockExpiry(now, call.first));
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
    return Decision.reply(
        200,
        group.revision,
        Serializer.serialize(new StoredValues.WatchEvents(events, group.revision)));
  }
}
