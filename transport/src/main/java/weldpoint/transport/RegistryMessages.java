package weldpoint.transport;

import java.util.List;

/**
 * Messages between registries, and between a registry and its proxies: membership, views and reach.
 */
public final class RegistryMessages {
  private RegistryMessages() {}

  /** The switchboards of one site, in an order that all of them are told alike. */
  public static final class SiteProxies implements Message {
    public final List<String> addresses;

    public SiteProxies(final List<String> addresses) {
      this.addresses = addresses;
    }
  }

  /** One upstream's registration: a step of its life, with the time at which it was issued. */
  public static final class Registration {
    public final String id;
    public final String service;
    public final String address;
    public final String site;
    public final String software;
    public final int capacity;
    public final int stage;
    public final long sequence;
    public final long issued;
    public final long warmupMillis;

    public Registration(
        final String id,
        final String service,
        final String address,
        final String site,
        final String software,
        final int capacity,
        final int stage,
        final long sequence,
        final long issued,
        final long warmupMillis) {
      this.id = id;
      this.service = service;
      this.address = address;
      this.site = site;
      this.software = software;
      this.capacity = capacity;
      this.stage = stage;
      this.sequence = sequence;
      this.issued = issued;
      this.warmupMillis = warmupMillis;
    }
  }

  /**
   * One switchboard, or announcer, as the directory knows it: which configuration and which mark of
   * evacuations and trials it has in force, and for how long.
   */
  public static final class DaemonEntry {
    public final String address;
    public final String front;
    public final String site;
    public final String region;
    public final long incarnation;
    public final boolean leaving;
    public final long ageMillis;
    public final boolean announcer;
    public final long version;
    public final long mark;
    public final long heldMillis;

    public DaemonEntry(
        final String address,
        final String front,
        final String site,
        final String region,
        final long incarnation,
        final boolean leaving,
        final long ageMillis) {
      this(address, front, site, region, incarnation, leaving, ageMillis, false);
    }

    public DaemonEntry(
        final String address,
        final String front,
        final String site,
        final String region,
        final long incarnation,
        final boolean leaving,
        final long ageMillis,
        final boolean announcer) {
      this(address, front, site, region, incarnation, leaving, ageMillis, announcer, 0, 0, 0);
    }

    public DaemonEntry(
        final String address,
        final String front,
        final String site,
        final String region,
        final long incarnation,
        final boolean leaving,
        final long ageMillis,
        final boolean announcer,
        final long version,
        final long mark,
        final long heldMillis) {
      this.version = version;
      this.mark = mark;
      this.heldMillis = heldMillis;
      this.announcer = announcer;
      this.address = address;
      this.front = front;
      this.site = site;
      this.region = region;
      this.incarnation = incarnation;
      this.leaving = leaving;
      this.ageMillis = ageMillis;
    }
  }

  /**
   * Reconciles two exchanges. While the digests agree, ages stand alone, in the order of names;
   * where they differ, only the buckets that do travel.
   */
  public static final class Gossip implements Message {
    public final int depth;
    public final long digest;
    public final StateStoreMessages.Roster roster;
    public final List<String> members;
    public final List<Registration> history;
    public final List<DaemonEntry> boards;
    public final List<String> beaten;
    public final List<Long> ages;
    public final long version;
    public final long mark;
    public final long heldMillis;
    public final long rosterNumber;
    public final int count;
    public final byte[] beatAges;
    public final long boardDigest;
    public final byte[] boardAges;
    public final List<Long> buckets;
    public final byte[] packed;
    public final String site;
    public final String region;

    public Gossip(
        final int depth,
        final long digest,
        final StateStoreMessages.Roster roster,
        final List<String> members,
        final List<Registration> history,
        final List<DaemonEntry> boards,
        final List<String> beaten,
        final List<Long> ages) {
      this(
          depth, digest, roster, members, history, boards, beaten, ages, 0, 0, 0, 0, 0, null, 0,
          null, null, null, "", "");
    }

    public Gossip(
        final int depth,
        final long digest,
        final StateStoreMessages.Roster roster,
        final List<String> members,
        final List<Registration> history,
        final List<DaemonEntry> boards,
        final List<String> beaten,
        final List<Long> ages,
        final long version,
        final long mark,
        final long heldMillis,
        final long rosterNumber,
        final int count,
        final byte[] beatAges,
        final long boardDigest,
        final byte[] boardAges,
        final List<Long> buckets,
        final byte[] packed,
        final String site,
        final String region) {
      this.rosterNumber = rosterNumber;
      this.count = count;
      this.beatAges = beatAges;
      this.boardDigest = boardDigest;
      this.boardAges = boardAges;
      this.buckets = buckets;
      this.packed = packed;
      this.site = site;
      this.region = region;
      this.version = version;
      this.mark = mark;
      this.heldMillis = heldMillis;
      this.depth = depth;
      this.digest = digest;
      this.roster = roster;
      this.members = members;
      this.history = history;
      this.boards = boards;
      this.beaten = beaten;
      this.ages = ages;
    }
  }

