package weldpoint.registry;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** One decoded call. */
interface ControlCommand {
  /**
   * Runs on the control thread.
   *
   * @param now the steady clock, in milliseconds
   * @param waits whether the caller still waits for the answer
   */
  CompletableFuture<ControlReply> run(long now, BooleanSupplier waits);

  /** What becomes of it where this daemon is cut off. */
  default CutOff cutOff() {
    return CutOff.NOT_RUN;
  }

  /** What becomes of a call where this daemon knows itself to be cut off from a majority. */
  enum CutOff {
    /** It is not run, and gets no clear answer. */
    NOT_RUN,
    /** It is run for what it tells, which binds nobody, but gets no clear answer. */
    RUN_UNANSWERED,
    /** It is answered: the answer itself says how much is known. */
    ANSWERED
  }

  /** A call with another fate where this daemon is cut off. */
  record Fated(ControlCommand command, CutOff cutOff) implements ControlCommand {
    @Override
    public CompletableFuture<ControlReply> run(final long now, final BooleanSupplier waits) {
      return command.run(now, waits);
    }
  }
}
