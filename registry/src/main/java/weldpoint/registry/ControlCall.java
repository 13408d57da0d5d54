package weldpoint.registry;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import weldpoint.audit.CanonicalJson;
import weldpoint.audit.ConfigurationSummary;
import weldpoint.common.WeldpointException;
import weldpoint.registry.ControlCommand.CutOff;
import weldpoint.routing.RoutingTable;
import weldpoint.routing.SpecDocument;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.Compression;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.TrialMessages;

/** The calls of the control interface, by their names on the wire. */
enum ControlCall {
  BEAT("instances.heartbeat", CutOff.RUN_UNANSWERED) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.beat(id, ControlServer.read(ControlApi.BEAT, body));
    }
  },
  DEREGISTER("instances.deregister") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          server
              .core()
              .deregister(ControlServer.named(id), server.clock().dayMillis(), now)
              .thenApply(done -> ControlReply.EMPTY);
    }
  },
  SPEC_REPLACE("configuration.replace") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) -> {
        final SpecDocument document = RoutingTable.parse(body);
        final RoutingTable routingTable = RoutingTable.compile(document);
        final byte[] packed = Compression.deflate(body);
        final StoreMessages.ChangeOrigin cause =
            server
                .core()
                .cause(
                    origin.author(),
                    origin.caller(),
                    Compression.deflate(
                        Serializer.serialize(ConfigurationSummary.of(document, body))));
        final boolean tied =
            routingTable.allRoutes().stream().anyMatch(route -> route.affinity != null);
        return server
            .core()
            .replace(
                routingTable.version(),
                tied,
                packed,
                CanonicalJson.digest(body),
                cause,
                ControlServer.CALL_MILLIS,
                now)
            .thenApply(ControlServer::notTaken)
            .thenCompose(
                answer ->
                    answer.status != 200
                        ? CompletableFuture.completedFuture(
                            ControlServer.status(answer, ControlReply.EMPTY))
                        : server
                            .core()
                            .spread(
                                routingTable.version(),
                                answer.first == routingTable.version() ? packed : null,
                                now)
                            .thenApply(done -> ControlReply.EMPTY));
      };
    }
  },
  SPEC_READ("configuration.read") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          server
              .core()
              .call(StoreOperation.SPEC_READ, "", null, 0, 0, null, ControlServer.CALL_MILLIS, now)
              .thenApply(
                  answer ->
                      answer.status == 200
                          ? new ControlReply(200, Compression.inflate(answer.body))
                          : ControlServer.status(
                              answer,
                              ControlReply.problem(
                                  answer.status, "no configuration has been taken yet; send one")));
    }
  },
  EVACUATION_BEGIN("evacuation.begin") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.evacuate(ControlServer.named(id), 1, origin);
    }
  },
  EVACUATION_FINISH("evacuation.finish") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.evacuate(ControlServer.named(id), 0, origin);
    }
  },
  TRIAL_BEGIN("trial.begin") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final ControlApi.TrialRequest order = ControlServer.read(ControlApi.TRIAL_ORDER, body);
      return (now, waits) ->
          server
              .core()
              .trials()
              .begin(
                  ControlServer.named(id),
                  order,
                  server.core().cause(origin.author(), origin.caller(), null),
                  now)
              .thenApply(server::trial);
    }
  },
  TRIAL_ADVANCE("trial.advance") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          server
              .core()
              .trials()
              .advance(
                  ControlServer.named(id),
                  server.core().cause(origin.author(), origin.caller(), null),
                  now)
              .thenApply(server::trial);
    }
  },
  TRIAL_HOLD("trial.hold") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final String reason =
          body.length == 0 ? null : ControlServer.read(ControlApi.TRIAL_ORDER, body).reason();
      return (now, waits) ->
          server
              .core()
              .trials()
              .hold(
                  ControlServer.named(id),
                  reason == null ? "held by an operator" : reason,
                  server.core().cause(origin.author(), origin.caller(), null),
                  now)
              .thenApply(server::trial);
    }
  },
  TRIAL_FINISH("trial.finish") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          server
              .core()
              .trials()
              .finish(
                  ControlServer.named(id),
                  server.core().cause(origin.author(), origin.caller(), null),
                  now)
              .thenApply(server::trial);
    }
  },
  TRIAL_STATUS("trial.status") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) -> {
        ControlServer.named(id);
        return server
            .core()
            .refresh(now)
            .thenApply(
                done -> {
                  for (final TrialMessages.Trial trial : server.core().panel().trials()) {
                    if (trial.route.equals(id)) {
                      return server.trial(trial);
                    }
                  }
                  throw new WeldpointException(
                      WeldpointException.Kind.UNKNOWN_CALL,
                      "no trial is known on route " + id + "; begin one");
                });
      };
    }
  },
  HISTORY_READ("history.read", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final ControlApi.HistoryQuery query =
          body.length == 0
              ? new ControlApi.HistoryQuery(null, null, null, null, null, null, null)
              : ControlServer.read(ControlApi.HISTORY_QUERY, body);
      return (now, waits) ->
          server
              .core()
              .audit()
              .read(query, server.clock().dayMillis(), now)
              .thenApply(answer -> ControlReply.of(200, ControlApi.HISTORY, answer));
    }
  },
  STATUS_READ("status.read", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          CompletableFuture.completedFuture(
              ControlReply.of(200, ControlApi.STATUS, server.core().status(now)));
    }
  },
  HISTORY_REACH("history.reach", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final long sequence = ControlServer.number("of", ControlServer.named(id));
      return (now, waits) ->
          server
              .core()
              .audit()
              .reach(sequence, server.core().inForce(now), server.clock().dayMillis(), now)
              .thenApply(answer -> ControlReply.of(200, ControlApi.REACH, answer));
    }
  },
  RECORD_BEGIN("record.begin", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.record(true);
    }
  },
  RECORD_END("record.end", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.record(false);
    }
  },
  RECORD_STATUS("record.status", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          CompletableFuture.completedFuture(
              ControlReply.of(
                  200, ControlApi.STATE, new ControlApi.State(server.core().recording())));
    }
  },
  RECORD_DRAIN("record.drain", CutOff.ANSWERED) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          CompletableFuture.completedFuture(
              new ControlReply(200, Serializer.serialize(server.core().drain(now))));
    }
  },
  LOCK_BEGIN("locks.begin") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.lock(
          StoreOperation.LOCK_BEGIN,
          ControlServer.named(id),
          ControlServer.read(ControlApi.GRIP, body));
    }
  },
  LOCK_HEARTBEAT("locks.heartbeat") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.lock(
          StoreOperation.LOCK_HEARTBEAT,
          ControlServer.named(id),
          ControlServer.read(ControlApi.GRIP, body));
    }
  },
  LOCK_FINISH("locks.finish") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.finish(ControlServer.named(id), ControlServer.read(ControlApi.GRIP, body));
    }
  },
  CELL_REPLACE("cells.replace") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final ControlApi.CellPut put = ControlServer.read(ControlApi.CELL_PUT, body);
      if (put.value() == null) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE, "a put lacks its value; send value as a string");
      }
      return (now, waits) ->
          server
              .core()
              .call(
                  StoreOperation.CELL_REPLACE,
                  ControlServer.group(ControlServer.named(id)),
                  put.value(),
                  put.enabled() == null ? -1 : put.enabled(),
                  0,
                  id.getBytes(StandardCharsets.UTF_8),
                  ControlServer.CALL_MILLIS,
                  now)
              .thenApply(
                  answer ->
                      ControlServer.status(
                          answer,
                          ControlReply.of(
                              answer.status,
                              ControlApi.REVISION,
                              new ControlApi.Revision(answer.first))));
    }
  },
  CELL_READ("cells.read") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, waits) ->
          server
              .core()
              .call(
                  StoreOperation.CELL_READ,
                  ControlServer.group(ControlServer.named(id)),
                  null,
                  0,
                  0,
                  id.getBytes(StandardCharsets.UTF_8),
                  ControlServer.CALL_MILLIS,
                  now)
              .thenApply(
                  answer ->
                      answer.status == 200
                          ? ControlReply.of(
                              200,
                              ControlApi.CELL,
                              new ControlApi.CellResponse(
                                  new String(answer.body, StandardCharsets.UTF_8), answer.first))
                          : ControlServer.status(
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
    throw new WeldpointException(
        WeldpointException.Kind.UNKNOWN_CALL,
        "the call '" + wire + "' is unknown; see the protocol page for the calls there are");
  }

  /** What becomes of the call where this daemon is cut off. */
  CutOff cutOff() {
    return cutOff;
  }

  /**
   * Decodes a call.
   *
   * @throws weldpoint.common.WeldpointException where it cannot be read, with what to send instead
   */
  abstract ControlCommand decode(ControlServer server, String id, byte[] body, Origin origin);

  /** Who is behind a call: the author it names, and the address it came from. */
  record Origin(String author, String caller) {}
}
