package weldpoint.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.transport.Protocol;
import weldpoint.transport.TrialMessages;
import weldpoint.transport.TrialMessages.Trial;
import weldpoint.transport.TrialMessages.TrialCounts;

/**
 * A switchboard's side of trials: which version a request goes to, what became of it, and holding
 * back at once on its own evidence. It knows neither threads nor clocks.
 */
public final class TrialTracker {
  private static final int MOST_KEPT = 20_000;

  /** How a write ended. */
  public enum WriteOutcome {
    /** The upstream answered clearly. */
    CONFIRMED,
    /** It was sent, and no clear answer came. */
    LOST,
    /** It surely did not run. */
    UNSENT,
  }

  private static final class TrialState {
    Trial trial;
    final long[] counts = TrialCounter.none();
    final Map<Long, Boolean> sent = new LinkedHashMap<>();
    final Set<Long> answered = new HashSet<>();
    final List<Long> unreported = new ArrayList<>();
    String hold;
    final List<String> attempts = new ArrayList<>();
  }

  private final String board;
  private final long incarnation;
  private final Map<String, TrialState> pages = new HashMap<>();
  private long mark = -1;
  private Runnable alarm = () -> {};

  /** A book of the switchboard with this address and incarnation. */
  public TrialTracker(final String board, final long incarnation) {
    this.board = board;
    this.incarnation = incarnation;
  }

  /** Runs this as soon as something has to be reported at once. */
  public void alarm(final Runnable given) {
    alarm = given;
  }

  /** Takes the trials in force; older ones than those known change nothing. */
  public void take(final List<Trial> trials, final long given) {
    if (given <= mark) {
      return;
    }
    mark = given;
    final Set<String> there = new HashSet<>();
    for (final Trial trial : trials) {
      there.add(trial.route);
      TrialState page = pages.get(trial.route);
      if (page == null || page.trial.number != trial.number) {
        page = new TrialState();
        pages.put(trial.route, page);
      }
      if (page.trial == null || trial.serial > page.trial.serial) {
        if (page.trial != null && page.trial.stage != trial.stage) {
          page.counts[TrialCounter.STAGE_CONFIRMED.ordinal()] = 0;
        }
        page.trial = trial;
        page.counts[TrialCounter.STAGE.ordinal()] = trial.stage;
      }
    }
    pages.keySet().retainAll(there);
  }

  /** Whether no trial concerns anything; what is asked otherwise costs nothing then. */
  public boolean idle() {
    return pages.isEmpty();
  }

  /** Whether a route is under trial. */
  public boolean covers(final String route) {
    final TrialState page = pages.get(route);
    return page != null && TrialVerdict.of(page.trial) != TrialVerdict.FINISHED;
  }

  /**
   * The service for a request on a route under trial. The spec's own choice stands where it is
   * neither of the two versions; between the two, the stage decides, and the token in the
   * rehearsal.
   */
  public String choose(
      final String route, final String chosen, final String token, final double chance) {
    final TrialState page = pages.get(route);
    if (page == null) {
      return chosen;
    }
    final Trial trial = page.trial;
    if (!covers(route) || !chosen.equals(trial.oldService) && !chosen.equals(trial.newService)) {
      return chosen;
    }
    if (page.hold != null || TrialVerdict.of(trial) == TrialVerdict.HELD) {
      return trial.oldService;
    }
    if (token != null && !trial.token.isEmpty() && trial.token.equals(token)) {
      TrialCounter.NEW_REHEARSED.more(page.counts);
      return trial.newService;
    }
    return chance * 100 < Protocol.emptyIfNull(trial.stages).get(trial.stage)
        ? trial.newService
        : trial.oldService;
  }

  private static long digest(final String attempt) {
    long hash = 0xcbf29ce484222325L;
    for (int index = 0; index < attempt.length(); index++) {
      hash = (hash ^ attempt.charAt(index)) * 0x100000001b3L;
    }
    return hash ^ hash >>> 29;
  }

  private TrialState page(final String route, final String service) {
    final TrialState page = covers(route) ? pages.get(route) : null;
    return page != null
            && (service.equals(page.trial.newService) || service.equals(page.trial.oldService))
        ? page
        : null;
  }

  /** A write goes to one of the two versions. */
  public void sent(final String route, final String service, final String attempt) {
    final TrialState page = page(route, service);
    if (page == null) {
      return;
    }
    final boolean fresh = service.equals(page.trial.newService);
    (fresh ? TrialCounter.NEW_SENT : TrialCounter.OLD_SENT).more(page.counts);
    final long digest = digest(attempt);
    final Boolean before = page.sent.put(digest, fresh);
    if (page.sent.size() > MOST_KEPT) {
      final Long oldest = page.sent.keySet().iterator().next();
      page.sent.remove(oldest);
      page.answered.remove(oldest);
    }
    if (fresh) {
      page.unreported.add(digest);
    }
    if (before != null) {
      doubled(page, fresh, attempt);
    }
  }

