package weldpoint.common;

import com.google.common.flogger.FluentLogger;
import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.concurrent.Executor;

/**
 * Runs commands in order on one thread, which owns the control state. Commands from any thread are
 * queued in a ring buffer of 4096 slots; a caller waits while it is full.
 */
public final class SerialExecutor implements Executor {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private static final class Slot {
    private Runnable command;
  }

  private final Disruptor<Slot> disruptor;

  /** Starts the thread. */
  public SerialExecutor(final String name) {
    disruptor =
        new Disruptor<>(
            Slot::new,
            4096,
            command -> {
              final Thread thread = new Thread(command, name);
              thread.setDaemon(true);
              return thread;
            },
            ProducerType.MULTI,
            new BlockingWaitStrategy());
    disruptor.handleEventsWith(
        (slot, sequence, last) -> {
          final Runnable command = slot.command;
          slot.command = null;
          command.run();
        });
    disruptor.setDefaultExceptionHandler(
        new ExceptionHandler<>() {
          @Override
          public void handleEventException(
              final Throwable problem, final long sequence, final Slot slot) {
            LOGGER.atSevere().withCause(problem).log(
                "a command of the control thread failed; later commands still run");
          }

          @Override
          public void handleOnStartException(final Throwable problem) {
            LOGGER.atSevere().withCause(problem).log("the control thread did not start");
          }

          @Override
          public void handleOnShutdownException(final Throwable problem) {
            LOGGER.atSevere().withCause(problem).log("the control thread did not stop cleanly");
          }
        });
    disruptor.start();
  }

  @Override
  public void execute(final Runnable command) {
    disruptor.publishEvent((slot, sequence, given) -> slot.command = given, command);
  }
}
