package weldpoint.registry;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import weldpoint.ownership.Assigner;
import weldpoint.ownership.CallResult;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.Serializer;

/**
 * Carries out what an {@link Assigner} decides: writes assignments to the state store and calls
 * upstreams. Created by {@link RegistryCore}.
 */
final class AssignerEnvironment implements Assigner.Environment {
  private static final long WRITE_TIMEOUT_MILLIS = 900;

  private final StoreClient store;
  private final KeyGrantClient grantClient;
  private final LongSupplier clock;

  AssignerEnvironment(
      final StoreClient store, final KeyGrantClient grantClient, final LongSupplier clock) {
    this.store = store;
    this.grantClient = grantClient;
    this.clock = clock;
  }

  @Override
  public long now() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void write(final Assignment next, final Runnable callback) {
    store
        .call(
            StoreOperation.OWNERSHIP_WRITE,
            next.service,
            null,
            0,
            0,
            Serializer.serialize(next),
            null,
            clock.getAsLong(),
            WRITE_TIMEOUT_MILLIS)
        .whenComplete((response, problem) -> callback.run());
  }

  @Override
  public void grant(
      final KeyRange range, final long sendDeadline, final Consumer<CallResult> callback) {
    grantClient.grant(range, sendDeadline, callback);
  }

  @Override
  public void release(
      final KeyRange range,
      final long sendDeadline,
      final long responseDeadline,
      final Consumer<CallResult> callback) {
    grantClient.release(range, sendDeadline, responseDeadline, callback);
  }
}
