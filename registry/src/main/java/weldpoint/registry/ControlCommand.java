package weldpoint.registry;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** One decoded control call. */
interface ControlCommand {
  /**
   * Runs on the control thread.
   *
   * @param now the monotonic clock, in milliseconds
   * @param callerWaits whether the caller still waits for the response
   */
  CompletableFuture<ControlReply> run(long now, BooleanSupplier callerWaits);

  /** How the call is handled while this daemon is cut off from the majority. */
  default CutOffPolicy cutOffPolicy() {
    return CutOffPolicy.REJECT;
  }

  /** How a call is handled while this daemon knows that it is cut off from the majority. */
  enum CutOffPolicy {
    /** The call is not run; the caller is redirected or gets 504. */
    REJECT,
    /**
     * The call is run for the information that it carries, which commits to nothing, but the caller
     * is redirected or gets 504.
     */
    RUN_UNCONFIRMED,
    /** The call is run and answered: the response itself says how much is known. */
    RUN
  }

  /** A command with a policy other than the default. */
  record WithCutOffPolicy(ControlCommand command, CutOffPolicy cutOffPolicy)
      implements ControlCommand {
    @Override
    public CompletableFuture<ControlReply> run(final long now, final BooleanSupplier callerWaits) {
      return command.run(now, callerWaits);
    }
  }
}
