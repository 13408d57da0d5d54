package weldpoint.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import weldpoint.common.WeldpointException;
import weldpoint.registry.LifecycleStage;
import weldpoint.registry.RegistrationBuckets;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.Compression;
import weldpoint.transport.KeyMessages;
import weldpoint.transport.Message;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.Assignments;
import weldpoint.transport.PermitMessages;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.Protocol;
import weldpoint.transport.RecordingMessages;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.RegistryMessages.DaemonEntry;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.TrialMessages;

/**
 * The switchboard's side of the stream: it keeps to one exchange, leaves one that is silent or has
 * lost touch with the majority, and never goes back to anything older. It runs on the control
 * thread and knows neither sockets nor clocks.
 */
public final class RegistryClient {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long SILENT_MILLIS = 1100;
  private static final long STALE_MILLIS = 2200;
  private static final long TELL_MILLIS = 500;
  private static final long VIEW_MILLIS = 900;
  private static final long BESIDE_SILENT_MILLIS = 600;
  private static final long BESIDE_ENDED_MILLIS = 300;
  private static final long REFUSED_PAUSE_MILLIS = 150;
  private static final long PATIENT_MILLIS = 3500;
  private static final long NEAR_MILLIS = 4000;
  private static final long STAY_MILLIS = 3000;
  private static final long APPROACH_MILLIS = 4000;
  private static final long GLANCE_MILLIS = 150;
  private static final int LOG_PAUSE_SECONDS = 1;
  private static final long OLD_PROOF_MILLIS = 1500;

  /** What the link does to the world. */
  public interface Environment {
    /** Makes this exchange the one there is a line to. */
    void dial(String address);

    /**
     * Opens one more line, to this exchange, beside the one there is, for {@link
     * RegistryClient#arrived}; false where only one line at a time can be had.
     */
    default boolean approach(final String address) {
      return false;
    }

    /** A registry is down, or said itself that it hears no majority, since so long ago. */
    default void coreUnsettled(final long ageMillis) {}

    /** Closes all lines that were opened beside. */
    default void abandonApproach() {}

    /** Sends over the line, where there is one. */
    void send(Message message);

    /** Tells the traffic thread. */
    void outlook(
        RoutingTable routingTable,
        Map<Registration, Boolean> changes,
        Set<String> evacuated,
        Set<String> suspects,
        int switchboards);

    /** Tells the traffic thread of trials. */
    void trials(List<TrialMessages.Trial> trials, long mark);

    /** Tells what was ended for caches. */
    default void purges(final CacheMessages.Purges purges) {}

    /** Tells how long ago the exchange heard of a majority, and which announcers there are. */
    default void reached(final long ageMillis, final int boards, final List<String> announcers) {}

    /** Tells who may choose the region's chief. */
    default void electorate(final RegionMessages.Electorate electorate) {}

    /** Tells which switchboards share the site. */
    default void neighbours(final List<String> addresses) {}

    /** Tells among which upstreams callers are placed. */
    default void placements(final PlacementMessages.Placements placements) {}

    /** Tells who holds the keys of divided services. */
    default void assignments(final List<Assignment> assignments) {}

    /** A lease on placements was granted or refused. */
    default void leased(final PlacementMessages.LeaseGrant grant) {}

    /** Tells whether to record. */
    default void recording(final RecordingMessages.RecordingState state) {}

    /** An answer to the claim of an idempotency key. */
    default void claimed(final KeyMessages.ClaimResponse answer) {}

    /** An answer to an ask for permits. */
    default void permitted(final PermitMessages.PermitResponse response) {}

    /**
     * All that was acknowledged anywhere before this time of the own steady clock, in milliseconds,
     * has been handed over.
     */
    default void proved(final long provedAt) {}

    /** A new stream has given its first view. */
    void admitted();
  }

  private final Environment environment;
  private final Random random;
  private final DaemonEntry self;
  private final RegistryAddresses addresses;
  private final Map<String, Registration> history = new HashMap<>();
  private String current;
  private long dialledAt;
  private long heardAt;
  private long toldAt;
  private boolean viewed;
  private boolean open;
  private long nearAt;
  private int disappointments;
  private long version;
  private long evacuationMark = -1;
  private long trialMark;
  private long inForceVersion;
  private long inForceMark;
  private long inForceSince;
  private boolean leaving;
  private volatile long moves;
  private long lastProvedAt;
  private String approached;
  private boolean seeking;
  private long approachedAt;

