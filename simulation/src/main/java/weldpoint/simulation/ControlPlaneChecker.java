package weldpoint.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What operators and switchboards saw of configurations and evacuations, checked against what was
 * promised. The content of a configuration is named by a tag that is part of it. Each breach is a
 * line.
 */
public final class ControlPlaneChecker {
  /** What became of one content that was sent under a number. */
  private static final class Sent {
    final long firstSentAt;
    final boolean valid;
    long ackedAt = Long.MAX_VALUE;
    boolean refused;
    boolean highest;

    Sent(final long firstSentAt, final boolean valid) {
      this.firstSentAt = firstSentAt;
      this.valid = valid;
    }
  }

  private record Acked(long version, long at) {}

  private record Order(boolean on, long sentAt, long[] endedAt, boolean[] acked) {}

  private final TreeMap<Long, Map<String, Sent>> sent = new TreeMap<>();
  private final Map<Long, String> content = new HashMap<>();
  private final List<Acked> acked = new ArrayList<>();
  private final List<Acked> reads = new ArrayList<>();
  private final Map<String, Long> lives = new HashMap<>();
  private final Map<String, List<Order>> orders = new LinkedHashMap<>();
  private final Set<String> told = new HashSet<>();
  private final List<String> breaches = new ArrayList<>();
  private long highestShown;
  private long firstBreachAt = -1;
  private long answers;

  /** A promise was broken. */
  public void breach(final long at, final String what) {
    if (told.add(what)) {
      firstBreachAt = firstBreachAt < 0 ? at : firstBreachAt;
      breaches.add("at " + at + ": " + what);
    }
  }

  /** All breaches, in the order of time. */
  public List<String> breaches() {
    return breaches;
  }

  /** When the first promise was broken; -1 where none was. */
  public long firstBreachAt() {
    return firstBreachAt;
  }

  /** How many clear answers were taken. */
  public long answers() {
    return answers;
  }

  private static String name(final long version, final String tag) {
    return number(version) + "/" + tag;
  }

  private static String number(final long version) {
    return String.format("%08x", version);
  }

  // ---- configurations

  /** An operator sends a configuration for the first time, or sends one again. */
  public void sent(final long version, final String tag, final boolean valid, final long at) {
    sent.computeIfAbsent(version, key -> new LinkedHashMap<>())
        .computeIfAbsent(tag, key -> new Sent(at, valid));
  }

  /** A configuration was acknowledged with 200. */
  public void acked(final long version, final String tag, final long at) {
    answers++;
    final Sent one = sent.get(version).get(tag);
    if (!one.valid) {
      breach(at, "the invalid configuration " + name(version, tag) + " was acknowledged");
    }
    if (one.refused) {
      breach(at, "configuration " + name(version, tag) + " was acknowledged and refused");
    }
    boolean top = true;
    for (final Map<String, Sent> above : sent.tailMap(version, false).values()) {
      for (final Sent other : above.values()) {
        top &= !other.valid || other.firstSentAt > at;
      }
    }
    one.highest |= top;
    if (one.ackedAt == Long.MAX_VALUE) {
      one.ackedAt = at;
      acked.add(new Acked(version, at));
    }
    sent.get(version)
        .forEach(
            (otherTag, other) -> {
              if (other != one
                  && other.ackedAt != Long.MAX_VALUE
                  && (other.highest || one.highest)) {
                breach(
                    at,
                    "number "
                        + number(version)
                        + " was acknowledged with two contents, "
                        + otherTag
                        + " and "
                        + tag);
              }
            });
    if (one.highest) {
      settle(version, tag, at);
    }
  }

  /** A configuration was refused with a 4xx. */
  public void refused(final long version, final String tag, final int status, final long at) {
    answers++;
    final Sent one = sent.get(version).get(tag);
    one.refused = true;
    if (one.ackedAt != Long.MAX_VALUE) {
      breach(
          at,
          "configuration "
              + name(version, tag)
              + " was refused with "
              + status
              + " though it had been acknowledged");
    }
    if (one.valid && (status != 409 || sent.get(version).size() < 2)) {
      breach(at, "the valid configuration " + name(version, tag) + " was refused with " + status);
    }
    if (tag.equals(content.get(version))) {
      breach(
          at,
          "configuration "
              + name(version, tag)
              + " was refused with "
              + status
              + " though it is in force");
    }
  }

  /** This content is what the number stands for. */
  private void settle(final long version, final String tag, final long at) {
    final String before = content.putIfAbsent(version, tag);
    if (before != null && !before.equals(tag)) {
      breach(
          at, "number " + number(version) + " stands for two contents, " + before + " and " + tag);
    }
    final Sent one = sent.getOrDefault(version, Map.of()).get(tag);
    if (one == null) {
      breach(at, "configuration " + name(version, tag) + " is in force and nobody sent it");
    } else if (one.refused || !one.valid) {
      breach(
          at,
          "configuration "
              + name(version, tag)
              + " is in force though it was "
              + (one.valid ? "refused" : "invalid"));
    }
  }

