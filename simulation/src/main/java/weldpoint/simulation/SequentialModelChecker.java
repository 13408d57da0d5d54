package weldpoint.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What callers saw, checked against a sequential model; each breach is a line. */
public final class SequentialModelChecker {
  private record IssuedNumber(long value, long sentAt, long answeredAt) {}

  private record LockHold(String owner, long fence, long from, long until) {}

  private record Put(long revision, long answeredAt) {}

  private final Map<String, List<IssuedNumber>> rising = new HashMap<>();
  private final Map<String, List<LockHold>> grips = new HashMap<>();
  private final Map<String, List<Put>> puts = new HashMap<>();
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, Boolean> refused = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private int answers;

  /**
   * A number, revision or fence was given: unique, and above all that were given before the call
   * was sent.
   */
  public void given(final String name, final long value, final long sentAt, final long answeredAt) {
    answers++;
    final List<IssuedNumber> list = rising.computeIfAbsent(name, key -> new ArrayList<>());
    for (final IssuedNumber before : list) {
      if (before.value == value) {
        breaches.add(name + " gave " + value + " twice");
      } else if (before.answeredAt < sentAt && before.value > value
          || answeredAt < before.sentAt && value > before.value) {
        breaches.add(name + " gave " + value + " though " + before.value + " had been given");
      }
    }
    list.add(new IssuedNumber(value, sentAt, answeredAt));
  }

  /** A lock was taken, for the caller's own count of its time. */
  public void taken(
      final String lock,
      final String owner,
      final long fence,
      final long sentAt,
      final long answeredAt,
      final long hold) {
    final List<LockHold> list = grips.computeIfAbsent(lock, key -> new ArrayList<>());
    final long until = sentAt + hold;
    for (final LockHold before : list) {
      if (before.fence == fence && !before.owner.equals(owner)) {
        breaches.add(lock + " gave fence " + fence + " to two");
      }
      if (!before.owner.equals(owner) && before.from < until && answeredAt < before.until) {
        breaches.add(
            lock
                + " has two holders, "
                + before.owner
                + " (fence "
                + before.fence
                + ", "
                + before.from
                + " to "
                + before.until
                + ") and "
                + owner
                + " (fence "
                + fence
                + ", sent "
                + sentAt
                + ", "
                + answeredAt
                + " to "
                + until
                + ")");
      }
      if (before.fence > fence && before.from < sentAt) {
        breaches.add(lock + " gave fence " + fence + " after " + before.fence);
      }
    }
    if (answeredAt < until) {
      list.add(new LockHold(owner, fence, answeredAt, until));
    }
    answers++;
  }

  /** The caller has begun to give a lock back and no longer counts itself as its holder. */
  public void released(final String lock, final String owner, final long fence, final long at) {
    grips
        .getOrDefault(lock, new ArrayList<>())
        .replaceAll(
            grip ->
                grip.owner.equals(owner) && grip.fence == fence
                    ? new LockHold(owner, fence, grip.from, Math.min(grip.until, at))
                    : grip);
  }

  /** A put was acknowledged. */
  public void put(
      final String key, final String value, final long revision, final long answeredAt) {
    puts.computeIfAbsent(key, name -> new ArrayList<>()).add(new Put(revision, answeredAt));
    shown(key, value, revision);
    answers++;
  }

  /** A put was turned away: its value must never be shown. */
  public void turnedAway(final String value) {
    refused.put(value, true);
  }

  /** A read was answered: not behind any put that was acknowledged before it was sent. */
  public void read(final String key, final String value, final long revision, final long sentAt) {
    answers++;
    for (final Put put : puts.getOrDefault(key, List.of())) {
      if (put.answeredAt < sentAt && put.revision > revision) {
        breaches.add(
            key + " was read at " + revision + " though " + put.revision + " was acknowledged");
      }
    }
    if (value != null) {
      shown(key, value, revision);
    }
  }

  /** A value was shown by a watch. */
  public void showed(final String key, final String value, final long revision) {
    answers++;
    shown(key, value, revision);
  }

  private void shown(final String key, final String value, final long revision) {
    if (refused.containsKey(value)) {
      breaches.add(key + " shows " + value + ", which was turned away");
    }
    final String before = values.put(key + "@" + revision, value);
    if (before != null && !before.equals(value)) {
      breaches.add(key + " shows " + before + " and " + value + " under revision " + revision);
    }
  }

  /** All breaches. */
  public List<String> breaches() {
    return breaches;
  }

  /** How many answers were taken. */
  public int answers() {
    return answers;
  }
}