  /**
   * Changes pushed at once; acknowledged with {@link ChangesAck} under the number if that is not 0.
   */
  public static final class Changes implements Message {
    public final long number;
    public final List<Registration> registrations;
    public final List<DaemonEntry> boards;
    public final long version;
    public final byte[] spec;
    public final List<String> evacuated;
    public final long evacuationMark;
    public final List<TrialMessages.Trial> trials;
    public final long trialMark;

    public Changes(
        final long number, final List<Registration> registrations, final List<DaemonEntry> boards) {
      this(number, registrations, boards, 0, null, null, 0, null, 0);
    }

    public Changes(
        final long number,
        final List<Registration> registrations,
        final List<DaemonEntry> boards,
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationMark,
        final List<TrialMessages.Trial> trials,
        final long trialMark) {
      this.evacuated = evacuated;
      this.evacuationMark = evacuationMark;
      this.trials = trials;
      this.trialMark = trialMark;
      this.version = version;
      this.spec = spec;
      this.number = number;
      this.registrations = registrations;
      this.boards = boards;
    }
  }

  /**
   * Changes pushed under this number are on the sender's disk; it knows the roster of the number
   * given.
   */
  public static final class ChangesAck implements Message {
    public final long number;
    public final long rosterNumber;

    public ChangesAck(final long number) {
      this(number, 0);
    }

    public ChangesAck(final long number, final long rosterNumber) {
      this.number = number;
      this.rosterNumber = rosterNumber;
    }
  }

  /**
   * An exchange asks another for what it holds beyond what the asker has: configuration,
   * evacuations, trials, registrations. It says so what it holds itself, and for how long from now
   * it will confirm no change.
   */
  public static final class ControlStateRequest implements Message {
    public final long number;
    public final long rosterNumber;
    public final long version;
    public final long evacuationMark;
    public final long trialMark;
    public final List<Long> buckets;
    public final long leaseMillis;

    /** Whether the asker lacks the claims of keys as well. */
    public final boolean claimsToo;

    public ControlStateRequest(
        final long number,
        final long rosterNumber,
        final long version,
        final long evacuationMark,
        final long trialMark,
        final List<Long> buckets,
        final long leaseMillis) {
      this(number, rosterNumber, version, evacuationMark, trialMark, buckets, leaseMillis, false);
    }

    /** A question that says whether claims of keys are wanted too. */
    public ControlStateRequest(
        final long number,
        final long rosterNumber,
        final long version,
        final long evacuationMark,
        final long trialMark,
        final List<Long> buckets,
        final long leaseMillis,
        final boolean claimsToo) {
      this.claimsToo = claimsToo;
      this.leaseMillis = leaseMillis;
      this.number = number;
      this.rosterNumber = rosterNumber;
      this.version = version;
      this.evacuationMark = evacuationMark;
      this.trialMark = trialMark;
      this.buckets = buckets;
    }
  }

  /**
   * What an exchange holds beyond what the asker has, whether it still learns what was acknowledged
   * before it came, how long ago it heard of a majority, and for how long from now it will confirm
   * no change, so that the asker may rely on this.
   */
  public static final class ControlStateResponse implements Message {
    public final long number;
    public final StateStoreMessages.Roster roster;
    public final boolean learning;
    public final long majorityAgeMillis;
    public final long version;
    public final byte[] spec;
    public final List<String> evacuated;
    public final long evacuationMark;
    public final List<TrialMessages.Trial> trials;
    public final long trialMark;
    public final byte[] packed;
    public final long leaseMillis;

    /** The claims of keys, for an asker that lacks them. */
    public final List<KeyMessages.Claim> claims;

    public ControlStateResponse(
        final long number,
        final StateStoreMessages.Roster roster,
        final boolean learning,
        final long majorityAgeMillis,
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationMark,
        final List<TrialMessages.Trial> trials,
        final long trialMark,
        final byte[] packed,
        final long leaseMillis) {
      this(
          number,
          roster,
          learning,
          majorityAgeMillis,
          version,
          spec,
          evacuated,
          evacuationMark,
          trials,
          trialMark,
          packed,
          leaseMillis,
          null);
    }

    /** What is held, with the claims of keys. */
    public ControlStateResponse(
        final long number,
        final StateStoreMessages.Roster roster,
        final boolean learning,
        final long majorityAgeMillis,
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationMark,
        final List<TrialMessages.Trial> trials,
        final long trialMark,
        final byte[] packed,
        final long leaseMillis,
        final List<KeyMessages.Claim> claims) {
      this.claims = claims;
      this.leaseMillis = leaseMillis;
      this.number = number;
      this.roster = roster;
      this.learning = learning;
      this.majorityAgeMillis = majorityAgeMillis;
      this.version = version;
      this.spec = spec;
      this.evacuated = evacuated;
      this.evacuationMark = evacuationMark;
      this.trials = trials;
      this.trialMark = trialMark;
      this.packed = packed;
    }
  }

