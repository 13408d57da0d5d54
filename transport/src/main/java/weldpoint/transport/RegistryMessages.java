package weldpoint.transport;

import java.util.List;

/**
 * Messages between registries, and between a registry and the daemons that subscribe to it:
 * membership, registrations, routing state and contact with a majority.
 */
public final class RegistryMessages {
  private RegistryMessages() {}

  /** The addresses of the proxies of one site; all of them receive the list in the same order. */
  public static final class SiteProxies implements Message {
    public final List<String> addresses;

    public SiteProxies(final List<String> addresses) {
      this.addresses = addresses;
    }
  }

  /** One upstream's registration: a stage of its lifecycle and the time at which it was issued. */
  public static final class Registration {
    public final String id;
    public final String service;
    public final String address;
    public final String site;
    public final String software;
    public final int capacity;
    public final int stage;
    public final long sequence;
    public final long issuedAt;
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
        final long issuedAt,
        final long warmupMillis) {
      this.id = id;
      this.service = service;
      this.address = address;
      this.site = site;
      this.software = software;
      this.capacity = capacity;
      this.stage = stage;
      this.sequence = sequence;
      this.issuedAt = issuedAt;
      this.warmupMillis = warmupMillis;
    }
  }

  /**
   * One proxy or cache daemon as the directory knows it: the version of the configuration and the
   * revision of evacuations and trials that it applies, and for how long it has applied them.
   */
  public static final class DaemonEntry {
    public final String address;
    public final String trafficAddress;
    public final String site;
    public final String region;
    public final long incarnation;
    public final boolean leaving;
    public final long ageMillis;
    public final boolean cacheDaemon;
    public final long version;
    public final long controlRevision;
    public final long appliedForMillis;

    public DaemonEntry(
        final String address,
        final String trafficAddress,
        final String site,
        final String region,
        final long incarnation,
        final boolean leaving,
        final long ageMillis) {
      this(address, trafficAddress, site, region, incarnation, leaving, ageMillis, false);
    }

    public DaemonEntry(
        final String address,
        final String trafficAddress,
        final String site,
        final String region,
        final long incarnation,
        final boolean leaving,
        final long ageMillis,
        final boolean cacheDaemon) {
      this(
          address,
          trafficAddress,
          site,
          region,
          incarnation,
          leaving,
          ageMillis,
          cacheDaemon,
          0,
          0,
          0);
    }

    public DaemonEntry(
        final String address,
        final String trafficAddress,
        final String site,
        final String region,
        final long incarnation,
        final boolean leaving,
        final long ageMillis,
        final boolean cacheDaemon,
        final long version,
        final long controlRevision,
        final long appliedForMillis) {
      this.version = version;
      this.controlRevision = controlRevision;
      this.appliedForMillis = appliedForMillis;
      this.cacheDaemon = cacheDaemon;
      this.address = address;
      this.trafficAddress = trafficAddress;
      this.site = site;
      this.region = region;
      this.incarnation = incarnation;
      this.leaving = leaving;
      this.ageMillis = ageMillis;
    }
  }

  /**
   * Anti-entropy between two registries. While the digests agree, only ages are sent, in the order
   * of names; otherwise only the registrations of the buckets that differ are sent.
   */
  public static final class Gossip implements Message {
    public final int depth;
    public final long digest;
    public final StateStoreMessages.Roster roster;
    public final List<String> members;
    public final List<Registration> registrations;
    public final List<DaemonEntry> daemons;
    public final List<String> heartbeatIds;
    public final List<Long> heartbeatAges;
    public final long version;
    public final long controlRevision;
    public final long appliedForMillis;
    public final long rosterNumber;
    public final int registrationCount;
    public final byte[] packedHeartbeatAges;
    public final long daemonDigest;
    public final byte[] packedDaemonAges;
    public final List<Long> bucketDigests;
    public final byte[] packedRegistrations;
    public final String site;
    public final String region;

    public Gossip(
        final int depth,
        final long digest,
        final StateStoreMessages.Roster roster,
        final List<String> members,
        final List<Registration> registrations,
        final List<DaemonEntry> daemons,
        final List<String> heartbeatIds,
        final List<Long> heartbeatAges) {
      this(
          depth,
          digest,
          roster,
          members,
          registrations,
          daemons,
          heartbeatIds,
          heartbeatAges,
          0,
          0,
          0,
          0,
          0,
          null,
          0,
          null,
          null,
          null,
          "",
          "");
    }

    public Gossip(
        final int depth,
        final long digest,
        final StateStoreMessages.Roster roster,
        final List<String> members,
        final List<Registration> registrations,
        final List<DaemonEntry> daemons,
        final List<String> heartbeatIds,
        final List<Long> heartbeatAges,
        final long version,
        final long controlRevision,
        final long appliedForMillis,
        final long rosterNumber,
        final int registrationCount,
        final byte[] packedHeartbeatAges,
        final long daemonDigest,
        final byte[] packedDaemonAges,
        final List<Long> bucketDigests,
        final byte[] packedRegistrations,
        final String site,
        final String region) {
      this.rosterNumber = rosterNumber;
      this.registrationCount = registrationCount;
      this.packedHeartbeatAges = packedHeartbeatAges;
      this.daemonDigest = daemonDigest;
      this.packedDaemonAges = packedDaemonAges;
      this.bucketDigests = bucketDigests;
      this.packedRegistrations = packedRegistrations;
      this.site = site;
      this.region = region;
      this.version = version;
      this.controlRevision = controlRevision;
      this.appliedForMillis = appliedForMillis;
      this.depth = depth;
      this.digest = digest;
      this.roster = roster;
      this.members = members;
      this.registrations = registrations;
      this.daemons = daemons;
      this.heartbeatIds = heartbeatIds;
      this.heartbeatAges = heartbeatAges;
    }
  }

  /**
   * Changes that are pushed immediately; if the number is not 0, the receiver acknowledges them
   * with a {@link ChangesAck} of that number.
   */
  public static final class Changes implements Message {
    public final long number;
    public final List<Registration> registrations;
    public final List<DaemonEntry> daemons;
    public final long version;
    public final byte[] spec;
    public final List<String> evacuated;
    public final long evacuationRevision;
    public final List<TrialMessages.Trial> trials;
    public final long trialRevision;

    public Changes(
        final long number,
        final List<Registration> registrations,
        final List<DaemonEntry> daemons) {
      this(number, registrations, daemons, 0, null, null, 0, null, 0);
    }

    public Changes(
        final long number,
        final List<Registration> registrations,
        final List<DaemonEntry> daemons,
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationRevision,
        final List<TrialMessages.Trial> trials,
        final long trialRevision) {
      this.evacuated = evacuated;
      this.evacuationRevision = evacuationRevision;
      this.trials = trials;
      this.trialRevision = trialRevision;
      this.version = version;
      this.spec = spec;
      this.number = number;
      this.registrations = registrations;
      this.daemons = daemons;
    }
  }

  /**
   * The changes pushed under this number are on the sender's disk; the sender knows the roster of
   * {@code rosterNumber}.
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
   * A registry asks another for the configuration, evacuations, trials and registrations that it
   * itself lacks. The fields say what the sender has, and for how many milliseconds from now it
   * promises to confirm no change.
   */
  public static final class ControlStateRequest implements Message {
    public final long number;
    public final long rosterNumber;
    public final long version;
    public final long evacuationRevision;
    public final long trialRevision;
    public final List<Long> bucketDigests;
    public final long leaseMillis;

    /** Whether the sender also lacks the claims of idempotency keys. */
    public final boolean includeClaims;

    public ControlStateRequest(
        final long number,
        final long rosterNumber,
        final long version,
        final long evacuationRevision,
        final long trialRevision,
        final List<Long> bucketDigests,
        final long leaseMillis) {
      this(
          number,
          rosterNumber,
          version,
          evacuationRevision,
          trialRevision,
          bucketDigests,
          leaseMillis,
          false);
    }

    /** Creates a request that can also ask for the claims of idempotency keys. */
    public ControlStateRequest(
        final long number,
        final long rosterNumber,
        final long version,
        final long evacuationRevision,
        final long trialRevision,
        final List<Long> bucketDigests,
        final long leaseMillis,
        final boolean includeClaims) {
      this.includeClaims = includeClaims;
      this.leaseMillis = leaseMillis;
      this.number = number;
      this.rosterNumber = rosterNumber;
      this.version = version;
      this.evacuationRevision = evacuationRevision;
      this.trialRevision = trialRevision;
      this.bucketDigests = bucketDigests;
    }
  }

  /**
   * What a registry holds beyond what the requester has; whether it is still learning what was
   * acknowledged before it joined; how long ago it was in contact with a majority; and for how many
   * milliseconds from now it promises to confirm no change, so that the requester may rely on the
   * answer.
   */
  public static final class ControlStateResponse implements Message {
    public final long number;
    public final StateStoreMessages.Roster roster;
    public final boolean learning;
    public final long majorityAgeMillis;
    public final long version;
    public final byte[] spec;
    public final List<String> evacuated;
    public final long evacuationRevision;
    public final List<TrialMessages.Trial> trials;
    public final long trialRevision;
    public final byte[] packedRegistrations;
    public final long leaseMillis;

    /** The claims of idempotency keys; null unless they were asked for. */
    public final List<KeyMessages.Claim> claims;

    public ControlStateResponse(
        final long number,
        final StateStoreMessages.Roster roster,
        final boolean learning,
        final long majorityAgeMillis,
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationRevision,
        final List<TrialMessages.Trial> trials,
        final long trialRevision,
        final byte[] packedRegistrations,
        final long leaseMillis) {
      this(
          number,
          roster,
          learning,
          majorityAgeMillis,
          version,
          spec,
          evacuated,
          evacuationRevision,
          trials,
          trialRevision,
          packedRegistrations,
          leaseMillis,
          null);
    }

    /** Creates a response that includes the claims of idempotency keys. */
    public ControlStateResponse(
        final long number,
        final StateStoreMessages.Roster roster,
        final boolean learning,
        final long majorityAgeMillis,
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationRevision,
        final List<TrialMessages.Trial> trials,
        final long trialRevision,
        final byte[] packedRegistrations,
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
      this.evacuationRevision = evacuationRevision;
      this.trials = trials;
      this.trialRevision = trialRevision;
      this.packedRegistrations = packedRegistrations;
    }
  }

  /**
   * A daemon's report about itself. At the start of a stream it also says, by digests of buckets,
   * which registrations the daemon already has.
   */
  public static final class DaemonReport implements Message {
    public final DaemonEntry entry;
    public final List<Long> bucketDigests;

    public DaemonReport(final DaemonEntry entry) {
      this(entry, null);
    }

    public DaemonReport(final DaemonEntry entry, final List<Long> bucketDigests) {
      this.bucketDigests = bucketDigests;
      this.entry = entry;
    }
  }

  /** The state that proxies need: all of it in the first message of a stream, then changes only. */
  public static final class View implements Message {
    public final long version;
    public final byte[] spec;
    public final boolean hasEvacuations;
    public final List<String> evacuated;
    public final long evacuationRevision;
    public final List<Registration> registrations;
    public final List<String> suspects;
    public final boolean hasSuspects;
    public final int proxyCount;
    public final List<TrialMessages.Trial> trials;
    public final long trialRevision;
    public final byte[] packedRegistrations;

    public View(
        final long version,
        final byte[] spec,
        final boolean hasEvacuations,
        final List<String> evacuated,
        final long evacuationRevision,
        final List<Registration> registrations,
        final boolean hasSuspects,
        final List<String> suspects,
        final int proxyCount,
        final List<TrialMessages.Trial> trials,
        final long trialRevision) {
      this(
          version,
          spec,
          hasEvacuations,
          evacuated,
          evacuationRevision,
          registrations,
          hasSuspects,
          suspects,
          proxyCount,
          trials,
          trialRevision,
          null);
    }

    public View(
        final long version,
        final byte[] spec,
        final boolean hasEvacuations,
        final List<String> evacuated,
        final long evacuationRevision,
        final List<Registration> registrations,
        final boolean hasSuspects,
        final List<String> suspects,
        final int proxyCount,
        final List<TrialMessages.Trial> trials,
        final long trialRevision,
        final byte[] packedRegistrations) {
      this.packedRegistrations = packedRegistrations;
      this.trials = trials;
      this.trialRevision = trialRevision;
      this.version = version;
      this.spec = spec;
      this.hasEvacuations = hasEvacuations;
      this.evacuated = evacuated;
      this.evacuationRevision = evacuationRevision;
      this.registrations = registrations;
      this.hasSuspects = hasSuspects;
      this.suspects = suspects;
      this.proxyCount = proxyCount;
    }
  }

  /**
   * A registry reports how long ago it was in contact with a majority, how many proxies there are,
   * and the other registries with their locations, written as region/site.
   */
  public static final class RegistryStatus implements Message {
    public final long majorityAgeMillis;
    public final int proxyCount;
    public final List<String> members;
    public final List<String> cacheDaemons;
    public final List<String> memberLocations;
    public final long contactAgeMillis;

    /**
     * The time of the sender's monotonic clock, in milliseconds, up to which everything that was
     * acknowledged anywhere has been sent on this stream; null if it is not known.
     */
    public final Long confirmedClockMillis;

    /** When this was sent, in milliseconds of the sender's monotonic clock; null if not given. */
    public final Long sentClockMillis;

    public RegistryStatus(
        final long majorityAgeMillis, final int proxyCount, final List<String> members) {
      this(majorityAgeMillis, proxyCount, members, null, null, majorityAgeMillis);
    }

    public RegistryStatus(
        final long majorityAgeMillis,
        final int proxyCount,
        final List<String> members,
        final List<String> cacheDaemons,
        final List<String> memberLocations) {
      this(
          majorityAgeMillis, proxyCount, members, cacheDaemons, memberLocations, majorityAgeMillis);
    }

    public RegistryStatus(
        final long majorityAgeMillis,
        final int proxyCount,
        final List<String> members,
        final List<String> cacheDaemons,
        final List<String> memberLocations,
        final long contactAgeMillis) {
      this(
          majorityAgeMillis,
          proxyCount,
          members,
          cacheDaemons,
          memberLocations,
          contactAgeMillis,
          null,
          null);
    }

    /** Creates a status with the time up to which this stream is complete, and the sending time. */
    public RegistryStatus(
        final long majorityAgeMillis,
        final int proxyCount,
        final List<String> members,
        final List<String> cacheDaemons,
        final List<String> memberLocations,
        final long contactAgeMillis,
        final Long confirmedClockMillis,
        final Long sentClockMillis) {
      this.sentClockMillis = sentClockMillis;
      this.confirmedClockMillis = confirmedClockMillis;
      this.contactAgeMillis = contactAgeMillis;
      this.memberLocations = memberLocations;
      this.cacheDaemons = cacheDaemons;
      this.majorityAgeMillis = majorityAgeMillis;
      this.proxyCount = proxyCount;
      this.members = members;
    }

    /** Returns this status with its ages increased by the time that it spent in transit. */
    public RegistryStatus withDelay(final long transitMillis) {
      return new RegistryStatus(
          majorityAgeMillis + transitMillis,
          proxyCount,
          members,
          cacheDaemons,
          memberLocations,
          contactAgeMillis + transitMillis,
          confirmedClockMillis,
          sentClockMillis);
    }
  }
}
