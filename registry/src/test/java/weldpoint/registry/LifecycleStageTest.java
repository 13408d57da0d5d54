package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import weldpoint.transport.RegistryMessages.Registration;

/** Merging registrations must not depend on order, grouping or repetition. */
public final class LifecycleStageTest {
  private static Registration randomRegistration(final Random random) {
    return new Registration(
        "i",
        "s",
        "10.0.0." + random.nextInt(2) + ":80",
        "z",
        "v",
        4,
        random.nextInt(4),
        random.nextInt(3),
        random.nextInt(3),
        random.nextInt(2) * 500L);
  }

  @Test
  public void mergingIsCommutativeAssociativeAndIdempotent() {
    final Random random = new Random(5);
    for (int round = 0; round < 2000; round++) {
      final List<Registration> all = new ArrayList<>();
      for (int index = 0; index < 4; index++) {
        all.add(randomRegistration(random));
      }
      final Registration expected = all.stream().reduce(LifecycleStage::later).orElseThrow();
      Collections.shuffle(all, random);
      all.add(all.get(0));
      assertEquals(
          LifecycleStage.compare(
              all.stream().reduce(LifecycleStage::later).orElseThrow(), expected),
          0);
      final Registration left =
          LifecycleStage.later(LifecycleStage.later(all.get(0), all.get(1)), all.get(2));
      final Registration right =
          LifecycleStage.later(all.get(0), LifecycleStage.later(all.get(1), all.get(2)));
      assertEquals(LifecycleStage.compare(left, right), 0);
    }
  }

  @Test
  public void lapsedUpstreamCanRejoinButADrainingOneCannot() {
    final Registration joined =
        new Registration("i", "s", "a:1", "z", "v", 4, LifecycleStage.JOINED.ordinal(), 9, 0, 0);
    final Registration draining =
        new Registration("i", "s", "a:1", "z", "v", 4, LifecycleStage.DRAINING.ordinal(), 3, 0, 0);
    final Registration lapsed =
        new Registration("i", "s", "a:1", "z", "v", 4, LifecycleStage.LAPSED.ordinal(), 8, 0, 0);
    assertSame(LifecycleStage.later(joined, draining), draining);
    assertSame(LifecycleStage.later(lapsed, joined), joined);
  }
}
