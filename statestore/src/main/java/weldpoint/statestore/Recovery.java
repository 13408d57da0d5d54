package weldpoint.statestore;

import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import weldpoint.statestore.Partition.StoredRegister;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StateStoreMessages.RegisterEntry;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * How a frame whose disk is blank gets back what a majority of voters holds, and how the others
 * help it. It takes one new incarnation, learns from a majority the catalogue of their registers
 * with their marks, and asks, in bounded parts, for the values that it lacks. What has come stays,
 * also over a restart; what changes meanwhile is not asked for anew.
 */
final class Recovery {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long ENQUIRE_MILLIS = 400;
  private static final long PAUSE_MILLIS = 2000;
  private static final long MOST_PAUSE_MILLIS = 8000;
  private static final int PART_BYTES = 32 << 10;
  private static final int FIRST_VALUE_BYTES = 24 << 10;
  private static final int ENTRY_BYTES = 96;
  private static final int MOST_NAMES = 256;

  /** What a voter that was asked has told so far. */
  private static final class Source {
    private final Map<String, RegisterVersion> marks = new HashMap<>();
    private StateStoreMessages.RecoveryResponse first;
    private String after = "";
    private boolean catalogued;
    private boolean heard;
    private StateStoreMessages.RecoveryRequest asked;
    private long askedAt;
    private long pause = PAUSE_MILLIS;
  }

  /** A value of which some bytes have come. */
  private static final class PartialValue {
    private final RegisterEntry head;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private PartialValue(final RegisterEntry head) {
      this.head = head;
    }
  }

  /** A value that is being given out piece by piece. */
  private record OutgoingValue(String name, RegisterVersion mark, byte[] whole) {}

  private final StateStoreReplica replica;
  private long enquireNumber;
  private long enquiredAt = Long.MIN_VALUE / 2;
  private final Map<String, StateStoreMessages.MembershipResponse> enquired = new HashMap<>();
  private final Map<String, Source> sources = new LinkedHashMap<>();
  private final Map<String, PartialValue> pieces = new HashMap<>();
  private final Map<String, OutgoingValue> given = new HashMap<>();
  private final Set<String> fetchers = new HashSet<>();
  private long fetching;
  private boolean fetched;
  private long wantedAudit;
  private String wantedFrom;
  private long wantedAskedAt;
  private long wantedSeen;
  private boolean registersKept;
  private boolean wholeAsked;
  private long asks;
  private long parts;
  private long bytes;
  private long startedAt;

  Recovery(final StateStoreReplica replica) {
    this.replica = replica;
  }

  /** The next enquiry; null where the last one is too fresh. */
  StateStoreMessages.MembershipRequest enquire(final long now) {
    if (now - enquiredAt < ENQUIRE_MILLIS) {
      return null;
    }
    enquiredAt = now;
    enquireNumber++;
    enquired.clear();
    return new StateStoreMessages.MembershipRequest(enquireNumber);
  }

  /**
   * Whether a frame was last heard to fetch what it had lost: until it votes again, registers sent
   * to it are lost on it.
   */
  boolean fetches(final String address) {
    return fetchers.contains(address);
  }

  /** A frame has spoken as one that has everything: as a voter, or to become one. */
  void votes(final String address) {
    if (fetchers.remove(address)) {
      given.remove(address);
    }
  }

  void onEnquire(
      final String from,
      final StateStoreMessages.MembershipRequest enquire,
      final Consumer<Message> reply) {
    final List<String> holders = new ArrayList<>();
    for (final Partition partition : replica.partitions) {
      holders.add(partition.holder == null ? "" : partition.holder);
    }
    reply.accept(
        new StateStoreMessages.MembershipResponse(
            enquire.number, replica.blank, replica.roster, replica.incarnationOf(from), holders));
  }

  void onEnquired(
      final String from, final StateStoreMessages.MembershipResponse answer, final long now) {
    if (answer.blank) {
      return;
    }
    if (!replica.blank) {
      replica.adopt(answer.roster, now);
      if (replica.roster.index(replica.self) < 0) {
        final List<String> holders = Protocol.list(answer.holders);
        for (int index = 0; index < holders.size(); index++) {
          replica.partitions[index].holder =
              holders.get(index).isEmpty() ? null : holders.get(index);
        }
      }
      return;
    }
    takeRoster(answer.roster);
    if (fetching != 0) {
      heard(from, now);
      return;
    }
    if (answer.number != enquireNumber) {
      return;
    }
    enquired.put(from, answer);
    long most = 0;
    int answers = 0;
    for (final Voter voter : replica.roster.voters) {
      final StateStoreMessages.MembershipResponse one = enquired.get(voter.address);
      if (one != null && !voter.address.equals(replica.self)) {
        answers++;
        most = Math.max(most, one.incarnation);
      }
    }
    if (answers >= replica.roster.majority()) {
      fetching = most + 1;
      startedAt = now;
      advance(now);
    }
  }

