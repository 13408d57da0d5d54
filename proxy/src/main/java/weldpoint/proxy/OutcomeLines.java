package weldpoint.proxy;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import weldpoint.common.Boot;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeAnswer;
import weldpoint.transport.KeyMessages.OutcomeAsk;
import weldpoint.transport.Line;
import weldpoint.transport.Message;
import weldpoint.transport.Trunk;

/**
 * Lines by which proxies ask each other what became of a request that holds a key. A line lives for
 * one question: repeats of a key are rare.
 */
final class OutcomeLines {
  private static final int PORT = 4;
  private static final long LEAST_WAIT_MILLIS = 200;
  private static final long CONNECT_MILLIS = 500;

  private final Trunk trunk;
  private final Boot boot;
  private final EventLoopGroup loop;
  private final ProxyContext proxyContext;

  OutcomeLines(
      final Trunk trunk,
      final Boot boot,
      final EventLoopGroup loop,
      final ProxyContext proxyContext) {
    this.trunk = trunk;
    this.boot = boot;
    this.loop = loop;
    this.proxyContext = proxyContext;
  }

  /** Takes the questions of other proxies from now on. */
  void serve() throws InterruptedException {
    trunk.serve(
        boot.address(),
        boot.trunkPort(PORT),
        new Trunk.Ear() {
          @Override
          public void heard(final Line line, final Message message) {
            if (message instanceof OutcomeAsk) {
              answer((OutcomeAsk) message, line::send);
            }
          }
        });
  }

  private void answer(final OutcomeAsk ask, final Consumer<Message> reply) {
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
            reply.accept(new OutcomeAnswer(Outcome.AT_WORK));
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
      final Consumer<OutcomeAnswer> hears) {
    final Question question = new Question(hears);
    question.dialler =
        trunk.dial(
            holder.proxy,
            boot.trunkPort(PORT),
            new Trunk.Ear() {
              @Override
              public void opened(final Line line) {
                question.opened = true;
                line.send(new OutcomeAsk(holder, fingerprint, waitMillis));
              }

              @Override
              public void closed(final Line line) {
                question.over(new OutcomeAnswer(Outcome.UNCERTAIN));
              }

              @Override
              public void heard(final Line line, final Message message) {
                if (message instanceof OutcomeAnswer) {
                  question.over((OutcomeAnswer) message);
                }
              }
            });
    loop.schedule(
        () -> {
          if (!question.opened) {
            question.over(new OutcomeAnswer(Outcome.UNCERTAIN));
          }
        },
        Math.min(waitMillis, CONNECT_MILLIS),
        TimeUnit.MILLISECONDS);
    loop.schedule(
        () -> question.over(new OutcomeAnswer(Outcome.UNCERTAIN)),
        waitMillis,
        TimeUnit.MILLISECONDS);
  }

  private static final class Question {
    private final Consumer<OutcomeAnswer> hears;
    private Trunk.Dialler dialler;
    private boolean opened;
    private boolean over;

    Question(final Consumer<OutcomeAnswer> hears) {
      this.hears = hears;
    }

    void over(final OutcomeAnswer answer) {
      if (!over) {
        over = true;
        dialler.close();
        hears.accept(answer);
      }
    }
  }
}
