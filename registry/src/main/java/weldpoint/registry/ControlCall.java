package weldpoint.registry;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import weldpoint.audit.CanonicalJson;
import weldpoint.audit.ConfigurationSummary;
import weldpoint.common.Breakdown;
import weldpoint.registry.ControlCommand.CutOff;
import weldpoint.routing.Dialplan;
import weldpoint.routing.SpecDocument;
import weldpoint.statestore.Deed;
import weldpoint.transport.Packing;
import weldpoint.transport.StoreCallMessages;
import weldpoint.transport.TrialMessages;
import weldpoint.transport.Wire;

/** The calls of the control interface, by their names on the wire. */
enum ControlCall {
  BEAT("instances.heartbeat", CutOff.RUN_UNANSWERED) {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return door.beat(id, ControlDoor.read(Calls.BEAT, body));
    }
  },
  DEREGISTER("instances.deregister") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          door.core()
              .deregister(ControlDoor.named(id), door.clock().dayMillis(), now)
              .thenApply(done -> ControlReply.EMPTY);
    }
  },
  SPEC_REPLACE("configuration.replace") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) -> {
        final SpecDocument document = Dialplan.read(body);
        final Dialplan plan = Dialplan.compile(document);
        final byte[] packed = Packing.deflate(body);
        final StoreCallMessages.Cause cause =
            door.core()
                .cause(
                    origin.author(),
                    origin.caller(),
                    Packing.deflate(Wire.bytes(ConfigurationSummary.of(document, body))));
        final boolean tied = plan.all().stream().anyMatch(route -> route.affinity != null);
        return door.core()
            .replace(
                plan.version(),
                tied,
                packed,
                CanonicalJson.digest(body),
                cause,
                ControlDoor.CALL_MILLIS,
                now)
            .thenApply(ControlDoor::notTaken)
            .thenCompose(
                answer ->
                    answer.status != 200
                        ? CompletableFuture.completedFuture(
                            ControlDoor.status(answer, ControlReply.EMPTY))
                        : door.core()
                            .spread(
                                plan.version(), answer.first == plan.version() ? packed : null, now)
                            .thenApply(done -> ControlReply.EMPTY));
      };
    }
  },
  SPEC_READ("configuration.read") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          door.core()
              .call(Deed.SPEC_READ, "", null, 0, 0, null, ControlDoor.CALL_MILLIS, now)
              .thenApply(
                  answer ->
                      answer.status == 200
                          ? new ControlReply(200, Packing.inflate(answer.body))
                          : ControlDoor.status(
                              answer,
                              ControlReply.problem(
                                  answer.status, "no configuration has been taken yet; send one")));
    }
  },
  EVACUATION_BEGIN("evacuation.begin") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return door.evacuate(ControlDoor.named(id), 1, origin);
    }
  },
  EVACUATION_FINISH("evacuation.finish") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return door.evacuate(ControlDoor.named(id), 0, origin);
    }
  },
  TRIAL_BEGIN("trial.begin") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      final Calls.TrialOrder order = ControlDoor.read(Calls.TRIAL_ORDER, body);
      return (now, waits) ->
          door.core()
              .trials()
              .begin(
                  ControlDoor.named(id),
                  order,
                  door.core().cause(origin.author(), origin.caller(), null),
                  now)
              .thenApply(door::trial);
    }
  },
  TRIAL_ADVANCE("trial.advance") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          door.core()
              .trials()
              .advance(
                  ControlDoor.named(id),
                  door.core().cause(origin.author(), origin.caller(), null),
                  now)
              .thenApply(door::trial);
    }
  },
  TRIAL_HOLD("trial.hold") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      final String reason =
          body.length == 0 ? null : ControlDoor.read(Calls.TRIAL_ORDER, body).reason();
      return (now, waits) ->
          door.core()
              .trials()
              .hold(
                  ControlDoor.named(id),
                  reason == null ? "held by an operator" : reason,
                  door.core().cause(origin.author(), origin.caller(), null),
                  now)
              .thenApply(door::trial);
    }
  },
  TRIAL_FINISH("trial.finish") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          door.core()
              .trials()
              .finish(
                  ControlDoor.named(id),
                  door.core().cause(origin.author(), origin.caller(), null),
                  now)
              .thenApply(door::trial);
    }
  },
  TRIAL_STATUS("trial.status") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) -> {
        ControlDoor.named(id);
        return door.core()
            .refresh(now)
            .thenApply(
                done -> {
                  for (final TrialMessages.Trial trial : door.core().panel().trials()) {
                    if (trial.route.equals(id)) {
                      return door.trial(trial);
                    }
                  }
                  throw new Breakdown(
                      Breakdown.Kind.UNKNOWN_CALL,
                      "no trial is known on route " + id + "; begin one");
                });
      };
    }
  },
  HISTORY_READ("history.read", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      final Calls.HistoryQuery query =
          body.length == 0
              ? new Calls.HistoryQuery(null, null, null, null, null, null, null)
              : ControlDoor.read(Calls.HISTORY_QUERY, body);
      return (now, waits) ->
          door.core()
              .audit()
              .read(query, door.clock().dayMillis(), now)
              .thenApply(answer -> ControlReply.of(200, Calls.HISTORY, answer));
    }
  },
  STATUS_READ("status.read", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          CompletableFuture.completedFuture(
              ControlReply.of(200, Calls.STATUS, door.core().status(now)));
    }
  },
  HISTORY_REACH("history.reach", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      final long sequence = ControlDoor.number("of", ControlDoor.named(id));
      return (now, waits) ->
          door.core()
              .audit()
              .reach(sequence, door.core().inForce(now), door.clock().dayMillis(), now)
              .thenApply(answer -> ControlReply.of(200, Calls.REACH, answer));
    }
  },
  RECORD_BEGIN("record.begin", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return door.record(true);
    }
  },
  RECORD_END("record.end", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return door.record(false);
    }
  },
  RECORD_STATUS("record.status", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          CompletableFuture.completedFuture(
              ControlReply.of(200, Calls.STATE, new Calls.State(door.core().recording())));
    }
  },
  RECORD_DRAIN("record.drain", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          CompletableFuture.completedFuture(
              new ControlReply(200, Wire.bytes(door.core().drain(now))));
    }
  },
  LOCK_BEGIN("locks.begin") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return door.lock(Deed.LOCK_BEGIN, ControlDoor.named(id), ControlDoor.read(Calls.GRIP, body));
    }
  },
  LOCK_HEARTBEAT("locks.heartbeat") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return door.lock(
          Deed.LOCK_HEARTBEAT, ControlDoor.named(id), ControlDoor.read(Calls.GRIP, body));
    }
  },
  LOCK_FINISH("locks.finish") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return door.finish(ControlDoor.named(id), ControlDoor.read(Calls.GRIP, body));
    }
  },
  CELL_REPLACE("cells.replace") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      final Calls.CellPut put = ControlDoor.read(Calls.CELL_PUT, body);
      if (put.value() == null) {
        throw new Breakdown(
            Breakdown.Kind.UNREADABLE, "a put lacks its value; send value as a string");
      }
      return (now, waits) ->
          door.core()
              .call(
                  Deed.CELL_REPLACE,
                  ControlDoor.group(ControlDoor.named(id)),
                  put.value(),
                  put.enabled() == null ? -1 : put.enabled(),
                  0,
                  id.getBytes(StandardCharsets.UTF_8),
                  ControlDoor.CALL_MILLIS,
                  now)
              .thenApply(
                  answer ->
                      ControlDoor.status(
                          answer,
                          ControlReply.of(
                              answer.status, Calls.REVISION, new Calls.Revision(answer.first))));
    }
  },
  CELL_READ("cells.read") {
    @Override
    ControlCommand decode(
        final ControlDoor door, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          door.core()
              .call(
                  Deed.CELL_READ,
                  ControlDoor.group(ControlDoor.named(id)),
                  null,
                  0,
                  0,
                  id.getBytes(StandardCharsets.UTF_8),
                  ControlDoor.CALL_MILLIS,
                  now)
              .thenApply(
                  answer ->
                      answer.status == 200
                          ? ControlReply.of(
                              200,
                              Calls.CELL,
                              new Calls.CellAnswer(
                                  new String(answer.body, StandardCharsets.UTF_8), answer.first))
                          : ControlDoor.status(
                              answer,
                              ControlReply.problem(
                                  answer.status, "the key holds nothing; put a value first")));
    }
  };

  private final String wire;
  private final CutOff cutOff;

  ControlCall(final String wire) {
    this(wire, CutOff.NOT_RUN);
  }

  ControlCall(final String wire, final CutOff cutOff) {
    this.wire = wire;
    this.cutOff = cutOff;
  }

  static ControlCall of(final String wire) {
    for (final ControlCall call : values()) {
      if (call.wire.equals(wire)) {
        return call;
      }
    }
    throw new Breakdown(
        Breakdown.Kind.UNKNOWN_CALL,
        "the call '" + wire + "' is unknown; see the protocol page for the calls there are");
  }

  /** What becomes of the call where this daemon is cut off. */
  CutOff cutOff() {
    return cutOff;
  }

  /**
   * Decodes a call.
   *
   * @throws weldpoint.common.Breakdown where it cannot be read, with what to send instead
   */
  abstract ControlCommand decode(ControlDoor door, String id, byte[] body, Origin origin);

  /** Who is behind a call: the author it names, and the address it came from. */
  record Origin(String author, String caller) {}
}