  /** A voter that had said nothing yet was perhaps not there when it was asked. */
  private void heard(final String from, final long now) {
    final Source source = sources.get(from);
    if (source != null && !source.heard) {
      source.heard = true;
      if (source.asked != null && now - source.askedAt > StateStoreReplica.RESEND_MILLIS / 2) {
        ask(from, source, source.asked, now);
      }
    }
  }

  /** The line to a voter has ended, and with it what was asked there. */
  void lineClosed(final String address) {
    final Source source = sources.get(address);
    if (source != null) {
      source.asked = null;
      source.heard = false;
    }
    if (address.equals(wantedFrom)) {
      wantedAskedAt = Long.MIN_VALUE / 2;
    }
  }

  private void takeRoster(final StateStoreMessages.Roster roster) {
    if (roster.number > replica.roster.number) {
      replica.roster = roster;
      replica.tellPeers();
    }
  }

  // ---- the side that gives

  void onFetch(
      final String from,
      final StateStoreMessages.RecoveryRequest fetch,
      final Consumer<Message> reply) {
    if (!replica.votes()
        || replica.known.containsKey(from) && fetch.incarnation < replica.known.get(from)) {
      return;
    }
    fetchers.add(from);
    final boolean news = fetch.incarnation > replica.incarnationOf(from);
    replica.known.merge(from, fetch.incarnation, Math::max);
    final int index = replica.roster.index(from);
    if (news && index >= 0) {
      LOGGER.atInfo().log(
          "frame %s learns that %s lost its disk and is now incarnation %s",
          replica.self, from, fetch.incarnation);
      replica.overtaken(index);
    }
    if (!news && !(fetch.after.isEmpty() && Protocol.list(fetch.names).isEmpty())) {
      reply.accept(part(from, fetch));
      return;
    }
    replica.persist(
        new StoredValues.DiskRecord(
            StateStoreReplica.KNOWN, 0, null, null, null, from, fetch.incarnation),
        () -> reply.accept(part(from, fetch)));
  }

  private StateStoreMessages.RecoveryResponse part(
      final String from, final StateStoreMessages.RecoveryRequest fetch) {
    return Protocol.list(fetch.names).isEmpty() ? page(fetch) : values(from, fetch);
  }

  private StateStoreMessages.RecoveryResponse fetched(
      final StateStoreMessages.RecoveryRequest fetch,
      final List<RegisterEntry> entries,
      final boolean values,
      final boolean more,
      final List<String> absent,
      final int offset,
      final int total) {
    final List<RegisterVersion> promised = new ArrayList<>();
    final List<RegisterVersion> established = new ArrayList<>();
    for (final Partition partition : replica.partitions) {
      promised.add(partition.promised);
      established.add(partition.established);
    }
    return new StateStoreMessages.RecoveryResponse(
        fetch.incarnation,
        replica.roster,
        promised,
        established,
        entries,
        replica.knownIncarnations(),
        replica.audit.log().last(),
        fetch.after,
        values,
        more,
        absent,
        offset,
        total,
        fetch.number);
  }

  /**
   * The registers behind a name, in their order, until a part is full; values only while there is
   * room for them.
   */
  private StateStoreMessages.RecoveryResponse page(final StateStoreMessages.RecoveryRequest fetch) {
    final TreeMap<String, StoredRegister> all = new TreeMap<>();
    for (final Partition partition : replica.partitions) {
      all.putAll(partition.stored);
    }
    final List<RegisterEntry> entries = new ArrayList<>();
    int room = fetch.after.isEmpty() ? FIRST_VALUE_BYTES : 0;
    int names = PART_BYTES;
    for (final Map.Entry<String, StoredRegister> one : all.tailMap(fetch.after, false).entrySet()) {
      names -= ENTRY_BYTES + one.getKey().length();
      if (names < 0) {
        return fetched(fetch, entries, false, true, null, 0, 0);
      }
      final StoredRegister stored = one.getValue();
      byte[] whole = room > 0 ? StoredValues.Kind.of(one.getKey()).encode(stored.value) : null;
      if (whole != null) {
        final int size = whole.length + (stored.audit == null ? 0 : stored.audit.length);
        whole = size <= room ? whole : null;
        room -= size <= room ? size : 0;
      }
      entries.add(
          new RegisterEntry(
              one.getKey(),
              stored.mark,
              RegisterVersion.NONE,
              null,
              whole,
              whole == null ? null : stored.audit));
    }
    return fetched(fetch, entries, false, false, null, 0, 0);
  }

