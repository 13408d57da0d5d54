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
 * The streams of proxies and cache daemons to this registry: those that have received their initial
 * view, and those that wait for it.
 */
final class ProxyStreams {
  /** How long after its opening a waiting stream is left out of the status. */
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

  /**
   * What a daemon holds when its stream opens, and the quorum read that its initial view waits for.
   */
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

  /** The streams that have received their initial view. */
  Set<Object> all() {
    return streams;
  }

  boolean contains(final Object stream) {
    return streams.contains(stream);
  }

  int size() {
    return streams.size();
  }

  /**
   * Whether any waiting stream may receive its initial view once the quorum read of this number is
   * complete.
   */
  boolean anyReady(final long completedRead) {
    for (final Object stream : waitingStreams) {
      if (pendingOpenings.get(stream).read <= completedRead) {
        return true;
      }
    }
    return false;
  }

  /**
   * Adds a stream that waits for its initial view until this quorum read is complete; 0 to wait for
   * none.
   */
  void add(
      final Object stream,
      final DaemonEntry entry,
      final List<Long> buckets,
      final long read,
      final long now) {
    if (entry.cacheDaemon) {
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
   * Sends the initial view to the streams that waited for this quorum read or an earlier one, and
   * calls back for each.
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

  /** The part of the view that a daemon which already holds some registrations lacks. */
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
   * The full view; the same object while nothing has changed, so that it is encoded only once when
   * a whole fleet reconnects.
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

  /** Sends to all streams that have received their initial view. */
  void sendToAll(final Message message) {
    streams.forEach(stream -> sender.accept(stream, message));
  }

  /** Sends to the cache daemons among them. */
  void sendToCaches(final Message message) {
    cacheStreams.stream()
        .filter(streams::contains)
        .forEach(stream -> sender.accept(stream, message));
  }

  /** Sends to the proxies among them. */
  void sendToProxies(final Message message) {
    streams.stream()
        .filter(stream -> !cacheStreams.contains(stream))
        .forEach(stream -> sender.accept(stream, message));
  }

  /**
   * Sends to all streams, including those that wait for their initial view and should try another
   * registry; a stream that opened only just now is left out, since it may still get its view here.
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

  /** Sends changed registrations. */
  void sendRegistrations(final List<Registration> changes) {
    if (!streams.isEmpty()) {
      sendToAll(
          new RegistryMessages.View(
              0, null, false, null, 0, changes, false, null, daemons.peakProxyCount(), null, -1));
    }
  }

  /** Sends the ids of the suspect upstreams. */
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