  /** A link for the switchboard that describes itself so. */
  public RegistryClient(
      final DaemonEntry self,
      final List<String> seeds,
      final Random random,
      final Environment environment) {
    this.self = self;
    this.random = random;
    this.environment = environment;
    this.addresses = new RegistryAddresses(self, seeds, random);
  }

  /** Takes another seed list: what is known of exchanges besides stays known. */
  public void seeds(final List<String> given) {
    addresses.add(given);
  }

  /** Begins. */
  public void start(final long now) {
    move(now);
  }

  /** Goes to another exchange, and says why, so that a late configuration can be traced. */
  private void leave(final String reason, final long now) {
    moves = moves + 1;
    LOGGER.atInfo().atMostEvery(LOG_PAUSE_SECONDS, TimeUnit.SECONDS).log(
        "leaves registry %s: %s; heard %s ms ago, dialled %s ms ago, open %s, viewed %s",
        current, reason, now - heardAt, now - dialledAt, open, viewed);
    move(now);
  }

  /** How often this process went to another exchange. */
  public long moves() {
    return moves;
  }

  private void move(final long now) {
    endApproach();
    if (current != null && !viewed) {
      addresses.failed(current, now);
    }
    current = addresses.next(current, null, now);
    dialledAt = now;
    heardAt = now;
    viewed = false;
    open = false;
    nearAt = now + NEAR_MILLIS + random.nextInt((int) NEAR_MILLIS);
    environment.dial(current);
  }

  private void endApproach() {
    seeking = false;
    if (approached != null) {
      approached = null;
      environment.abandonApproach();
    }
  }

  /**
   * Looks for another registry beside the line there is: one more is dialled each time that none
   * has given a view for a while, and the first view wins. A stream that speaks again ends the
   * search: on a full link it is the most likely one to bring the next configuration. False where
   * only one line at a time can be had.
   */
  private boolean seek(final long pauseMillis, final long now) {
    if (seeking && now - approachedAt < pauseMillis) {
      return true;
    }
    final String another = addresses.next(current, approached, now);
    if (!environment.approach(another)) {
      return false;
    }
    if (seeking) {
      addresses.failed(approached, now);
    }
    LOGGER.atInfo().atMostEvery(LOG_PAUSE_SECONDS, TimeUnit.SECONDS).log(
        "dials registry %s beside %s, which is silent for %s ms", another, current, now - heardAt);
    seeking = true;
    approached = another;
    approachedAt = now;
    return true;
  }

  /** What the exchange at a line that was opened beside is told first. */
  public Message greeting(final long now) {
    return new RegistryMessages.DaemonReport(
        state(now), RegistrationBuckets.digests(history.values(), false));
  }

  /**
   * An exchange that was approached has given its first view: its line is the one from now on. The
   * line before was heard until this moment, so that nothing was missed between the two.
   */
  public void arrived(final String address, final RegistryMessages.View view, final long now) {
    LOGGER.atInfo().log(
        "goes from registry %s to %s, %s ms after it dialled one beside",
        current, address, now - approachedAt);
    moves = moves + 1;
    current = address;
    approached = null;
    seeking = false;
    dialledAt = now;
    toldAt = now;
    viewed = false;
    open = true;
    heard(view, now);
  }

  private void tell(final long now) {
    toldAt = now;
    environment.send(new RegistryMessages.DaemonReport(state(now)));
  }

  private DaemonEntry state(final long now) {
    return new DaemonEntry(
        self.address,
        self.front,
        self.site,
        self.region,
        self.incarnation,
        leaving,
        0,
        self.announcer,
        inForceVersion,
        inForceMark,
        now - inForceSince);
  }

  /** The line is there. */
  public void opened(final long now) {
    heardAt = now;
    open = true;
    toldAt = now;
    environment.send(greeting(now));
  }

  /** The line has ended. */
  public void closed(final long now) {
    if (seeking) {
      open = false;
      return;
    }
    leave("the line has ended", now);
  }