  private StateStoreMessages.RecoveryResponse values(
      final String from, final StateStoreMessages.RecoveryRequest fetch) {
    final List<RegisterEntry> entries = new ArrayList<>();
    final List<String> absent = new ArrayList<>();
    int room = PART_BYTES;
    for (final String name : fetch.names) {
      final StoredRegister stored =
          replica.partitions[StateStoreReplica.partition(name)].stored.get(name);
      if (stored == null) {
        absent.add(name);
        continue;
      }
      OutgoingValue one = fetch.offset > 0 ? given.get(from) : null;
      if (one == null || !one.name.equals(name) || fetch.offset >= one.whole.length) {
        one = new OutgoingValue(name, stored.mark, StoredValues.Kind.of(name).encode(stored.value));
      }
      final int size = one.whole.length + (stored.audit == null ? 0 : stored.audit.length);
      if (one.whole.length > PART_BYTES) {
        if (!entries.isEmpty()) {
          break;
        }
        final int offset = given.get(from) == one ? fetch.offset : 0;
        final int until = Math.min(one.whole.length, offset + PART_BYTES);
        given.put(from, one);
        if (until == one.whole.length) {
          given.remove(from);
        }
        final byte[] piece = java.util.Arrays.copyOfRange(one.whole, offset, until);
        return fetched(
            fetch,
            List.of(
                new RegisterEntry(
                    name,
                    one.mark,
                    RegisterVersion.NONE,
                    null,
                    piece,
                    offset == 0 ? stored.audit : null)),
            true,
            false,
            absent,
            offset,
            one.whole.length);
      }
      if (size > room && !entries.isEmpty()) {
        break;
      }
      room -= size;
      entries.add(
          new RegisterEntry(name, one.mark, RegisterVersion.NONE, null, one.whole, stored.audit));
    }
    return fetched(fetch, entries, true, false, absent, 0, 0);
  }

  // ---- the side that lacks

  void onFetched(
      final String from, final StateStoreMessages.RecoveryResponse answer, final long now) {
    if (!replica.blank || fetched || answer.incarnation != fetching || fetching == 0) {
      return;
    }
    takeRoster(answer.roster);
    final Source source = sources.get(from);
    if (source == null || source.asked == null || source.asked.number != answer.number) {
      return;
    }
    final List<RegisterEntry> entries = Protocol.list(answer.entries);
    parts++;
    if (answer.values) {
      takeValues(source, answer, entries);
    } else {
      if (answer.after.isEmpty()) {
        source.first = answer;
        source.marks.clear();
      }
      for (final RegisterEntry entry : entries) {
        source.marks.put(entry.name, entry.mark);
        if (entry.whole != null) {
          keep(entry);
        }
        source.after = entry.name;
      }
      source.catalogued = !answer.more;
    }
    source.asked = null;
    source.heard = true;
    source.pause = Math.min(MOST_PAUSE_MILLIS, Math.max(PAUSE_MILLIS, 2 * (now - source.askedAt)));
    advance(now);
  }

  private void takeValues(
      final Source source,
      final StateStoreMessages.RecoveryResponse answer,
      final List<RegisterEntry> entries) {
    for (final String name : Protocol.list(answer.absent)) {
      source.marks.remove(name);
    }
    if (answer.total == 0) {
      entries.forEach(this::keep);
      return;
    }
    final RegisterEntry entry = entries.get(0);
    PartialValue piece = pieces.get(entry.name);
    if (answer.offset == 0) {
      piece = new PartialValue(entry);
      pieces.put(entry.name, piece);
    }
    if (piece == null
        || !piece.head.mark.equals(entry.mark)
        || piece.bytes.size() != answer.offset) {
      return;
    }
    piece.bytes.writeBytes(entry.whole);
    bytes += entry.whole.length;
    if (piece.bytes.size() == answer.total) {
      pieces.remove(entry.name);
      bytes -= answer.total;
      keep(
          new RegisterEntry(
              entry.name,
              entry.mark,
              RegisterVersion.NONE,
              null,
              piece.bytes.toByteArray(),
              piece.head.audit));
    }
  }

