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
 * The proxy's side of the control stream: it stays with one registry, leaves one that is silent or
 * has lost contact with the majority, and never accepts older state than it has. The daemons that
 * follow a registry create one and call it on their control thread only. It uses neither sockets
 * nor clocks: the environment connects, and callers pass the steady clock's time in milliseconds.
 */
public final class RegistryClient {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long SILENCE_TIMEOUT_MILLIS = 1100;
  private static final long MAJORITY_STALE_MILLIS = 2200;
  private static final long REPORT_MILLIS = 500;
  private static final long FIRST_VIEW_TIMEOUT_MILLIS = 900;
  private static final long PARALLEL_DIAL_SILENT_MILLIS = 600;
  private static final long PARALLEL_DIAL_CLOSED_MILLIS = 300;
  private static final long REFUSED_RETRY_MILLIS = 150;
  private static final long CONNECTED_VIEW_TIMEOUT_MILLIS = 3500;
  private static final long NEARER_CHECK_MILLIS = 4000;
  private static final long MAX_STALE_STAY_MILLIS = 3000;
  private static final long PARALLEL_DIAL_TIMEOUT_MILLIS = 4000;
  private static final long MIN_STALE_STAY_MILLIS = 150;
  private static final int LOG_INTERVAL_SECONDS = 1;
  private static final long PROOF_GAP_LOG_MILLIS = 1500;

  /** The effects of the client: connections to registries, and updates for the traffic thread. */
  public interface Environment {
    /** Connects to this registry in place of the current one. */
    void dial(String address);

    /**
     * Opens one more connection, to this registry, in addition to the current one, for {@link
     * RegistryClient#switchTo}; false if only one connection at a time is supported.
     */
    default boolean dialParallel(final String address) {
      return false;
    }

    /**
     * Reports that a registry is down, or has stated that it had no contact with a majority for
     * this long.
     */
    default void coreUnsettled(final long ageMillis) {}

    /** Closes all connections opened by {@link #dialParallel}. */
    default void closeParallel() {}

    /** Sends over the current connection, if there is one. */
    void send(Message message);

    /** Passes an update of the control state to the traffic thread; null means unchanged. */
    void controlUpdate(
        RoutingTable routingTable,
        Map<Registration, Boolean> changes,
        Set<String> evacuated,
        Set<String> suspects,
        int proxyCount);

    /** Passes trials to the traffic thread. */
    void trialsChanged(List<TrialMessages.Trial> trials, long version);

    /** Passes cache purges on. */
    default void purges(final CacheMessages.Purges purges) {}

    /**
     * Reports how long ago the registry had contact with a majority, and which cache daemons there
     * are.
     */
    default void registryStatus(
        final long ageMillis, final int proxyCount, final List<String> cacheDaemons) {}

    /** Reports which proxies elect the region leader. */
    default void electorate(final RegionMessages.Electorate electorate) {}

    /** Reports the proxies of the same site. */
    default void siteProxies(final List<String> addresses) {}

    /** Reports the upstreams among which callers with affinity are placed. */
    default void placements(final PlacementMessages.Placements placements) {}

    /** Reports the key owners of partitioned services. */
    default void assignments(final List<Assignment> assignments) {}

    /** Reports that a lease on placements was granted or refused. */
    default void leaseAnswered(final PlacementMessages.LeaseGrant grant) {}

    /** Reports whether requests should be recorded. */
    default void recording(final RecordingMessages.RecordingState state) {}

    /** Reports the answer to a claim of an idempotency key. */
    default void claimAnswered(final KeyMessages.ClaimResponse answer) {}

    /** Called with the registry's reply to a report or a lookup of an outcome. */
    default void outcomeReplyReceived(final Message reply) {}

    /** Reports the answer to a request for rate limit permits. */
    default void permitAnswered(final PermitMessages.PermitResponse response) {}