  /** A configuration was read back. */
  public void read(final long version, final String tag, final long sentAt, final long at) {
    answers++;
    settle(version, tag, at);
    for (final Acked one : acked) {
      if (one.at < sentAt && one.version > version) {
        breach(
            at,
            "a read sent at "
                + sentAt
                + " gave "
                + name(version, tag)
                + " though "
                + number(one.version)
                + " had been acknowledged at "
                + one.at);
      }
    }
    for (final Acked one : reads) {
      if (one.at < sentAt && one.version > version) {
        breach(
            at,
            "a read sent at "
                + sentAt
                + " gave "
                + name(version, tag)
                + " though "
                + number(one.version)
                + " had been read at "
                + one.at);
      }
    }
    reads.add(new Acked(version, at));
  }

  /** A read found no configuration. */
  public void readNothing(final long sentAt, final long at) {
    answers++;
    for (final Acked one : acked) {
      if (one.at < sentAt) {
        breach(
            at,
            "a read sent at "
                + sentAt
                + " found no configuration though "
                + number(one.version)
                + " had been acknowledged at "
                + one.at);
      }
    }
  }

  /** A switchboard has taken a configuration up. */
  public void takenUp(
      final String board,
      final long life,
      final long startedAt,
      final long version,
      final String tag,
      final long at) {
    settle(version, tag, at);
    highestShown = Math.max(highestShown, version);
    final Long before = lives.put(board + "#" + life, version);
    if (before != null && before > version) {
      breach(
          at,
          board
              + " went back from "
              + number(before)
              + " to "
              + name(version, tag)
              + " in one life");
    }
    if (before == null) {
      for (final Acked one : acked) {
        if (one.at < startedAt && one.version > version) {
          breach(
              at,
              "the fresh "
                  + board
                  + ", started at "
                  + startedAt
                  + ", took up "
                  + name(version, tag)
                  + " though "
                  + number(one.version)
                  + " had been acknowledged at "
                  + one.at);
        }
      }
    }
  }

  /** The highest number that was acknowledged. */
  public long highestAcked() {
    return acked.stream().mapToLong(Acked::version).max().orElse(0);
  }

  /**
   * At the end: what was read last must not be behind anything that was acknowledged or in force.
   */
  public void finalRead(final long version, final long at) {
    if (version < highestShown) {
      breach(
          at,
          "the last read gave "
              + number(version)
              + " though a switchboard had "
              + number(highestShown)
              + " in force");
    }
  }

  // ---- evacuations

  /**
   * An operator orders a zone evacuated, or takes that back; the order is told of by its number in
   * the zone.
   */
  public int ordered(final String zone, final boolean on, final long at) {
    final List<Order> list = orders.computeIfAbsent(zone, key -> new ArrayList<>());
    list.add(new Order(on, at, new long[] {Long.MAX_VALUE}, new boolean[1]));
    return list.size() - 1;
  }

  /** The order was acknowledged, or the operator gave it up without a clear answer. */
  public void ended(final String zone, final int order, final boolean ack, final long at) {
    answers += ack ? 1 : 0;
    orders.get(zone).get(order).endedAt[0] = at;
    orders.get(zone).get(order).acked[0] = ack;
  }

  /**
   * The history tells that an order on a zone was decided at this time: it must be one that was
   * under way then.
   */
  public void decided(final String zone, final boolean on, final long at, final long slackMillis) {
    boolean underWay = false;
    for (final Order order : orders.getOrDefault(zone, List.of())) {
      final long until =
          order.acked[0] || order.endedAt[0] == Long.MAX_VALUE
              ? order.endedAt[0]
              : order.endedAt[0] + slackMillis;
      underWay |= order.on == on && order.sentAt <= at && at <= until;
    }
    if (!underWay) {
      breach(
          at,
          "the order "
              + (on ? "begin" : "finish")
              + " on zone "
              + zone
              + " was carried out while no such order was under way");
    }
  }

  /**
   * At the end, long after the last order: the state of a zone must be one that some order of its
   * orders allows.
   */
  public void finalEvacuation(
      final String where,
      final String zone,
      final boolean on,
      final long slackMillis,
      final long at) {
    final List<Order> list = orders.getOrDefault(zone, List.of());
    boolean allowed = list.stream().noneMatch(order -> order.acked[0]) && !on;
    for (final Order last : list) {
      boolean mayBeLast = last.on == on;
      for (final Order other : list) {
        final long until =
            last.acked[0]
                ? last.endedAt[0]
                : last.endedAt[0] == Long.MAX_VALUE
                    ? Long.MAX_VALUE
                    : last.endedAt[0] + slackMillis;
        mayBeLast &= other == last || !other.acked[0] || other.sentAt < until;
      }
      allowed |= mayBeLast;
    }
    if (!allowed) {
      final StringBuilder text = new StringBuilder();
      list.forEach(
          order ->
              text.append(order.on ? " begin " : " finish ")
                  .append(order.sentAt)
                  .append(order.acked[0] ? " acked " : " unclear ")
                  .append(order.endedAt[0]));
      breach(
          at,
          where
              + " has zone "
              + zone
              + (on ? " evacuated" : " not evacuated")
              + ", which no order of its orders allows:"
              + text);
    }
  }
}
