package weldpoint.simulation;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Applications that take locks, ask for numbers, put and read keys, and watch groups, as the pages
 * say.
 */
final class SimulatedApplications {
  private static final Pattern EVENT =
      Pattern.compile("\\{\"name\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"revision\":(\\d+)\\}");
  private static final long HOLD_MILLIS = 1500;
  private static final long PUT_MILLIS = 4000;
  private static final long HISTORY_MILLIS = 20_000;
  private static final long WATCH_MILLIS = 2000;
  private static final Runnable NOTHING = () -> {};

  private record Seen(long after, long revision, List<Long> revisions) {}

  private final ControlPlaneSimulation simulation;
  private final ControlPlaneChecker control;
  private final SequentialModelChecker checker = new SequentialModelChecker();
  private final Random random;
  private final SimulatedClient caller;
  private final Map<String, Long> known = new HashMap<>();
  private final Map<String, TreeMap<Long, String>> acked = new HashMap<>();
  private final Map<String, List<Seen>> seen = new HashMap<>();
  private final Map<String, Long> revisionOf = new HashMap<>();
  private int values;
  private int told;
  private boolean ended;

  SimulatedApplications(
      final ControlPlaneSimulation simulation,
      final ControlPlaneChecker control,
      final Random random,
      final SimulatedClient caller) {
    this.simulation = simulation;
    this.control = control;
    this.random = random;
    this.caller = caller;
  }

  void begin() {
    for (int owner = 0; owner < 3; owner++) {
      final String name = "o" + owner;
      simulation.after(3000 + random.nextInt(1000), () -> take("l" + random.nextInt(2), name));
    }
    simulation.after(3000, this::number);
    simulation.after(3000, this::put);
    simulation.after(3000, this::read);
    simulation.after(3000, () -> watch("g0.", 0, simulation.now()));
    simulation.after(3000, () -> watch("g1.", 0, simulation.now()));
  }

  void end() {
    ended = true;
    for (final Map.Entry<String, List<Seen>> group : seen.entrySet()) {
      final TreeMap<Long, String> puts = acked.getOrDefault(group.getKey(), new TreeMap<>());
      for (final Seen one : group.getValue()) {
        for (final long revision : puts.subMap(one.after, false, one.revision, true).keySet()) {
          if (!one.revisions.contains(revision)) {
            control.breach(
                simulation.now(),
                "a watch of "
                    + group.getKey()
                    + " after "
                    + one.after
                    + " up to "
                    + one.revision
                    + " passed over the put at "
                    + revision);
          }
        }
      }
    }
  }

  long answers() {
    return checker.answers();
  }

  /** Notes when the ledger first found something. */
  private void note() {
    while (told < checker.breaches().size()) {
      control.breach(simulation.now(), checker.breaches().get(told++));
    }
  }

  private void call(
      final String call,
      final String of,
      final String body,
      final long patience,
      final Consumer<SimulatedClient.End> then) {
    caller.call(
        null,
        HttpMethod.POST,
        "/api/rpc?call=" + call + "&of=" + of,
        body,
        SimulatedClient.SILENCE_MILLIS,
        patience,
        NOTHING,
        end -> {
          then.accept(end);
          note();
        });
  }

  // ---- locks

  private void take(final String lock, final String owner) {
    if (ended) {
      return;
    }
    call(
        "locks.begin",
        lock,
        "{\"owner\":\"" + owner + "\",\"holdMs\":" + HOLD_MILLIS + "}",
        3000,
        end -> {
          if (!end.good()) {
            simulation.after(200 + random.nextInt(400), () -> take(lock, owner));
            return;
          }
          final long fence = RequestBodies.number(end.body(), "fenceNumber");
          checker.taken(lock, owner, fence, end.sentAt(), simulation.now(), HOLD_MILLIS);
          hold(lock, owner, fence, end.sentAt() + HOLD_MILLIS, random.nextInt(4));
        });
  }

  private void hold(
      final String lock,
      final String owner,
      final long fence,
      final long until,
      final int renewals) {
    final long rest = until - simulation.now();
    if (rest <= 100) {
      simulation.after(300 + random.nextInt(500), () -> take("l" + random.nextInt(2), owner));
      return;
    }
    if (random.nextInt(8) == 0) {
      simulation.after(rest + random.nextInt(2000), () -> take("l" + random.nextInt(2), owner));
      return;
    }
    simulation.after(
        random.nextInt((int) rest),
        () -> {
          if (renewals > 0) {
            final long sentAt = simulation.now();
            final boolean[] over = new boolean[1];
            caller.call(
                null,
                HttpMethod.POST,
                "/api/rpc?call=locks.heartbeat&of=" + lock,
                "{\"owner\":\""
                    + owner
                    + "\",\"fenceNumber\":"
                    + fence
                    + ",\"holdMs\":"
                    + HOLD_MILLIS
                    + "}",
                SimulatedClient.SILENCE_MILLIS,
                Math.max(1, until - sentAt),
                NOTHING,
                end -> {
                  if (over[0]) {
                    return;
                  }
                  over[0] = true;
                  if (end.good() && simulation.now() < until) {
                    checker.taken(lock, owner, fence, end.sentAt(), simulation.now(), HOLD_MILLIS);
                    note();
                    hold(lock, owner, fence, end.sentAt() + HOLD_MILLIS, renewals - 1);
                  } else {
                    give(lock, owner, fence);
                  }
                });
          } else {
            give(lock, owner, fence);
          }
        });
  }