    /**
     * Reports that all control state acknowledged anywhere before this time of the local steady
     * clock, in milliseconds, has been handed over.
     */
    default void proofRenewed(final long provedAt) {}

    /** Reports that a new stream has delivered its first view. */
    void firstViewReceived();
  }

  private final Environment environment;
  private final Random random;
  private final DaemonEntry self;
  private final RegistryAddresses addresses;
  private final Map<String, Registration> registrations = new HashMap<>();
  private String currentAddress;
  private long dialledAt;
  private long lastHeardAt;
  private long reportedAt;
  private boolean viewReceived;
  private boolean connected;
  private long nearerCheckAt;
  private int staleRegistries;
  private long version;
  private long evacuationVersion = -1;
  private long trialVersion;
  private long inForceVersion;
  private long inForceStateVersion;
  private long inForceSince;
  private boolean shuttingDown;
  private volatile long moves;
  private long provedAt;
  private String parallelAddress;
  private boolean searching;
  private long parallelDialledAt;

  /** A client for the daemon described by {@code self}; it connects on {@link #start}. */
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

  /** Adds the addresses of a new seed list; known registries are kept. */
  public void addSeeds(final List<String> moreSeeds) {
    addresses.add(moreSeeds);
  }

  /** Connects to a first registry. */
  public void start(final long now) {
    dialNext(now);
  }

