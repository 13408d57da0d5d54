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
 * Who may choose a region's chief: written to the frames once it has stood still for a while, told
 * to the region's switchboards.
 */
final class Electorates {
  private static final long STILL_MILLIS = 2000;

  /** Writes a region's electorate. */
  interface Writer {
    CompletableFuture<StoreMessages.StoreResponse> write(String region, byte[] body, long now);
  }

  private final Writer writer;
  private final Map<String, Electorate> known = new HashMap<>();
  private final Map<String, List<Elector>> wanted = new HashMap<>();
  private final Map<String, Long> wantedAt = new HashMap<>();
  private final Map<Object, String> regions = new HashMap<>();
  private boolean out;

  Electorates(final Writer writer) {
    this.writer = writer;
  }

  long marks() {
    return known.values().stream().mapToLong(one -> one.revision).sum();
  }

  void stream(final Object stream, final String region) {
    regions.put(stream, region);
  }

  void closed(final Object stream) {
    regions.remove(stream);
  }

  void tell(final Object stream, final BiConsumer<Object, Message> board) {
    final Electorate one = known.get(regions.getOrDefault(stream, ""));
    if (one != null) {
      board.accept(stream, one);
    }
  }

  void take(final List<Electorate> given, final BiConsumer<Object, Message> board) {
    for (final Electorate one : given) {
      final Electorate before = known.get(one.region);
      if (before == null || one.revision > before.revision) {
        known.put(one.region, one);
        regions.forEach(
            (stream, region) -> {
              if (region.equals(one.region)) {
                board.accept(stream, one);
              }
            });
      }
    }
  }

  /** Takes which switchboards live now, and writes what has not been written. */
  void keep(final List<DaemonEntry> live, final long now) {
    final Map<String, List<Elector>> present = new TreeMap<>();
    for (final DaemonEntry entry : live) {
      present
          .computeIfAbsent(entry.region, region -> new ArrayList<>())
          .add(new Elector(entry.address, entry.incarnation));
    }
    present.forEach(
        (region, electors) -> {
          electors.sort(Comparator.comparing(one -> one.address));
          if (!same(electors, wanted.get(region))) {
            wanted.put(region, electors);
            wantedAt.put(region, now);
          }
          final Electorate before = known.get(region);
          if (!out
              && now - wantedAt.get(region) >= STILL_MILLIS
              && (before == null || !same(electors, Protocol.emptyIfNull(before.electors)))) {
            out = true;
            final Electorate next =
                new Electorate(
                    region,
                    before == null ? 1 : before.revision + 1,
                    electors,
                    electors.size() / (double) live.size());
            writer
                .write(region, Serializer.serialize(next), now)
                .whenComplete((answer, problem) -> out = false);
          }
        });
  }

  private static boolean same(final List<Elector> one, final List<Elector> other) {
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
