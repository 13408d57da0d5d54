package weldpoint.registry;

import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import weldpoint.audit.CanonicalJson;
import weldpoint.audit.ConfigurationSummary;
import weldpoint.common.WeldpointException;
import weldpoint.registry.ControlCommand.CutOffPolicy;
import weldpoint.routing.RoutingTable;
import weldpoint.routing.SpecDocument;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.Compression;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.TrialMessages;

/** The calls of the control interface, by their wire names. Used by {@link ControlServer}. */
enum ControlCall {
  HEARTBEAT("instances.heartbeat", CutOffPolicy.RUN_UNCONFIRMED) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.heartbeat(id, ControlServer.parseBody(ControlApi.HEARTBEAT, body));
    }
  },
  DEREGISTER("instances.deregister") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) ->
          server
              .core()
              .deregister(ControlServer.requireId(id), server.clock().wallMillis(), now)
              .thenApply(done -> ControlReply.EMPTY);
    }
  },
  CONFIGURATION_REPLACE("configuration.replace") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) -> {
        final SpecDocument document = RoutingTable.parse(body);
        final RoutingTable routingTable = RoutingTable.compile(document);
        final byte[] packed = Compression.deflate(body);
        final StoreMessages.ChangeOrigin cause =
            server
                .core()
                .changeOrigin(
                    origin.author(),
                    origin.caller(),
                    Compression.deflate(
                        Serializer.serialize(ConfigurationSummary.of(document, body))));
        final boolean affinityUsed =
            routingTable.allRoutes().stream().anyMatch(route -> route.affinity != null);
        return server
            .core()
            .replaceConfiguration(
                routingTable.version(),
                affinityUsed,
                packed,
                CanonicalJson.digest(body),
                cause,
                ControlServer.CALL_TIMEOUT_MILLIS,
                now)
            .thenApply(ControlServer::requireVersionFree)
            .thenCompose(
                response ->
                    response.status != 200
                        ? CompletableFuture.completedFuture(
                            ControlServer.replyFor(response, ControlReply.EMPTY))
                        : server
                            .core()
                            .replicateConfiguration(
                                routingTable.version(),
                                response.first == routingTable.version() ? packed : null,
                                now)
                            .thenApply(done -> ControlReply.EMPTY));
      };
    }
  },
  CONFIGURATION_READ("configuration.read") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) ->
          server
              .core()
              .callStore(
                  StoreOperation.CONFIGURATION_READ,
                  "",
                  null,
                  0,
                  0,
                  null,
                  ControlServer.CALL_TIMEOUT_MILLIS,
                  now)
              .thenApply(
                  response ->
                      response.status == 200
                          ? new ControlReply(200, Compression.inflate(response.body))
                          : ControlServer.replyFor(
                              response,
                              ControlReply.problem(
                                  response.status,
                                  "no configuration has been accepted yet; send one")));
    }
  },
  EVACUATION_BEGIN("evacuation.begin") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.evacuate(ControlServer.requireId(id), 1, origin);
    }
  },
  EVACUATION_FINISH("evacuation.finish") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.evacuate(ControlServer.requireId(id), 0, origin);
    }
  },
  TRIAL_BEGIN("trial.begin") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final ControlApi.TrialRequest request =
          ControlServer.parseBody(ControlApi.TRIAL_REQUEST, body);
      return (now, callerWaits) ->
          server
              .core()
              .trialService()
              .begin(
                  ControlServer.requireId(id),
                  request,
                  server.core().changeOrigin(origin.author(), origin.caller(), null),
                  now)
              .thenApply(server::trialStatus);
    }
  },
  TRIAL_ADVANCE("trial.advance") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) ->
          server
              .core()
              .trialService()
              .advance(
                  ControlServer.requireId(id),
                  server.core().changeOrigin(origin.author(), origin.caller(), null),
                  now)
              .thenApply(server::trialStatus);
    }
  },
  TRIAL_HOLD("trial.hold") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final String reason =
          body.length == 0
              ? null
              : ControlServer.parseBody(ControlApi.TRIAL_REQUEST, body).reason();
      return (now, callerWaits) ->
          server
              .core()
              .trialService()
              .hold(
                  ControlServer.requireId(id),
                  reason == null ? "held by an operator" : reason,
                  server.core().changeOrigin(origin.author(), origin.caller(), null),
                  now)
              .thenApply(server::trialStatus);
    }
  },
  TRIAL_FINISH("trial.finish") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) ->
          server
              .core()
              .trialService()
              .finish(
                  ControlServer.requireId(id),
                  server.core().changeOrigin(origin.author(), origin.caller(), null),
                  now)
              .thenApply(server::trialStatus);
    }
  },
  TRIAL_STATUS("trial.status") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) -> {
        ControlServer.requireId(id);
        return server
            .core()
            .refreshControlState(now)
            .thenApply(
                done -> {
                  for (final TrialMessages.Trial trial :
                      server.core().trialCoordinator().trials()) {
                    if (trial.route.equals(id)) {
                      return server.trialStatus(trial);
                    }
                  }
                  throw new WeldpointException(
                      WeldpointException.Kind.UNKNOWN_CALL,
                      "there is no trial on route " + id + "; begin one");
                });
      };
    }
  },
  HISTORY_READ("history.read", CutOffPolicy.RUN) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final ControlApi.HistoryQuery query =
          body.length == 0
              ? new ControlApi.HistoryQuery(null, null, null, null, null, null, null)
              : ControlServer.parseBody(ControlApi.HISTORY_QUERY, body);
      return (now, callerWaits) ->
          server
              .core()
              .historyReader()
              .read(query, server.clock().wallMillis(), now)
              .thenApply(response -> ControlReply.of(200, ControlApi.HISTORY_RESPONSE, response));
    }
  },
  STATUS_READ("status.read", CutOffPolicy.RUN) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) ->
          CompletableFuture.completedFuture(
              ControlReply.of(200, ControlApi.STATUS_RESPONSE, server.core().status(now)));
    }
  },
  HISTORY_REACH("history.reach", CutOffPolicy.RUN) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final long sequence = ControlServer.parseLong("of", ControlServer.requireId(id));
      return (now, callerWaits) ->
          server
              .core()
              .historyReader()
              .reach(sequence, server.core().appliedStates(now), server.clock().wallMillis(), now)
              .thenApply(response -> ControlReply.of(200, ControlApi.REACH_RESPONSE, response));
    }
  },
  RECORD_BEGIN("record.begin", CutOffPolicy.RUN) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.setRecording(true);
    }
  },
  RECORD_END("record.end", CutOffPolicy.RUN) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.setRecording(false);
    }
  },
  RECORD_STATUS("record.status", CutOffPolicy.RUN) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) ->
          CompletableFuture.completedFuture(
              ControlReply.of(
                  200, ControlApi.STATE, new ControlApi.State(server.core().recordingStatus())));
    }
  },
  RECORD_DRAIN("record.drain", CutOffPolicy.RUN) {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) ->
          CompletableFuture.completedFuture(
              new ControlReply(200, Serializer.serialize(server.core().drainRecording(now))));
    }
  },
  LOCK_BEGIN("locks.begin") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.lock(
          StoreOperation.LOCK_BEGIN,
          ControlServer.requireId(id),
          ControlServer.parseBody(ControlApi.LOCK_REQUEST, body));
    }
  },
  LOCK_HEARTBEAT("locks.heartbeat") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.lock(
          StoreOperation.LOCK_HEARTBEAT,
          ControlServer.requireId(id),
          ControlServer.parseBody(ControlApi.LOCK_REQUEST, body));
    }
  },
  LOCK_FINISH("locks.finish") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return server.finishLock(
          ControlServer.requireId(id), ControlServer.parseBody(ControlApi.LOCK_REQUEST, body));
    }
  },
  CELL_REPLACE("cells.replace") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      final ControlApi.CellPut put = ControlServer.parseBody(ControlApi.CELL_PUT, body);
      if (put.value() == null) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE, "the body lacks value; send value as a string");
      }
      return (now, callerWaits) ->
          server
              .core()
              .callStore(
                  StoreOperation.CELL_REPLACE,
                  ControlServer.cellGroup(ControlServer.requireId(id)),
                  put.value(),
                  put.enabled() == null ? -1 : put.enabled(),
                  0,
                  id.getBytes(StandardCharsets.UTF_8),
                  ControlServer.CALL_TIMEOUT_MILLIS,
                  now)
              .thenApply(
                  response ->
                      ControlServer.replyFor(
                          response,
                          ControlReply.of(
                              response.status,
                              ControlApi.REVISION,
                              new ControlApi.Revision(response.first))));
    }
  },
  CELL_READ("cells.read") {
    @Override
    ControlCommand decode(
        final ControlServer server, final String id, final byte[] body, final Origin origin) {
      return (now, callerWaits) ->
          server
              .core()
              .callStore(
                  StoreOperation.CELL_READ,
                  ControlServer.cellGroup(ControlServer.requireId(id)),
                  null,
                  0,
                  0,
                  id.getBytes(StandardCharsets.UTF_8),
                  ControlServer.CALL_TIMEOUT_MILLIS,
                  now)
              .thenApply(
                  response ->
                      response.status == 200
                          ? ControlReply.of(
                              200,
                              ControlApi.CELL_RESPONSE,
                              new ControlApi.CellResponse(
                                  new String(response.body, StandardCharsets.UTF_8),
                                  response.first))
                          : ControlServer.replyFor(
                              response,
                              ControlReply.problem(
                                  response.status, "the cell has no value; replace it first")));
    }
  };

  private static final Set<ControlCall> WITH_BODY =
      EnumSet.of(
          HEARTBEAT,
          CONFIGURATION_REPLACE,
          TRIAL_BEGIN,
          TRIAL_HOLD,
          HISTORY_READ,
          LOCK_BEGIN,
          LOCK_HEARTBEAT,
          LOCK_FINISH,
          CELL_REPLACE);

  private final String wireName;
  private final CutOffPolicy cutOffPolicy;

  ControlCall(final String wireName) {
    this(wireName, CutOffPolicy.REJECT);
  }

  ControlCall(final String wireName, final CutOffPolicy cutOffPolicy) {
    this.wireName = wireName;
    this.cutOffPolicy = cutOffPolicy;
  }

  static ControlCall of(final String wireName) {
    for (final ControlCall call : values()) {
      if (call.wireName.equals(wireName)) {
        return call;
      }
    }
    throw new WeldpointException(
        WeldpointException.Kind.UNKNOWN_CALL,
        "the call '" + wireName + "' is unknown; see the protocol page for the known calls");
  }

  /** Whether the call has no parameters in its body. */
  boolean ignoresBody() {
    return !WITH_BODY.contains(this);
  }

  /** How the call is handled while this daemon is cut off from the majority. */
  CutOffPolicy cutOffPolicy() {
    return cutOffPolicy;
  }

  /**
   * Decodes a call.
   *
   * @throws weldpoint.common.WeldpointException if the call is malformed; the message says what to
   *     send instead
   */
  abstract ControlCommand decode(ControlServer server, String id, byte[] body, Origin origin);

  /** The origin of a call: the author that its header names, and the address of the caller. */
  record Origin(String author, String caller) {}
}