  /** Keeps a value that a voter holds, in memory and on disk, so that it need not come again. */
  private void keep(final RegisterEntry entry) {
    final Partition partition = replica.partitions[StateStoreReplica.partition(entry.name)];
    bytes += entry.whole.length;
    final StoredRegister before = partition.stored.get(entry.name);
    if (before != null && before.mark.compareTo(entry.mark) >= 0) {
      return;
    }
    partition.store(entry.mark.ballot(), false, List.of(entry), new ArrayList<>());
    replica.persist(
        new StoredValues.DiskRecord(
            StateStoreReplica.REGISTERS,
            partition.number,
            entry.mark.ballot(),
            List.of(entry),
            null,
            null,
            0),
        () -> {});
  }

  /**
   * Time has passed: what was asked and not answered is asked again, after pauses that grow; lines
   * that end are heeded at once.
   */
  void tick(final long now) {
    if (replica.blank) {
      advance(now);
      askWanted(now);
    }
  }

  private void advance(final long now) {
    if (fetching == 0 || fetched) {
      return;
    }
    final Map<String, Source> whole = new LinkedHashMap<>();
    for (final Voter voter : replica.roster.voters) {
      if (voter.address.equals(replica.self)) {
        continue;
      }
      final Source source = sources.computeIfAbsent(voter.address, address -> new Source());
      if (source.first != null && source.first.roster.number != replica.roster.number) {
        source.first = null;
        source.after = "";
        source.catalogued = false;
        source.asked = null;
      }
      if (source.catalogued) {
        whole.put(voter.address, source);
      } else if (source.asked == null) {
        ask(
            voter.address,
            source,
            new StateStoreMessages.RecoveryRequest(fetching, source.after, null, 0, ++asks),
            now);
      }
    }
    if (whole.size() >= replica.roster.majority()) {
      final Map<String, RegisterVersion> lacking = lacking(whole);
      if (lacking.isEmpty()) {
        finish(whole, now);
        return;
      }
      askValues(whole, lacking, now);
    }
    for (final Map.Entry<String, Source> one : sources.entrySet()) {
      final Source source = one.getValue();
      if (source.asked != null && now - source.askedAt > source.pause) {
        source.pause = Math.min(MOST_PAUSE_MILLIS, source.pause * 2);
        ask(one.getKey(), source, source.asked, now);
      }
    }
  }

  private void ask(
      final String address,
      final Source source,
      final StateStoreMessages.RecoveryRequest fetch,
      final long now) {
    source.asked = fetch;
    source.askedAt = now;
    replica.environment.send(address, fetch);
  }

  private RegisterVersion floor(final Map<String, Source> whole, final int partition) {
    RegisterVersion floor = RegisterVersion.NONE;
    for (final Source source : whole.values()) {
      final RegisterVersion established = source.first.established.get(partition);
      floor = established.compareTo(floor) > 0 ? established : floor;
    }
    return floor;
  }

  /** The registers that a majority holds under a higher mark than is here. */
  private Map<String, RegisterVersion> lacking(final Map<String, Source> whole) {
    final RegisterVersion[] floors = new RegisterVersion[StateStoreReplica.PARTITIONS];
    for (int index = 0; index < floors.length; index++) {
      floors[index] = floor(whole, index);
    }
    final Map<String, RegisterVersion> lacking = new TreeMap<>();
    for (final Source source : whole.values()) {
      for (final Map.Entry<String, RegisterVersion> one : source.marks.entrySet()) {
        final int partition = StateStoreReplica.partition(one.getKey());
        final StoredRegister stored = replica.partitions[partition].stored.get(one.getKey());
        if (one.getValue().compareTo(floors[partition]) >= 0
            && (stored == null || stored.mark.compareTo(one.getValue()) < 0)) {
          lacking.merge(
              one.getKey(),
              one.getValue(),
              (before, mark) -> before.compareTo(mark) >= 0 ? before : mark);
        }
      }
    }
    return lacking;
  }