  /** The exchange has said something. */
  public void heard(final Message message, final long now) {
    heardAt = now;
    if (seeking && (viewed || message instanceof RegistryMessages.View)) {
      endApproach();
    }
    if (message instanceof RegistryMessages.View) {
      final boolean first = !viewed;
      viewed = true;
      addresses.served(current);
      trialMark = Math.max(trialMark, ((RegistryMessages.View) message).trialMark);
      take((RegistryMessages.View) message);
      if (((RegistryMessages.View) message).trialMark >= 0) {
        environment.trials(
            Protocol.list(((RegistryMessages.View) message).trials),
            ((RegistryMessages.View) message).trialMark);
      }
      if (first) {
        environment.admitted();
      }
    } else if (message instanceof CacheMessages.Purges) {
      environment.purges((CacheMessages.Purges) message);
    } else if (message instanceof RegistryMessages.SiteProxies) {
      environment.neighbours(Protocol.list(((RegistryMessages.SiteProxies) message).addresses));
    } else if (message instanceof PlacementMessages.Placements) {
      environment.placements((PlacementMessages.Placements) message);
    } else if (message instanceof Assignments) {
      environment.assignments(Protocol.list(((Assignments) message).assignments));
    } else if (message instanceof PlacementMessages.LeaseGrant) {
      environment.leased((PlacementMessages.LeaseGrant) message);
    } else if (message instanceof RegionMessages.Electorate) {
      environment.electorate((RegionMessages.Electorate) message);
    } else if (message instanceof RecordingMessages.RecordingState) {
      environment.recording((RecordingMessages.RecordingState) message);
    } else if (message instanceof KeyMessages.ClaimResponse) {
      environment.claimed((KeyMessages.ClaimResponse) message);
    } else if (message instanceof PermitMessages.PermitResponse) {
      environment.permitted((PermitMessages.PermitResponse) message);
    } else if (message instanceof RegistryMessages.RegistryStatus) {
      final RegistryMessages.RegistryStatus reach = (RegistryMessages.RegistryStatus) message;
      environment.reached(reach.ageMillis, reach.boards, Protocol.list(reach.announcers));
      final List<String> members = Protocol.list(reach.members);
      addresses.reachable(members);
      for (int index = 0; index < Protocol.list(reach.places).size(); index++) {
        addresses.place(members.get(index), reach.places.get(index));
      }
      if (!viewed) {
        open = false;
        return;
      }
      environment.outlook(null, Map.of(), null, null, reach.boards);
      if (reach.contactMillis <= STALE_MILLIS) {
        disappointments = 0;
        approach(now);
      } else if (now - Math.max(dialledAt, approachedAt)
          > Math.min(STAY_MILLIS, GLANCE_MILLIS << Math.min(10, disappointments))) {
        disappointments++;
        LOGGER.atInfo().log(
            "registry %s has not heard of a majority for %s ms; trying another",
            current, reach.contactMillis);
        replaceStale(now);
      }
    }
  }

  /**
   * The registry told, on the stream that is heard, that it had given all that was acknowledged
   * before this time of the own clock. One that has not given its first view proves nothing.
   */
  public void proved(final long provedAt, final long now) {
    if (viewed && provedAt > lastProvedAt) {
      if (now - lastProvedAt > OLD_PROOF_MILLIS && lastProvedAt > 0) {
        LOGGER.atInfo().log(
            "proof from registry %s after %s ms without one; it reaches to %s ms ago",
            current, now - lastProvedAt, now - provedAt);
      }
      lastProvedAt = provedAt;
      environment.proved(provedAt);
    }
  }

  /** Dials another registry beside one that is behind; that one is left with the other's view. */
  private void replaceStale(final long now) {
    if (approached != null) {
      addresses.failed(approached, now);
    }
    final String another = addresses.next(current, approached, now);
    if (environment.approach(another)) {
      approached = another;
      approachedAt = now;
    } else {
      move(now);
    }
  }

  /** Moves to a nearer registry once all is calm. */
  private void approach(final long now) {
    if (now < nearAt || approached != null) {
      return;
    }
    nearAt = now + 4 * NEAR_MILLIS;
    final String nearer = addresses.nearer(current);
    if (nearer == null) {
      return;
    }
    if (environment.approach(nearer)) {
      approached = nearer;
      approachedAt = now;
      return;
    }
    addresses.prefer(nearer);
    leave("a nearer one is known", now);
  }

