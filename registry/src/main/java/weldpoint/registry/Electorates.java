package weldpoint.registry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegionMessages.Elector;
import weldpoint.transport.RegionMessages.Electorate;
import weldpoint.transport.RegistryMessages.DaemonEntry;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;

/**
 * The electorate of each region: the proxies that may elect the region's leader. It is written to
 * the state store once it has been stable for a while, and sent to the region's proxies.
 */
final class Electorates {
  /** How long the proxies of a region must be unchanged before their electorate is written. */
  private static final long STABLE_MILLIS = 2000;

  /** Writes a region's electorate to the state store. */
  interface Writer {
    CompletableFuture<StoreMessages.StoreResponse> write(String region, byte[] body, long now);
  }

  private final Writer writer;
  private final Map<String, Electorate> current = new HashMap<>();
  private final Map<String, List<Elector>> desired = new HashMap<>();
  private final Map<String, Long> desiredSince = new HashMap<>();
  private final Map<Object, String> regionByStream = new HashMap<>();
  private boolean writePending;

  Electorates(final Writer writer) {
    this.writer = writer;
  }

  long versionSum() {
    return current.values().stream().mapToLong(electorate -> electorate.revision).sum();
  }

  void addStream(final Object stream, final String region) {
    regionByStream.put(stream, region);
  }

  void removeStream(final Object stream) {
    regionByStream.remove(stream);
  }

  void sendTo(final Object stream, final BiConsumer<Object, Message> sender) {
    final Electorate electorate = current.get(regionByStream.getOrDefault(stream, ""));
    if (electorate != null) {
      sender.accept(stream, electorate);
    }
  }

  void update(final List<Electorate> received, final BiConsumer<Object, Message> sender) {
    for (final Electorate electorate : received) {
      final Electorate previous = current.get(electorate.region);
      if (previous == null || electorate.revision > previous.revision) {
        current.put(electorate.region, electorate);
        regionByStream.forEach(
            (stream, region) -> {
              if (region.equals(electorate.region)) {
                sender.accept(stream, electorate);
              }
            });
      }
    }
  }

  /**
   * Takes the proxies that are live now, and writes an electorate that has changed and is stable.
   */
  void reconcile(final List<DaemonEntry> liveProxies, final long now) {
    final Map<String, List<Elector>> electorsByRegion = new TreeMap<>();
    for (final DaemonEntry entry : liveProxies) {
      electorsByRegion
          .computeIfAbsent(entry.region, region -> new ArrayList<>())
          .add(new Elector(entry.address, entry.incarnation));
    }
    electorsByRegion.forEach(
        (region, electors) -> {
          electors.sort(Comparator.comparing(elector -> elector.address));
          if (!sameElectors(electors, desired.get(region))) {
            desired.put(region, electors);
            desiredSince.put(region, now);
          }
          final Electorate previous = current.get(region);
          if (!writePending
              && now - desiredSince.get(region) >= STABLE_MILLIS
              && (previous == null
                  || !sameElectors(electors, Protocol.emptyIfNull(previous.electors)))) {
            writePending = true;
            final Electorate next =
                new Electorate(
                    region,
                    previous == null ? 1 : previous.revision + 1,
                    electors,
                    electors.size() / (double) liveProxies.size());
            writer
                .write(region, Serializer.serialize(next), now)
                .whenComplete((answer, error) -> writePending = false);
          }
        });
  }

  private static boolean sameElectors(final List<Elector> one, final List<Elector> other) {
    if (other == null || one.size() != other.size()) {
      return false;
    }
    for (int index = 0; index < one.size(); index++) {
      if (!one.get(index).address.equals(other.get(index).address)
          || one.get(index).incarnation != other.get(index).incarnation) {
        return false;
      }
    }
    return true;
  }
}
