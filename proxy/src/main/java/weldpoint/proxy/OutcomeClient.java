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
 * Lines by which proxies ask each other what became of a request that holds a key. A line lives for
 * one question: repeats of a key are rare.
 */
final class OutcomeClient {
  private static final int PORT = 4;
  private static final long LEAST_WAIT_MILLIS = 200;
  private static final long CONNECT_MILLIS = 500;

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

  /** Takes the questions of other proxies from now on. */
  void serve() throws InterruptedException {
    transport.bind(
        settings.address(),
        settings.transportPort(PORT),
        new Transport.Listener() {
          @Override
          public void messageReceived(final Connection connection, final Message message) {
            if (message instanceof OutcomeRequest) {
              answer((OutcomeRequest) message, connection::send);
            }
          }
        });
  }

  private void answer(final OutcomeRequest ask, final Consumer<Message> reply) {
    final boolean[] answered = new boolean[1];
    proxyContext.keys.outcome(
        ask.claim,
        ask.fingerprint,
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
        Math.max(1, ask.waitMillis - LEAST_WAIT_MILLIS),
        TimeUnit.MILLISECONDS);
  }

  /** Asks another proxy; hears exactly once, {@code UNCERTAIN} where it does not answer in time. */
  void ask(
      final Claim holder,
      final long fingerprint,
      final long waitMillis,
      final Consumer<OutcomeResponse> hears) {
    final PendingQuery question = new PendingQuery(hears);
    question.connector =
        transport.connectTo(
            holder.proxy,
            settings.transportPort(PORT),
            new Transport.Listener() {
              @Override
              public void opened(final Connection connection) {
                question.opened = true;
                connection.send(new OutcomeRequest(holder, fingerprint, waitMillis));
              }

              @Override
              public void closed(final Connection connection) {
                question.over(new OutcomeResponse(Outcome.UNCERTAIN));
              }

              @Override
              public void messageReceived(final Connection connection, final Message message) {
                if (message instanceof OutcomeResponse) {
                  question.over((OutcomeResponse) message);
                }
              }
            });
    loop.schedule(
        () -> {
          if (!question.opened) {
            question.over(new OutcomeResponse(Outcome.UNCERTAIN));
          }
        },
        Math.min(waitMillis, CONNECT_MILLIS),
        TimeUnit.MILLISECONDS);
    loop.schedule(
        () -> question.over(new OutcomeResponse(Outcome.UNCERTAIN)),
        waitMillis,
        TimeUnit.MILLISECONDS);
  }

  private static final class PendingQuery {
    private final Consumer<OutcomeResponse> hears;
    private Transport.Connector connector;
    private boolean opened;
    private boolean over;

    PendingQuery(final Consumer<OutcomeResponse> hears) {
      this.hears = hears;
    }

    void over(final OutcomeResponse answer) {
      if (!over) {
        over = true;
        connector.close();
        hears.accept(answer);
      }
    }
  }
}