  private void take(final RegistryMessages.View view) {
    RoutingTable routingTable = null;
    if (view.spec != null && view.version > version) {
      try {
        routingTable = RoutingTable.compile(Compression.inflate(view.spec));
        version = view.version;
        LOGGER.atInfo().log(
            "spec %s is in force with %s routes, from %s, dialled %s ms ago",
            Long.toHexString(version), routingTable.routeCount(), current, heardAt - dialledAt);
      } catch (final WeldpointException exception) {
        LOGGER.atSevere().log(
            "spec %s was not taken: %s", Long.toHexString(view.version), exception.getMessage());
      }
    }
    final Map<Registration, Boolean> changes = new java.util.LinkedHashMap<>();
    final List<Registration> given = new ArrayList<>(Protocol.list(view.registrations));
    given.addAll(RegistrationBuckets.unpack(view.packed));
    for (final Registration registration : given) {
      final Registration before = history.get(registration.id);
      if (before == null || LifecycleStage.later(before, registration) != before) {
        history.put(registration.id, registration);
        final boolean open = LifecycleStage.of(registration).open();
        if (before == null && !open) {
          continue;
        }
        changes.put(registration, open);
      }
    }
    Set<String> evacuated = null;
    if (view.evacuationsGiven && view.evacuationMark > evacuationMark) {
      evacuationMark = view.evacuationMark;
      evacuated = new HashSet<>(Protocol.list(view.evacuated));
    }
    environment.outlook(
        routingTable,
        changes,
        evacuated,
        view.suspectsGiven ? new HashSet<>(Protocol.list(view.suspects)) : null,
        view.boards);
  }

  /** Time has passed. */
  public void tick(final long now) {
    if (approached != null && !seeking && now - approachedAt > APPROACH_MILLIS) {
      endApproach();
    }
    if (viewed && now - heardAt > SILENT_MILLIS) {
      if (!seek(BESIDE_SILENT_MILLIS, now)) {
        leave("it is silent", now);
      }
    } else if (!viewed
        && (seeking || resumes(now))
        && seek(open ? BESIDE_SILENT_MILLIS : BESIDE_ENDED_MILLIS, now)) {
      tellInTime(now);
    } else if (now - heardAt > (open && !viewed ? PATIENT_MILLIS : SILENT_MILLIS)
        || !viewed && now - dialledAt > (open ? PATIENT_MILLIS : VIEW_MILLIS)) {
      leave("it gives no view", now);
    } else {
      tellInTime(now);
    }
  }

  private void tellInTime(final long now) {
    if (now - toldAt >= TELL_MILLIS) {
      tell(now);
    }
  }

  /**
   * Whether a proxy that had a stream before should dial more registries beside the one it waits
   * for: what they would give is only what differs.
   */
  private boolean resumes(final long now) {
    return !viewed
        && version > 0
        && now - dialledAt >= (open ? BESIDE_SILENT_MILLIS : BESIDE_ENDED_MILLIS);
  }

  /** The registry said itself that it had heard no majority for so long. */
  public void majorityLost(final long ageMillis) {
    environment.coreUnsettled(ageMillis);
  }

  /** No registry listens at this address, though its machine answers. */
  public void refused(final String address, final long now) {
    environment.coreUnsettled(0);
    addresses.failed(address, now);
    if (address.equals(current) && !viewed && !open) {
      dialledAt = Math.min(dialledAt, now - VIEW_MILLIS + REFUSED_PAUSE_MILLIS);
    }
    if (seeking && address.equals(approached)) {
      approachedAt = Math.min(approachedAt, now - BESIDE_ENDED_MILLIS + REFUSED_PAUSE_MILLIS);
    }
  }

  /** The process will end: clients should go elsewhere. */
  public void leave(final long now) {
    leaving = true;
    tell(now);
  }

  /**
   * The configuration of this version, and evacuations and trials under this mark, have come in
   * force with the traffic thread.
   */
  public void inForce(final long given, final long mark, final long now) {
    if (given != inForceVersion || mark != inForceMark) {
      inForceVersion = given;
      inForceMark = mark;
      inForceSince = now;
      tell(now);
    }
  }

  /** The mark of evacuations and trials that the traffic thread was told of. */
  public long mark() {
    return Math.max(0, evacuationMark) + trialMark;
  }

  /** The version of the spec in force. */
  public long version() {
    return version;
  }
}