  /** Switches to another registry and logs why, so that a late configuration can be traced. */
  private void leave(final String reason, final long now) {
    moves = moves + 1;
    LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "Leaving registry %s: %s; last message %s ms ago, dialled %s ms ago, connected %s, view received %s",
        currentAddress, reason, now - lastHeardAt, now - dialledAt, connected, viewReceived);
    dialNext(now);
  }

  /** How often this process switched to another registry. */
  public long moves() {
    return moves;
  }

  private void dialNext(final long now) {
    abandonParallelDial();
    if (currentAddress != null && !viewReceived) {
      addresses.dialFailed(currentAddress, now);
    }
    currentAddress = addresses.next(currentAddress, null, now);
    dialledAt = now;
    lastHeardAt = now;
    viewReceived = false;
    connected = false;
    nearerCheckAt = now + NEARER_CHECK_MILLIS + random.nextInt((int) NEARER_CHECK_MILLIS);
    environment.dial(currentAddress);
  }

  private void abandonParallelDial() {
    searching = false;
    if (parallelAddress != null) {
      parallelAddress = null;
      environment.closeParallel();
    }
  }

  /**
   * Searches for another registry while the current connection is kept: one more is dialled each
   * time that none has delivered a view within the interval, and the first view wins. A message on
   * the current stream ends the search: on a full link it is the most likely one to bring the next
   * configuration. False if only one connection at a time is supported.
   */
  private boolean dialParallel(final long intervalMillis, final long now) {
    if (searching && now - parallelDialledAt < intervalMillis) {
      return true;
    }
    final String address = addresses.next(currentAddress, parallelAddress, now);
    if (!environment.dialParallel(address)) {
      return false;
    }
    if (searching) {
      addresses.dialFailed(parallelAddress, now);
    }
    LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "Dialling registry %s in parallel: no message from registry %s for %s ms",
        address, currentAddress, now - lastHeardAt);
    searching = true;
    parallelAddress = address;
    parallelDialledAt = now;
    return true;
  }

  /** The first message to a registry on a new connection. */
  public Message firstReport(final long now) {
    return new RegistryMessages.DaemonReport(
        daemonEntry(now), RegistrationBuckets.digests(registrations.values(), false));
  }

  /**
   * Switches to a registry dialled in parallel, which has delivered its first view. Messages of the
   * previous stream were accepted until this moment, so that nothing was missed between the two.
   */
  public void switchTo(final String address, final RegistryMessages.View view, final long now) {
    LOGGER.atInfo().log(
        "Switching from registry %s to %s, %s ms after the parallel dial",
        currentAddress, address, now - parallelDialledAt);
    moves = moves + 1;
    currentAddress = address;
    parallelAddress = null;
    searching = false;
    dialledAt = now;
    reportedAt = now;
    viewReceived = false;
    connected = true;
    messageReceived(view, now);
  }

  private void report(final long now) {
    reportedAt = now;
    environment.send(new RegistryMessages.DaemonReport(daemonEntry(now)));
  }

  private DaemonEntry daemonEntry(final long now) {
    return new DaemonEntry(
        self.address,
        self.trafficAddress,
        self.site,
        self.region,
        self.incarnation,
        shuttingDown,
        0,
        self.cacheDaemon,
        inForceVersion,
        inForceStateVersion,
        now - inForceSince);
  }

  /** Called when the connection to the current registry is established. */
  public void streamOpened(final long now) {
    lastHeardAt = now;
    connected = true;
    reportedAt = now;
    environment.send(firstReport(now));
  }

  /** Called when the connection to the current registry has ended. */
  public void streamClosed(final long now) {
    if (searching) {
      connected = false;
      return;
    }
    leave("the connection was closed", now);
  }

  /** Handles a message of the current registry. */
  public void messageReceived(final Message message, final long now) {
    lastHeardAt = now;
    if (searching && (viewReceived || message instanceof RegistryMessages.View)) {
      abandonParallelDial();
    }
    if (message instanceof RegistryMessages.View) {
      final boolean firstView = !viewReceived;
      viewReceived = true;
      addresses.viewReceived(currentAddress);
      trialVersion = Math.max(trialVersion, ((RegistryMessages.View) message).trialRevision);
      applyView((RegistryMessages.View) message);
      if (((RegistryMessages.View) message).trialRevision >= 0) {
        environment.trialsChanged(
            Protocol.emptyIfNull(((RegistryMessages.View) message).trials),
            ((RegistryMessages.View) message).trialRevision);
      }
      if (firstView) {
        environment.firstViewReceived();
      }
    } else if (message instanceof CacheMessages.Purges) {
      environment.purges((CacheMessages.Purges) message);
    } else if (message instanceof RegistryMessages.SiteProxies) {
      environment.siteProxies(
          Protocol.emptyIfNull(((RegistryMessages.SiteProxies) message).addresses));
    } else if (message instanceof PlacementMessages.Placements) {
      environment.placements((PlacementMessages.Placements) message);
    } else if (message instanceof Assignments) {
      environment.assignments(Protocol.emptyIfNull(((Assignments) message).assignments));
    } else if (message instanceof PlacementMessages.LeaseGrant) {
      environment.leaseAnswered((PlacementMessages.LeaseGrant) message);
    } else if (message instanceof RegionMessages.Electorate) {
      environment.electorate((RegionMessages.Electorate) message);
    } else if (message instanceof RecordingMessages.RecordingState) {
      environment.recording((RecordingMessages.RecordingState) message);
    } else if (message instanceof KeyMessages.ClaimResponse) {
      environment.claimAnswered((KeyMessages.ClaimResponse) message);
    } else if (message instanceof KeyMessages.OutcomeStored
        || message instanceof KeyMessages.OutcomeFound) {
      environment.outcomeReplyReceived(message);
    } else if (message instanceof PermitMessages.PermitResponse) {
      environment.permitAnswered((PermitMessages.PermitResponse) message);
    } else if (message instanceof RegistryMessages.RegistryStatus) {
      final RegistryMessages.RegistryStatus status = (RegistryMessages.RegistryStatus) message;
      environment.registryStatus(
          status.majorityAgeMillis, status.proxyCount, Protocol.emptyIfNull(status.cacheDaemons));
      final List<String> members = Protocol.emptyIfNull(status.members);
      addresses.reachable(members);
      for (int index = 0; index < Protocol.emptyIfNull(status.memberLocations).size(); index++) {
        addresses.setLocation(members.get(index), status.memberLocations.get(index));
      }
      if (!viewReceived) {
        connected = false;
        return;
      }
      environment.controlUpdate(null, Map.of(), null, null, status.proxyCount);
      if (status.contactAgeMillis <= MAJORITY_STALE_MILLIS) {
        staleRegistries = 0;
        dialNearer(now);
      } else if (now - Math.max(dialledAt, parallelDialledAt)
          > Math.min(
              MAX_STALE_STAY_MILLIS, MIN_STALE_STAY_MILLIS << Math.min(10, staleRegistries))) {
        staleRegistries++;
        LOGGER.atInfo().log(
            "Registry %s has had no contact with a majority for %s ms; trying another registry",
            currentAddress, status.contactAgeMillis);
        replaceStale(now);
      }
    }
  }

  /**
   * Handles a proof of the current registry that it has delivered all control state acknowledged
   * before this time of the local steady clock. A registry that has not delivered its first view
   * proves nothing.
   */
  public void proofReceived(final long newProvedAt, final long now) {
    if (viewReceived && newProvedAt > provedAt) {
      if (now - provedAt > PROOF_GAP_LOG_MILLIS && provedAt > 0) {
        LOGGER.atInfo().log(
            "Freshness proof from registry %s after %s ms without one; it covers control state up to %s ms ago",
            currentAddress, now - provedAt, now - newProvedAt);
      }
      provedAt = newProvedAt;
      environment.proofRenewed(newProvedAt);
    }
  }

  /**
   * Dials another registry in parallel to one that is behind, which is left when the other has
   * delivered its view.
   */
  private void replaceStale(final long now) {
    if (parallelAddress != null) {
      addresses.dialFailed(parallelAddress, now);
    }
    final String address = addresses.next(currentAddress, parallelAddress, now);
    if (environment.dialParallel(address)) {
      parallelAddress = address;
      parallelDialledAt = now;
    } else {
      dialNext(now);
    }
  }

  /** Switches to a nearer registry after a period without problems. */
  private void dialNearer(final long now) {
    if (now < nearerCheckAt || parallelAddress != null) {
      return;
    }
    nearerCheckAt = now + 4 * NEARER_CHECK_MILLIS;
    final String address = addresses.nearer(currentAddress);
    if (address == null) {
      return;
    }
    if (environment.dialParallel(address)) {
      parallelAddress = address;
      parallelDialledAt = now;
      return;
    }
    addresses.prefer(address);
    leave("a nearer registry is available", now);
  }

  private void applyView(final RegistryMessages.View view) {
    RoutingTable routingTable = null;
    if (view.spec != null && view.version > version) {
      try {
        routingTable = RoutingTable.compileAccepted(Compression.inflate(view.spec));
        version = view.version;
        LOGGER.atInfo().log(
            "Configuration %s is in force with %s routes; received from registry %s, dialled %s ms ago",
            Long.toHexString(version),
            routingTable.routeCount(),
            currentAddress,
            lastHeardAt - dialledAt);
      } catch (final WeldpointException exception) {
        LOGGER.atSevere().log(
            "Configuration %s was rejected, the previous one stays in force: %s",
            Long.toHexString(view.version), exception.getMessage());
      }
    }
    final Map<Registration, Boolean> changes = new java.util.LinkedHashMap<>();
    final List<Registration> viewRegistrations =
        new ArrayList<>(Protocol.emptyIfNull(view.registrations));
    viewRegistrations.addAll(RegistrationBuckets.unpack(view.packedRegistrations));
    for (final Registration registration : viewRegistrations) {
      final Registration previous = registrations.get(registration.id);
      if (previous == null || LifecycleStage.later(previous, registration) != previous) {
        registrations.put(registration.id, registration);
        final boolean accepting = LifecycleStage.of(registration).routable();
        if (previous == null && !accepting) {
          continue;
        }
        changes.put(registration, accepting);
      }
    }
    Set<String> evacuated = null;
    if (view.hasEvacuations && view.evacuationRevision > evacuationVersion) {
      evacuationVersion = view.evacuationRevision;
      evacuated = new HashSet<>(Protocol.emptyIfNull(view.evacuated));
    }
    environment.controlUpdate(
        routingTable,
        changes,
        evacuated,
        view.hasSuspects ? new HashSet<>(Protocol.emptyIfNull(view.suspects)) : null,
        view.proxyCount);
  }

  /** Checks the time limits; called periodically. */
  public void tick(final long now) {
    if (parallelAddress != null
        && !searching
        && now - parallelDialledAt > PARALLEL_DIAL_TIMEOUT_MILLIS) {
      abandonParallelDial();
    }
    if (viewReceived && now - lastHeardAt > SILENCE_TIMEOUT_MILLIS) {
      if (!dialParallel(PARALLEL_DIAL_SILENT_MILLIS, now)) {
        leave("no message within the silence timeout", now);
      }
    } else if (!viewReceived
        && (searching || mayResume(now))
        && dialParallel(
            connected ? PARALLEL_DIAL_SILENT_MILLIS : PARALLEL_DIAL_CLOSED_MILLIS, now)) {
      reportIfDue(now);
    } else if (now - lastHeardAt
            > (connected && !viewReceived ? CONNECTED_VIEW_TIMEOUT_MILLIS : SILENCE_TIMEOUT_MILLIS)
        || !viewReceived
            && now - dialledAt
                > (connected ? CONNECTED_VIEW_TIMEOUT_MILLIS : FIRST_VIEW_TIMEOUT_MILLIS)) {
      leave("no view within the time limit", now);
    } else {
      reportIfDue(now);
    }
  }

  private void reportIfDue(final long now) {
    if (now - reportedAt >= REPORT_MILLIS) {
      report(now);
    }
  }

  /**
   * Whether a proxy that had a stream before should dial more registries in parallel to the one it
   * waits for: these would only send what differs.
   */
  private boolean mayResume(final long now) {
    return !viewReceived
        && version > 0
        && now - dialledAt
            >= (connected ? PARALLEL_DIAL_SILENT_MILLIS : PARALLEL_DIAL_CLOSED_MILLIS);
  }

  /** Called when the registry has stated that it had no contact with a majority for this long. */
  public void majorityLost(final long ageMillis) {
    environment.coreUnsettled(ageMillis);
  }

  /** Called when a connection was refused: the machine answers, but no registry listens there. */
  public void connectionRefused(final String address, final long now) {
    environment.coreUnsettled(0);
    addresses.dialFailed(address, now);
    if (address.equals(currentAddress) && !viewReceived && !connected) {
      dialledAt = Math.min(dialledAt, now - FIRST_VIEW_TIMEOUT_MILLIS + REFUSED_RETRY_MILLIS);
    }
    if (searching && address.equals(parallelAddress)) {
      parallelDialledAt =
          Math.min(parallelDialledAt, now - PARALLEL_DIAL_CLOSED_MILLIS + REFUSED_RETRY_MILLIS);
    }
  }

  /** Reports that the process is shutting down, so that clients use other proxies. */
  public void leave(final long now) {
    shuttingDown = true;
    report(now);
  }

  /**
   * Reports that the traffic thread has applied this configuration version, and the evacuations and
   * trials of this state version.
   */
  public void reportInForce(final long newVersion, final long stateVersion, final long now) {
    if (newVersion != inForceVersion || stateVersion != inForceStateVersion) {
      inForceVersion = newVersion;
      inForceStateVersion = stateVersion;
      inForceSince = now;
      report(now);
    }
  }

  /** The version of the evacuations and trials that were passed to the traffic thread. */
  public long stateVersion() {
    return Math.max(0, evacuationVersion) + trialVersion;
  }

  /** The version of the configuration in force. */
  public long version() {
    return version;
  }
}