  /** A write has ended at one of the two versions, after so many milliseconds of the target's. */
  public void ended(
      final String route,
      final String service,
      final String attempt,
      final WriteOutcome fate,
      final long took,
      final long target) {
    final TrialState page = page(route, service);
    if (page == null) {
      return;
    }
    final boolean fresh = service.equals(page.trial.newService);
    switch (fate) {
      case CONFIRMED -> {
        (fresh ? TrialCounter.NEW_CONFIRMED : TrialCounter.OLD_CONFIRMED).more(page.counts);
        page.answered.add(digest(attempt));
        if (fresh) {
          TrialCounter.STAGE_CONFIRMED.more(page.counts);
        }
        if (took > target) {
          (fresh ? TrialCounter.NEW_LATE : TrialCounter.OLD_LATE).more(page.counts);
          if (fresh) {
            late(page, attempt);
          }
        }
      }
      case LOST -> {
        (fresh ? TrialCounter.NEW_LOST : TrialCounter.OLD_LOST).more(page.counts);
        if (fresh) {
          hold(page, "lost: a write was sent to " + service + " and no clear answer came", attempt);
        }
      }
      default -> page.sent.remove(digest(attempt));
    }
  }

  /** An answer came for an attempt that had been answered, or is not the one due. */
  public void surplus(final String attempt) {
    final long digest = digest(attempt);
    for (final TrialState page : pages.values()) {
      final Boolean fresh = page.sent.get(digest);
      if (fresh != null && page.answered.contains(digest)) {
        doubled(page, fresh, attempt);
      }
    }
  }

  /** Counts a request of another kind at a service that is on trial. */
  public void other(final String service, final boolean good) {
    for (final TrialState page : pages.values()) {
      if (service.equals(page.trial.oldService)) {
        (good ? TrialCounter.OLD_OTHERS : TrialCounter.OLD_OTHERS_FAILED).more(page.counts);
      } else if (service.equals(page.trial.newService)) {
        (good ? TrialCounter.NEW_OTHERS : TrialCounter.NEW_OTHERS_FAILED).more(page.counts);
      }
    }
  }

  private void doubled(final TrialState page, final boolean fresh, final String attempt) {
    (fresh ? TrialCounter.NEW_DOUBLED : TrialCounter.OLD_DOUBLED).more(page.counts);
    if (fresh) {
      hold(page, "doubled: one attempt was run or answered more than once", attempt);
    }
  }

  private void late(final TrialState page, final String attempt) {
    if (Lateness.tooMany(
        TrialCounter.NEW_LATE.in(page.counts),
        TrialCounter.NEW_CONFIRMED.in(page.counts),
        TrialCounter.OLD_LATE.in(page.counts),
        TrialCounter.OLD_CONFIRMED.in(page.counts),
        page.trial.lateAllowance)) {
      hold(
          page,
          "late: "
              + TrialCounter.NEW_LATE.in(page.counts)
              + " of "
              + TrialCounter.NEW_CONFIRMED.in(page.counts)
              + " writes were late on one switchboard, "
              + TrialCounter.OLD_LATE.in(page.counts)
              + " of "
              + TrialCounter.OLD_CONFIRMED.in(page.counts)
              + " on the old version",
          attempt);
    } else if (page.attempts.size() < 20) {
      page.attempts.add(attempt);
    }
  }

  private void hold(final TrialState page, final String reason, final String attempt) {
    if (page.hold == null) {
      page.hold = reason;
      page.attempts.clear();
    }
    if (page.attempts.size() < 20) {
      page.attempts.add(attempt);
    }
    alarm.run();
  }

  /**
   * What is to be reported; everything ever counted, and the digests since the last report, or all
   * after a new stream.
   */
  public TrialMessages.TrialReport report(final boolean all) {
    if (pages.isEmpty()) {
      return null;
    }
    final List<TrialCounts> tallies = new ArrayList<>();
    final List<Long> digests = new ArrayList<>();
    for (final TrialState page : pages.values()) {
      tallies.add(
          new TrialCounts(
              page.trial.route,
              page.trial.number,
              board,
              incarnation,
              TrialCounter.list(page.counts),
              page.hold,
              new ArrayList<>(page.attempts)));
      if (all) {
        page.sent.forEach(
            (digest, fresh) -> {
              if (fresh) {
                digests.add(digest);
              }
            });
      } else {
        digests.addAll(page.unreported);
      }
      page.unreported.clear();
    }
    return new TrialMessages.TrialReport(false, tallies, digests);
  }

  /** Whether the new version gets anything from this switchboard, besides the rehearsal. */
  public boolean held(final String route) {
    final TrialState page = pages.get(route);
    return page != null && (page.hold != null || TrialVerdict.of(page.trial) == TrialVerdict.HELD);
  }
}
