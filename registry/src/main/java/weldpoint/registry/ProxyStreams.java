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
  private static final long PATIENCE_MILLIS = 900;

  private final BiConsumer<Object, Message> outlet;
  private final Registrations registrations;
  private final ControlState control;
  private final DaemonTable daemons;
  private final Set<Object> streams = new LinkedHashSet<>();
  private final Set<Object> hopefuls = new LinkedHashSet<>();
  private final Set<Object> announcers = new HashSet<>();
  private final Map<Object, Opening> opening = new HashMap<>();
  private RegistryMessages.View whole;
  private long[] wholeState;

  /** What a switchboard has when its stream opens. */
  private record Opening(long version, List<Long> buckets, long read, long at) {}

  ProxyStreams(
      final BiConsumer<Object, Message> outlet,
      final Registrations registrations,
      final ControlState control,
      final DaemonTable daemons) {
    this.outlet = outlet;
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
  boolean waiting(final long read) {
    for (final Object stream : hopefuls) {
      if (opening.get(stream).read <= read) {
        return true;
      }
    }
    return false;
  }

  /** A stream has opened and waits for its first view: until this quorum read is done, or 0. */
  void opened(
      final Object stream,
      final DaemonEntry entry,
      final List<Long> buckets,
      final long read,
      final long now) {
    if (entry.cacheDaemon) {
      announcers.add(stream);
    }
    opening.put(
        stream, new Opening(entry.version, buckets == null ? List.of() : buckets, read, now));
    hopefuls.add(stream);
  }

  void closed(final Object stream) {
    streams.remove(stream);
    announcers.remove(stream);
    opening.remove(stream);
    hopefuls.remove(stream);
  }

  /**
   * Gives those their first view that waited for this quorum read or an earlier one; whoever is
   * given is told of each.
   */
  void admit(final long read, final Consumer<Object> admitted) {
    final RegistryMessages.View view = wholeView();
    final List<Long> here = registrations.buckets(false);
    final List<Object> due = new ArrayList<>();
    for (final Object stream : hopefuls) {
      if (opening.get(stream).read <= read) {
        final Opening opened = opening.remove(stream);
        outlet.accept(
            stream,
            opened.buckets.isEmpty() || RegistrationBuckets.empty(opened.buckets)
                ? view
                : partView(opened, here));
        due.add(stream);
      }
    }
    for (final Object stream : due) {
      hopefuls.remove(stream);
      streams.add(stream);
      admitted.accept(stream);
    }
  }

  /** What a switchboard that has been told before lacks. */
  private RegistryMessages.View partView(final Opening opened, final List<Long> here) {
    final Set<String> named = new HashSet<>();
    final List<Registration> lacking =
        RegistrationBuckets.differing(registrations.all().values(), here, opened.buckets);
    lacking.forEach(one -> named.add(one.id));
    for (final Registration one : registrations.all().values()) {
      if (one.warmupMillis > 0
          && LifecycleStage.of(one) != LifecycleStage.REMOVED
          && named.add(one.id)) {
        lacking.add(one);
      }
    }
    final boolean newer = opened.version < control.version();
    return new RegistryMessages.View(
        newer ? control.version() : 0,
        newer ? control.spec() : null,
        true,
        control.evacuated(),
        control.evacuationMark(),
        null,
        true,
        new ArrayList<>(registrations.suspects()),
        daemons.most(),
        control.trials(),
        control.trialMark(),
        lacking.isEmpty() ? null : RegistrationBuckets.pack(lacking));
  }

  /**
   * All that a switchboard must know; the same object while nothing has changed, so that a
   * returning fleet costs one encoding.
   */
  private RegistryMessages.View wholeView() {
    final long[] state = {
      control.version(),
      registrations.revision(),
      control.evacuationMark(),
      control.trialMark(),
      registrations.size(),
      registrations.suspects().hashCode()
    };
    if (whole == null || !java.util.Arrays.equals(state, wholeState)) {
      wholeState = state;
      final List<Registration> present = new ArrayList<>();
      for (final Registration one : registrations.all().values()) {
        if (LifecycleStage.of(one) != LifecycleStage.REMOVED) {
          present.add(one);
        }
      }
      whole =
          new RegistryMessages.View(
              control.version(),
              control.spec(),
              true,
              control.evacuated(),
              control.evacuationMark(),
              null,
              true,
              new ArrayList<>(registrations.suspects()),
              0,
              control.trials(),
              control.trialMark(),
              RegistrationBuckets.pack(present));
    }
    return whole;
  }

  boolean announces(final Object stream) {
    return announcers.contains(stream);
  }

  /** Tells all that have had their first view. */
  void tell(final Message message) {
    streams.forEach(stream -> outlet.accept(stream, message));
  }

  /** Tells the announcers among them. */
  void tellAnnouncers(final Message message) {
    announcers.stream().filter(streams::contains).forEach(stream -> outlet.accept(stream, message));
  }

  /** Tells the switchboards among them. */
  void tellSwitchboards(final Message message) {
    streams.stream()
        .filter(stream -> !announcers.contains(stream))
        .forEach(stream -> outlet.accept(stream, message));
  }

  /**
   * Tells all, also those that wait for their first view and should go elsewhere: who came only
   * just now may yet get it here.
   */
  void tellEverybody(final Message message, final boolean informed, final long now) {
    tell(message);
    for (final Object stream : hopefuls) {
      if (!informed || now - opening.get(stream).at > PATIENCE_MILLIS) {
        outlet.accept(stream, message);
      }
    }
  }

  /** Tells of changed registrations. */
  void registrations(final List<Registration> changes) {
    if (!streams.isEmpty()) {
      tell(
          new RegistryMessages.View(
              0, null, false, null, 0, changes, false, null, daemons.most(), null, -1));
    }
  }

  /** Tells who is suspect. */
  void suspects() {
    tell(
        new RegistryMessages.View(
            0,
            null,
            false,
            null,
            0,
            null,
            true,
            new ArrayList<>(registrations.suspects()),
            daemons.most(),
            null,
            -1));
  }
}
