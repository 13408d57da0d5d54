package weldpoint.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import weldpoint.transport.Message;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.RegistryMessages.DaemonEntry;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * The streams of switchboards and announcers to this exchange: those that have been given a first
 * view, and those that wait for it.
 */
final class ProxyStreams {
  private static final long INITIAL_VIEW_GRACE_MILLIS = 900;

  private final BiConsumer<Object, Message> sender;
  private final Registrations registrations;
  private final ControlState control;
  private final DaemonTable daemons;
  private final Set<Object> streams = new LinkedHashSet<>();
  private final Set<Object> waitingStreams = new LinkedHashSet<>();
  private final Set<Object> cacheStreams = new HashSet<>();
  private final Map<Object, Opening> pendingOpenings = new HashMap<>();
  private RegistryMessages.View fullView;
  private long[] fullViewState;

  /** What a switchboard has when its stream opens. */
  private record Opening(long version, List<Long> buckets, long read, long openedAt) {}

  ProxyStreams(
      final BiConsumer<Object, Message> sender,
      final Registrations registrations,
      final ControlState control,
      final DaemonTable daemons) {
    this.sender = sender;
    this.registrations = registrations;
    this.control = control;
    this.daemons = daemons;
  }

  /** The streams that have been given a first view. */
  Set<Object> all() {
    return streams;
  }

  boolean contains(final Object stream) {
    return streams.contains(stream);
  }

  int size() {
    return streams.size();
  }

  /** Whether any may be given its first view when the quorum read of this number is done. */
  boolean anyReady(final long completedRead) {
    for (final Object stream : waitingStreams) {
      if (pendingOpenings.get(stream).read <= completedRead) {
        return true;
      }
    }
    return false;
  }

  /** A stream has opened and waits for its first view: until this quorum read is done, or 0. */
  void add(
      final Object stream,
      final DaemonEntry entry,
      final List<Long> buckets,
      final long read,
      final long now) {
    if (entry.announcer) {
      cacheStreams.add(stream);
    }
    pendingOpenings.put(
        stream, new Opening(entry.version, buckets == null ? List.of() : buckets, read, now));
    waitingStreams.add(stream);
  }

  void remove(final Object stream) {
    streams.remove(stream);
    cacheStreams.remove(stream);
    pendingOpenings.remove(stream);
    waitingStreams.remove(stream);
  }

  /**
   * Gives those their first view that waited for this quorum read or an earlier one; whoever is
   * given is told of each.
   */
  void sendInitialViews(final long completedRead, final Consumer<Object> onSent) {
    final RegistryMessages.View view = buildFullView();
    final List<Long> localDigests = registrations.bucketDigests(false);
    final List<Object> due = new ArrayList<>();
    for (final Object stream : waitingStreams) {
      if (pendingOpenings.get(stream).read <= completedRead) {
        final Opening opening = pendingOpenings.remove(stream);
        sender.accept(
            stream,
            opening.buckets.isEmpty() || RegistrationBuckets.allEmpty(opening.buckets)
                ? view
                : partialView(opening, localDigests));
        due.add(stream);
      }
    }
    for (final Object stream : due) {
      waitingStreams.remove(stream);
      streams.add(stream);
      onSent.accept(stream);
    }
  }

  /** What a switchboard that has been told before lacks. */
  private RegistryMessages.View partialView(final Opening opening, final List<Long> localDigests) {
    final Set<String> includedIds = new HashSet<>();
    final List<Registration> missing =
        RegistrationBuckets.differing(registrations.all().values(), localDigests, opening.buckets);
    missing.forEach(registration -> includedIds.add(registration.id));
    for (final Registration registration : registrations.all().values()) {
      if (registration.warmupMillis > 0
          && LifecycleStage.of(registration) != LifecycleStage.REMOVED
          && includedIds.add(registration.id)) {
        missing.add(registration);
      }
    }
    final boolean newer = opening.version < control.version();
    return new RegistryMessages.View(
        newer ? control.version() : 0,
        newer ? control.spec() : null,
        true,
        control.evacuated(),
        control.evacuationVersion(),
        null,
        true,
        new ArrayList<>(registrations.suspects()),
        daemons.peakProxyCount(),
        control.trials(),
        control.trialVersion(),
        missing.isEmpty() ? null : RegistrationBuckets.pack(missing));
  }

  /**
   * All that a switchboard must know; the same object while nothing has changed, so that a
   * returning fleet costs one encoding.
   */
  private RegistryMessages.View buildFullView() {
    final long[] state = {
      control.version(),
      registrations.revision(),
      control.evacuationVersion(),
      control.trialVersion(),
      registrations.size(),
      registrations.suspects().hashCode()
    };
    if (fullView == null || !java.util.Arrays.equals(state, fullViewState)) {
      fullViewState = state;
      final List<Registration> present = new ArrayList<>();
      for (final Registration registration : registrations.all().values()) {
        if (LifecycleStage.of(registration) != LifecycleStage.REMOVED) {
          present.add(registration);
        }
      }
      fullView =
          new RegistryMessages.View(
              control.version(),
              control.spec(),
              true,
              control.evacuated(),
              control.evacuationVersion(),
              null,
              true,
              new ArrayList<>(registrations.suspects()),
              0,
              control.trials(),
              control.trialVersion(),
              RegistrationBuckets.pack(present));
    }
    return fullView;
  }

  boolean isCache(final Object stream) {
    return cacheStreams.contains(stream);
  }

  /** Tells all that have had their first view. */
  void sendToAll(final Message message) {
    streams.forEach(stream -> sender.accept(stream, message));
  }

  /** Tells the announcers among them. */
  void sendToCaches(final Message message) {
    cacheStreams.stream()
        .filter(streams::contains)
        .forEach(stream -> sender.accept(stream, message));
  }

  /** Tells the switchboards among them. */
  void sendToProxies(final Message message) {
    streams.stream()
        .filter(stream -> !cacheStreams.contains(stream))
        .forEach(stream -> sender.accept(stream, message));
  }

  /**
   * Tells all, also those that wait for their first view and should go elsewhere: who came only
   * just now may yet get it here.
   */
  void sendToAllAndWaiting(final Message message, final boolean canServeProxies, final long now) {
    sendToAll(message);
    for (final Object stream : waitingStreams) {
      if (!canServeProxies
          || now - pendingOpenings.get(stream).openedAt > INITIAL_VIEW_GRACE_MILLIS) {
        sender.accept(stream, message);
      }
    }
  }

  /** Tells of changed registrations. */
  void sendRegistrations(final List<Registration> changes) {
    if (!streams.isEmpty()) {
      sendToAll(
          new RegistryMessages.View(
              0, null, false, null, 0, changes, false, null, daemons.peakProxyCount(), null, -1));
    }
  }

  /** Tells who is suspect. */
  void sendSuspects() {
    sendToAll(
        new RegistryMessages.View(
            0,
            null,
            false,
            null,
            0,
            null,
            true,
            new ArrayList<>(registrations.suspects()),
            daemons.peakProxyCount(),
            null,
            -1));
  }
}