  /** Shares what is lacking among the voters that hold it, one part under way at each. */
  private void askValues(
      final Map<String, Source> whole, final Map<String, RegisterVersion> lacking, final long now) {
    final Set<String> taken = new HashSet<>();
    for (final Source source : whole.values()) {
      if (source.asked != null) {
        taken.addAll(Protocol.list(source.asked.names));
      }
    }
    final int share = Math.max(1, Math.min(MOST_NAMES, lacking.size() / Math.max(1, whole.size())));
    for (final Map.Entry<String, Source> one : whole.entrySet()) {
      final Source source = one.getValue();
      if (source.asked != null) {
        continue;
      }
      final List<String> names = new ArrayList<>();
      for (final Map.Entry<String, RegisterVersion> wanted : lacking.entrySet()) {
        if (names.size() < share
            && !taken.contains(wanted.getKey())
            && wanted.getValue().equals(source.marks.get(wanted.getKey()))) {
          final boolean begun = pieces.containsKey(wanted.getKey());
          if (begun && !names.isEmpty()) {
            continue;
          }
          names.add(wanted.getKey());
          if (begun) {
            break;
          }
        }
      }
      if (!names.isEmpty()) {
        taken.addAll(names);
        final PartialValue piece = pieces.get(names.get(0));
        ask(
            one.getKey(),
            source,
            new StateStoreMessages.RecoveryRequest(
                fetching, "", names, piece == null ? 0 : piece.bytes.size(), ++asks),
            now);
      }
    }
  }

  private void finish(final Map<String, Source> whole, final long now) {
    for (final Source source : whole.values()) {
      for (int index = 0; index < replica.roster.voters.size(); index++) {
        replica.known.merge(
            replica.roster.voters.get(index).address, source.first.known.get(index), Math::max);
      }
      for (final Partition partition : replica.partitions) {
        final RegisterVersion promised = source.first.promised.get(partition.number);
        partition.promised =
            promised.compareTo(partition.promised) > 0 ? promised : partition.promised;
      }
    }
    for (final Partition partition : replica.partitions) {
      final RegisterVersion floor = floor(whole, partition.number);
      partition.established =
          floor.compareTo(partition.established) > 0 ? floor : partition.established;
      partition
          .stored
          .values()
          .removeIf(stored -> stored.mark.compareTo(partition.established) < 0);
      partition.vacateAt = now + StateStoreReplica.VACANT_MILLIS + replica.random.nextInt(300);
    }
    replica.incarnation = fetching;
    replica.known.remove(replica.self);
    fetched = true;
    pieces.clear();
    whole.forEach(
        (address, source) -> {
          if (source.first.audited > wantedAudit) {
            wantedAudit = source.first.audited;
            wantedFrom = address;
          }
        });
    final List<byte[]> records = replica.claims();
    for (int index = 0; index < records.size(); index++) {
      final boolean last = index == records.size() - 1;
      replica.environment.append(
          records.get(index),
          last
              ? () -> {
                registersKept = true;
                mayBeWhole();
              }
              : () -> {});
    }
    LOGGER.atInfo().log(
        "frame %s has the registers of a majority: %s parts, %s KB, %s ms",
        replica.self, parts, bytes / 1024, now - startedAt);
    wantedSeen = replica.audit.log().last();
    if (wantedFrom != null && wantedSeen < wantedAudit) {
      askHistory(now);
    }
  }

  /**
   * A blank daemon counts again once its registers and as much of the history as a majority told of
   * are on its disk, and it has noted there that it counts.
   */
  void mayBeWhole() {
    if (replica.blank
        && registersKept
        && !wholeAsked
        && replica.audit.log().lastDurable() >= wantedAudit) {
      wholeAsked = true;
      replica.persist(
          replica.selfRecord(),
          () -> {
            replica.blank = false;
            sources.clear();
            LOGGER.atInfo().log(
                "frame %s refetched everything as incarnation %s, history up to %s",
                replica.self, replica.incarnation, replica.audit.log().last());
          });
    }
  }

  /**
   * Asks for the history, of which each part brings the next; where nothing comes for a while,
   * another voter is asked.
   */
  private void askWanted(final long now) {
    final long last = replica.audit.log().last();
    if (!fetched || wantedFrom == null || last >= wantedAudit) {
      return;
    }
    if (last > wantedSeen) {
      wantedSeen = last;
      wantedAskedAt = now;
    } else if (now - wantedAskedAt > PAUSE_MILLIS) {
      final List<String> others = new ArrayList<>(sources.keySet());
      others.removeIf(
          address ->
              sources.get(address).first == null
                  || sources.get(address).first.audited < wantedAudit);
      wantedFrom =
          others.isEmpty()
              ? wantedFrom
              : others.get((others.indexOf(wantedFrom) + 1) % others.size());
      askHistory(now);
    }
  }

  private void askHistory(final long now) {
    wantedAskedAt = now;
    replica.audit.requestMissing(wantedFrom);
  }

  /** What came in parts, as counters. */
  String counters() {
    return "fetched " + parts + " parts " + bytes / 1024 + " KB";
  }
}