  /**
   * A switchboard tells of itself; at the opening of a stream also, by digests, which registrations
   * it has.
   */
  public static final class DaemonReport implements Message {
    public final DaemonEntry entry;
    public final List<Long> buckets;

    public DaemonReport(final DaemonEntry entry) {
      this(entry, null);
    }

    public DaemonReport(final DaemonEntry entry, final List<Long> buckets) {
      this.buckets = buckets;
      this.entry = entry;
    }
  }

  /** What switchboards need to know: all of it at first, then what has changed. */
  public static final class View implements Message {
    public final long version;
    public final byte[] spec;
    public final boolean evacuationsGiven;
    public final List<String> evacuated;
    public final long evacuationMark;
    public final List<Registration> registrations;
    public final List<String> suspects;
    public final boolean suspectsGiven;
    public final int boards;
    public final List<TrialMessages.Trial> trials;
    public final long trialMark;
    public final byte[] packed;

    public View(
        final long version,
        final byte[] spec,
        final boolean evacuationsGiven,
        final List<String> evacuated,
        final long evacuationMark,
        final List<Registration> registrations,
        final boolean suspectsGiven,
        final List<String> suspects,
        final int boards,
        final List<TrialMessages.Trial> trials,
        final long trialMark) {
      this(
          version,
          spec,
          evacuationsGiven,
          evacuated,
          evacuationMark,
          registrations,
          suspectsGiven,
          suspects,
          boards,
          trials,
          trialMark,
          null);
    }

    public View(
        final long version,
        final byte[] spec,
        final boolean evacuationsGiven,
        final List<String> evacuated,
        final long evacuationMark,
        final List<Registration> registrations,
        final boolean suspectsGiven,
        final List<String> suspects,
        final int boards,
        final List<TrialMessages.Trial> trials,
        final long trialMark,
        final byte[] packed) {
      this.packed = packed;
      this.trials = trials;
      this.trialMark = trialMark;
      this.version = version;
      this.spec = spec;
      this.evacuationsGiven = evacuationsGiven;
      this.evacuated = evacuated;
      this.evacuationMark = evacuationMark;
      this.registrations = registrations;
      this.suspectsGiven = suspectsGiven;
      this.suspects = suspects;
      this.boards = boards;
    }
  }

  /**
   * An exchange tells how long ago it heard of a majority, how many switchboards there are, and of
   * other exchanges with their places, as region/site.
   */
  public static final class RegistryStatus implements Message {
    public final long ageMillis;
    public final int boards;
    public final List<String> members;
    public final List<String> announcers;
    public final List<String> places;
    public final long contactMillis;

    /**
     * The time of the sender's steady clock, in milliseconds, up to which this stream was told all
     * that was acknowledged anywhere; null where that is not known.
     */
    public final Long confirmedClock;

    /** The time of the sender's steady clock at which this was said; null where it is not told. */
    public final Long sentClock;

    public RegistryStatus(final long ageMillis, final int boards, final List<String> members) {
      this(ageMillis, boards, members, null, null, ageMillis);
    }

    public RegistryStatus(
        final long ageMillis,
        final int boards,
        final List<String> members,
        final List<String> announcers,
        final List<String> places) {
      this(ageMillis, boards, members, announcers, places, ageMillis);
    }

    public RegistryStatus(
        final long ageMillis,
        final int boards,
        final List<String> members,
        final List<String> announcers,
        final List<String> places,
        final long contactMillis) {
      this(ageMillis, boards, members, announcers, places, contactMillis, null, null);
    }

    /** The same with the time up to which all that was acknowledged has been told, and with now. */
    public RegistryStatus(
        final long ageMillis,
        final int boards,
        final List<String> members,
        final List<String> announcers,
        final List<String> places,
        final long contactMillis,
        final Long confirmedClock,
        final Long sentClock) {
      this.sentClock = sentClock;
      this.confirmedClock = confirmedClock;
      this.contactMillis = contactMillis;
      this.places = places;
      this.announcers = announcers;
      this.ageMillis = ageMillis;
      this.boards = boards;
      this.members = members;
    }

    /** The same as it is to be taken when it has been under way for so long. */
    public RegistryStatus delayed(final long delayMillis) {
      return new RegistryStatus(
          ageMillis + delayMillis,
          boards,
          members,
          announcers,
          places,
          contactMillis + delayMillis,
          confirmedClock,
          sentClock);
    }
  }
}