  private void give(final String lock, final String owner, final long fence) {
    checker.released(lock, owner, fence, simulation.now());
    call(
        "locks.finish",
        lock,
        "{\"owner\":\"" + owner + "\",\"fenceNumber\":" + fence + "}",
        3000,
        end ->
            simulation.after(
                random.nextInt(800),
                () -> take(random.nextBoolean() ? lock : "l" + random.nextInt(2), owner)));
  }

  // ---- numbers

  private void number() {
    if (ended) {
      return;
    }
    final String name = "n" + random.nextInt(3);
    caller.call(
        null,
        HttpMethod.POST,
        "/api/numbers/" + name,
        "{}",
        SimulatedClient.SILENCE_MILLIS,
        3000,
        NOTHING,
        end -> {
          if (end.good()) {
            checker.given(
                "number " + name,
                RequestBodies.number(end.body(), "value"),
                end.sentAt(),
                simulation.now());
            note();
          }
        });
    simulation.after(20 + random.nextInt(150), this::number);
  }

  // ---- keys

  private void put() {
    if (ended) {
      return;
    }
    final String group = "g" + random.nextInt(2) + ".";
    final String key = group + "k" + random.nextInt(3);
    final String value = "v" + ++values;
    final Long revision = known.get(key);
    final String enabled =
        revision == null || random.nextBoolean() ? "" : ",\"enabled\":" + revision;
    call(
        "cells.replace",
        key,
        "{\"value\":\"" + value + "\"" + enabled + "}",
        PUT_MILLIS,
        end -> {
          if (end.good()) {
            final long given = RequestBodies.number(end.body(), "revision");
            checker.put(key, value, given, simulation.now());
            checker.given("group " + group, given, end.firstSentAt(), simulation.now());
            acked.computeIfAbsent(group, name -> new TreeMap<>()).put(given, value);
            known.merge(key, given, Math::max);
            shown(key, value, given);
            if (!enabled.isEmpty() && revision > given) {
              control.breach(
                  simulation.now(),
                  key + " was put at " + given + " on condition of revision " + revision);
            }
          } else if (end.status() == 412) {
            checker.turnedAway(value);
            known.merge(key, RequestBodies.number(end.body(), "revision"), Math::max);
          }
        });
    simulation.after(20 + random.nextInt(200), this::put);
  }

  private void read() {
    if (ended) {
      return;
    }
    final String key = "g" + random.nextInt(2) + ".k" + random.nextInt(3);
    call(
        "cells.read",
        key,
        "",
        3000,
        end -> {
          if (end.good()) {
            final String value = RequestBodies.word(end.body(), "value");
            final long revision = RequestBodies.number(end.body(), "revision");
            checker.read(key, value, revision, end.sentAt());
            known.merge(key, revision, Math::max);
            shown(key, value, revision);
          } else if (end.status() == 404) {
            checker.read(key, null, 0, end.sentAt());
          }
        });
    simulation.after(20 + random.nextInt(200), this::read);
  }

  /** A value is unique: it is shown under one revision. */
  private void shown(final String key, final String value, final long revision) {
    final Long before = revisionOf.putIfAbsent(key + "=" + value, revision);
    if (before != null && before != revision) {
      control.breach(
          simulation.now(),
          key + " shows " + value + " under revisions " + before + " and " + revision);
    }
  }

  private void watch(final String group, final long after, final long givenAt) {
    if (ended) {
      return;
    }
    caller.call(
        null,
        HttpMethod.GET,
        "/api/watch/" + group + "?after=" + after + "&waitMs=" + WATCH_MILLIS,
        "",
        SimulatedClient.SILENCE_MILLIS + WATCH_MILLIS,
        1,
        NOTHING,
        end -> {
          long next = after;
          long since = givenAt;
          if (end.good()) {
            next =
                RequestBodies.number(end.body().substring(end.body().lastIndexOf(']')), "revision");
            since = end.sentAt();
            if (next < after) {
              control.breach(
                  simulation.now(),
                  "a watch of " + group + " after " + after + " ended at " + next);
            }
            final List<Long> revisions = new ArrayList<>();
            final Matcher matcher = EVENT.matcher(end.body());
            while (matcher.find()) {
              final long revision = Long.parseLong(matcher.group(3));
              if (revision <= (revisions.isEmpty() ? after : revisions.get(revisions.size() - 1))
                  || revision > next) {
                control.breach(
                    simulation.now(),
                    "a watch of "
                        + group
                        + " after "
                        + after
                        + " shows revision "
                        + revision
                        + " out of order");
              }
              revisions.add(revision);
              checker.showed(matcher.group(1), matcher.group(2), revision);
              shown(matcher.group(1), matcher.group(2), revision);
            }
            if (after > 0) {
              seen.computeIfAbsent(group, name -> new ArrayList<>())
                  .add(new Seen(after, next, revisions));
            }
          } else if (end.status() == 410) {
            if (simulation.now() - givenAt < HISTORY_MILLIS) {
              control.breach(
                  simulation.now(),
                  "a watch of "
                      + group
                      + " got 410 for revision "
                      + after
                      + ", given "
                      + (simulation.now() - givenAt)
                      + " ms ago");
            }
            next = 0;
          }
          note();
          final long to = next;
          final long at = since;
          simulation.after(end.good() ? 1 : 200, () -> watch(group, to, at));
        });
  }
}
