package weldpoint.proxy;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import weldpoint.common.Settings;
import weldpoint.transport.Connection;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeRequest;
import weldpoint.transport.KeyMessages.OutcomeResponse;
import weldpoint.transport.Message;
import weldpoint.transport.Transport;

/**
 * Connections by which proxies query each other for the outcome of a request that owns an
 * idempotency key. Each connection serves one query, since duplicates of a key are rare. Used on
 * the traffic thread.
 */
final class OutcomeClient {
  private static final int PORT_INDEX = 4;
  private static final long REPLY_MARGIN_MILLIS = 200;
  private static final long CONNECT_TIMEOUT_MILLIS = 500;

  private final Transport transport;
  private final Settings settings;
  private final EventLoopGroup loop;
  private final ProxyContext proxyContext;

  OutcomeClient(
      final Transport transport,
      final Settings settings,
      final EventLoopGroup loop,
      final ProxyContext proxyContext) {
    this.transport = transport;
    this.settings = settings;
    this.loop = loop;
    this.proxyContext = proxyContext;
  }

  /** Starts to answer the queries of other proxies. */
  void listen() throws InterruptedException {
    transport.bind(
        settings.address(),
        settings.transportPort(PORT_INDEX),
        new Transport.Listener() {
          @Override
          public void messageReceived(final Connection connection, final Message message) {
            if (message instanceof OutcomeRequest) {
              answer((OutcomeRequest) message, connection::send);
            }
          }
        });
  }

  private void answer(final OutcomeRequest request, final Consumer<Message> reply) {
    final boolean[] answered = new boolean[1];
    proxyContext.idempotentRequests.queryOutcome(
        request.claim,
        request.fingerprint,
        outcome -> {
          if (!answered[0]) {
            answered[0] = true;
            reply.accept(outcome);
          }
        });
    loop.schedule(
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            reply.accept(new OutcomeResponse(Outcome.IN_PROGRESS));
          }
        },
        Math.max(1, request.waitMillis - REPLY_MARGIN_MILLIS),
        TimeUnit.MILLISECONDS);
  }

  /**
   * Queries another proxy; the callback is called exactly once, with {@code UNCERTAIN} if there is
   * no answer in time.
   */
  void query(
      final Claim holder,
      final long fingerprint,
      final long waitMillis,
      final Consumer<OutcomeResponse> callback) {
    final PendingQuery pendingQuery = new PendingQuery(callback);
    pendingQuery.connector =
        transport.connectTo(
            holder.proxy,
            settings.transportPort(PORT_INDEX),
            new Transport.Listener() {
              @Override
              public void opened(final Connection connection) {
                pendingQuery.opened = true;
                connection.send(new OutcomeRequest(holder, fingerprint, waitMillis));
              }

              @Override
              public void closed(final Connection connection) {
                pendingQuery.complete(new OutcomeResponse(Outcome.UNCERTAIN));
              }

              @Override
              public void messageReceived(final Connection connection, final Message message) {
                if (message instanceof OutcomeResponse) {
                  pendingQuery.complete((OutcomeResponse) message);
                }
              }
            });
    loop.schedule(
        () -> {
          if (!pendingQuery.opened) {
            pendingQuery.complete(new OutcomeResponse(Outcome.UNCERTAIN));
          }
        },
        Math.min(waitMillis, CONNECT_TIMEOUT_MILLIS),
        TimeUnit.MILLISECONDS);
    loop.schedule(
        () -> pendingQuery.complete(new OutcomeResponse(Outcome.UNCERTAIN)),
        waitMillis,
        TimeUnit.MILLISECONDS);
  }

  private static final class PendingQuery {
    private final Consumer<OutcomeResponse> callback;
    private Transport.Connector connector;
    private boolean opened;
    private boolean complete;

    PendingQuery(final Consumer<OutcomeResponse> callback) {
      this.callback = callback;
    }

    void complete(final OutcomeResponse answer) {
      if (!complete) {
        complete = true;
        connector.close();
        callback.accept(answer);
      }
    }
  }
}
