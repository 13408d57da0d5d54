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
 * Recovery of a replica with an empty disk from a majority of voters: both the recovering side and
 * the side that serves it. The recovering replica takes one new incarnation, reads from a majority
 * the catalog of their registers with their versions, and requests the values that it lacks in
 * responses of bounded size. Received values are kept, also over a restart; values that change
 * meanwhile are not requested again.
 */
final class Recovery {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long MEMBERSHIP_REQUEST_INTERVAL_MILLIS = 400;
  private static final long RETRY_MILLIS = 2000;
  private static final long MAX_RETRY_MILLIS = 8000;
  private static final int RESPONSE_BYTES = 32 << 10;
  private static final int FIRST_PAGE_VALUE_BYTES = 24 << 10;
  private static final int ENTRY_OVERHEAD_BYTES = 96;
  private static final int MAX_NAMES_PER_REQUEST = 256;

  /** What one voter has sent to the recovering replica so far. */
  private static final class Source {
    private final Map<String, RegisterVersion> versions = new HashMap<>();
    private StateStoreMessages.RecoveryResponse firstPage;
    private String lastName = "";
    private boolean catalogComplete;
    private boolean heardFrom;
    private StateStoreMessages.RecoveryRequest request;
    private long requestedAt;
    private long retryMillis = RETRY_MILLIS;
  }

  /** A large value of which some bytes have been received. */
  private static final class PartialValue {
    private final RegisterEntry firstEntry;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    private PartialValue(final RegisterEntry firstEntry) {
      this.firstEntry = firstEntry;
    }
  }

  /** A large value that is being sent to a recovering replica in chunks. */
  private record OutgoingValue(String name, RegisterVersion version, byte[] encoded) {}

  private final StateStoreReplica replica;
  private long membershipRequestNumber;
  private long membershipRequestedAt = Long.MIN_VALUE / 2;
  private final Map<String, StateStoreMessages.MembershipResponse> membershipResponses =
      new HashMap<>();
  private final Map<String, Source> sources = new LinkedHashMap<>();
  private final Map<String, PartialValue> partialValues = new HashMap<>();
  private final Map<String, OutgoingValue> outgoingValues = new HashMap<>();
  private final Set<String> recoveringPeers = new HashSet<>();
  private long newIncarnation;
  private boolean registersComplete;
  private long targetHistoryEntry;
  private String historySource;
  private long historyRequestedAt;
  private long lastHistoryEntrySeen;
  private boolean registersDurable;
  private boolean completionRecorded;
  private long requestCount;
  private long responsesReceived;
  private long bytesReceived;
  private long startedAt;

  Recovery(final StateStoreReplica replica) {
    this.replica = replica;
  }

  /** The next membership request; null if the last one is too recent. */
  StateStoreMessages.MembershipRequest nextMembershipRequest(final long now) {
    if (now - membershipRequestedAt < MEMBERSHIP_REQUEST_INTERVAL_MILLIS) {
      return null;
    }
    membershipRequestedAt = now;
    membershipRequestNumber++;
    membershipResponses.clear();
    return new StateStoreMessages.MembershipRequest(membershipRequestNumber);
  }

  /**
   * Whether a replica is known to be recovering: it drops registers sent to it until it votes
   * again.
   */
  boolean isRecovering(final String address) {
    return recoveringPeers.contains(address);
  }

  /** Notes that a replica is not recovering: it votes, or asks to become a voter. */
  void markRecovered(final String address) {
    if (recoveringPeers.remove(address)) {
      outgoingValues.remove(address);
    }
  }

  void onMembershipRequest(
      final String from,
      final StateStoreMessages.MembershipRequest request,
      final Consumer<Message> reply) {
    final List<String> leaders = new ArrayList<>();
    for (final Partition partition : replica.partitions) {
      leaders.add(partition.leader == null ? "" : partition.leader);
    }
    reply.accept(
        new StateStoreMessages.MembershipResponse(
            request.number,
            replica.recovering,
            replica.roster,
            replica.incarnationOf(from),
            leaders));
  }

  void onMembershipResponse(
      final String from, final StateStoreMessages.MembershipResponse answer, final long now) {
    if (answer.blankDisk) {
      return;
    }
    if (!replica.recovering) {
      replica.adoptRoster(answer.roster, now);
      if (replica.roster.indexOf(replica.self) < 0) {
        final List<String> leaders = Protocol.emptyIfNull(answer.holders);
        for (int index = 0; index < leaders.size(); index++) {
          replica.partitions[index].leader =
              leaders.get(index).isEmpty() ? null : leaders.get(index);
        }
      }
      return;
    }
    takeRoster(answer.roster);
    if (newIncarnation != 0) {
      retryFirstContact(from, now);
      return;
    }
    if (answer.number != membershipRequestNumber) {
      return;
    }
    membershipResponses.put(from, answer);
    long most = 0;
    int answers = 0;
    for (final Voter voter : replica.roster.voters) {
      final StateStoreMessages.MembershipResponse one = membershipResponses.get(voter.address);
      if (one != null && !voter.address.equals(replica.self)) {
        answers++;
        most = Math.max(most, one.incarnation);
      }
    }
    if (answers >= replica.roster.majority()) {
      newIncarnation = most + 1;
      startedAt = now;
      advance(now);
    }
  }

  /** Repeats the request to a voter heard for the first time: it may have missed the request. */
  private void retryFirstContact(final String from, final long now) {
    final Source source = sources.get(from);
    if (source != null && !source.heardFrom) {
      source.heardFrom = true;
      if (source.request != null
          && now - source.requestedAt > StateStoreReplica.RESEND_INTERVAL_MILLIS / 2) {
        sendRequest(from, source, source.request, now);
      }
    }
  }

  /** Drops the pending request to a voter whose connection has ended. */
  void connectionClosed(final String address) {
    final Source source = sources.get(address);
    if (source != null) {
      source.request = null;
      source.heardFrom = false;
    }
    if (address.equals(historySource)) {
      historyRequestedAt = Long.MIN_VALUE / 2;
    }
  }

  private void takeRoster(final StateStoreMessages.Roster roster) {
    if (roster.number > replica.roster.number) {
      replica.roster = roster;
      replica.updatePeers();
    }
  }

  // ---- the serving side

  void onRecoveryRequest(
      final String from,
      final StateStoreMessages.RecoveryRequest request,
      final Consumer<Message> reply) {
    if (!replica.canVote()
        || replica.knownIncarnations.containsKey(from)
            && request.incarnation < replica.knownIncarnations.get(from)) {
      return;
    }
    recoveringPeers.add(from);
    final boolean incarnationIsNew = request.incarnation > replica.incarnationOf(from);
    replica.knownIncarnations.merge(from, request.incarnation, Math::max);
    final int index = replica.roster.indexOf(from);
    if (incarnationIsNew && index >= 0) {
      LOGGER.atInfo().log(
          "state store %s learns that %s lost its disk and recovers as incarnation %s",
          replica.self, from, request.incarnation);
      replica.onNewIncarnation(index);
    }
    if (!incarnationIsNew
        && !(request.after.isEmpty() && Protocol.emptyIfNull(request.names).isEmpty())) {
      reply.accept(recoveryResponse(from, request));
      return;
    }
    replica.persist(
        new StoredValues.DiskRecord(
            StateStoreReplica.RECORD_PEER_INCARNATION,
            0,
            null,
            null,
            null,
            from,
            request.incarnation),
        () -> reply.accept(recoveryResponse(from, request)));
  }

  private StateStoreMessages.RecoveryResponse recoveryResponse(
      final String from, final StateStoreMessages.RecoveryRequest request) {
    return Protocol.emptyIfNull(request.names).isEmpty()
        ? catalogPage(request)
        : valuesResponse(from, request);
  }

  private StateStoreMessages.RecoveryResponse response(
      final StateStoreMessages.RecoveryRequest request,
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
        request.incarnation,
        replica.roster,
        promised,
        established,
        entries,
        replica.voterIncarnations(),
        replica.audit.log().last(),
        request.after,
        values,
        more,
        absent,
        offset,
        total,
        request.number);
  }

  /**
   * One page of the catalog: the registers after a name, in order of name, until the response is
   * full. Only the first page carries values, as long as they fit.
   */
  private StateStoreMessages.RecoveryResponse catalogPage(
      final StateStoreMessages.RecoveryRequest request) {
    final TreeMap<String, StoredRegister> all = new TreeMap<>();
    for (final Partition partition : replica.partitions) {
      all.putAll(partition.stored);
    }
    final List<RegisterEntry> entries = new ArrayList<>();
    int valueBytesLeft = request.after.isEmpty() ? FIRST_PAGE_VALUE_BYTES : 0;
    int remainingBytes = RESPONSE_BYTES;
    for (final Map.Entry<String, StoredRegister> one :
        all.tailMap(request.after, false).entrySet()) {
      remainingBytes -= ENTRY_OVERHEAD_BYTES + one.getKey().length();
      if (remainingBytes < 0) {
        return response(request, entries, false, true, null, 0, 0);
      }
      final StoredRegister stored = one.getValue();
      byte[] encoded =
          valueBytesLeft > 0 ? StoredValues.Kind.of(one.getKey()).encode(stored.value) : null;
      if (encoded != null) {
        final int size = encoded.length + (stored.auditTail == null ? 0 : stored.auditTail.length);
        encoded = size <= valueBytesLeft ? encoded : null;
        valueBytesLeft -= size <= valueBytesLeft ? size : 0;
      }
      entries.add(
          new RegisterEntry(
              one.getKey(),
              stored.version,
              RegisterVersion.NONE,
              null,
              encoded,
              encoded == null ? null : stored.auditTail));
    }
    return response(request, entries, false, false, null, 0, 0);
  }

  private StateStoreMessages.RecoveryResponse valuesResponse(
      final String from, final StateStoreMessages.RecoveryRequest request) {
    final List<RegisterEntry> entries = new ArrayList<>();
    final List<String> absent = new ArrayList<>();
    int bytesLeft = RESPONSE_BYTES;
    for (final String name : request.names) {
      final StoredRegister stored =
          replica.partitions[StateStoreReplica.partitionOf(name)].stored.get(name);
      if (stored == null) {
        absent.add(name);
        continue;
      }
      OutgoingValue value = request.offset > 0 ? outgoingValues.get(from) : null;
      if (value == null || !value.name.equals(name) || request.offset >= value.encoded.length) {
        value =
            new OutgoingValue(
                name, stored.version, StoredValues.Kind.of(name).encode(stored.value));
      }
      final int size =
          value.encoded.length + (stored.auditTail == null ? 0 : stored.auditTail.length);
      if (value.encoded.length > RESPONSE_BYTES) {
        if (!entries.isEmpty()) {
          break;
        }
        final int offset = outgoingValues.get(from) == value ? request.offset : 0;
        final int until = Math.min(value.encoded.length, offset + RESPONSE_BYTES);
        outgoingValues.put(from, value);
        if (until == value.encoded.length) {
          outgoingValues.remove(from);
        }
        final byte[] chunk = java.util.Arrays.copyOfRange(value.encoded, offset, until);
        return response(
            request,
            List.of(
                new RegisterEntry(
                    name,
                    value.version,
                    RegisterVersion.NONE,
                    null,
                    chunk,
                    offset == 0 ? stored.auditTail : null)),
            true,
            false,
            absent,
            offset,
            value.encoded.length);
      }
      if (size > bytesLeft && !entries.isEmpty()) {
        break;
      }
      bytesLeft -= size;
      entries.add(
          new RegisterEntry(
              name, value.version, RegisterVersion.NONE, null, value.encoded, stored.auditTail));
    }
    return response(request, entries, true, false, absent, 0, 0);
  }

  // ---- the recovering side

  void onRecoveryResponse(
      final String from, final StateStoreMessages.RecoveryResponse answer, final long now) {
    if (!replica.recovering
        || registersComplete
        || answer.incarnation != newIncarnation
        || newIncarnation == 0) {
      return;
    }
    takeRoster(answer.roster);
    final Source source = sources.get(from);
    if (source == null || source.request == null || source.request.number != answer.number) {
      return;
    }
    final List<RegisterEntry> entries = Protocol.emptyIfNull(answer.entries);
    responsesReceived++;
    if (answer.containsValues) {
      receiveValues(source, answer, entries);
    } else {
      if (answer.after.isEmpty()) {
        source.firstPage = answer;
        source.versions.clear();
      }
      for (final RegisterEntry entry : entries) {
        source.versions.put(entry.name, entry.version);
        if (entry.fullValue != null) {
          storeFetched(entry);
        }
        source.lastName = entry.name;
      }
      source.catalogComplete = !answer.more;
    }
    source.request = null;
    source.heardFrom = true;
    source.retryMillis =
        Math.min(MAX_RETRY_MILLIS, Math.max(RETRY_MILLIS, 2 * (now - source.requestedAt)));
    advance(now);
  }

  private void receiveValues(
      final Source source,
      final StateStoreMessages.RecoveryResponse answer,
      final List<RegisterEntry> entries) {
    for (final String name : Protocol.emptyIfNull(answer.absentNames)) {
      source.versions.remove(name);
    }
    if (answer.total == 0) {
      entries.forEach(this::storeFetched);
      return;
    }
    final RegisterEntry entry = entries.get(0);
    PartialValue partial = partialValues.get(entry.name);
    if (answer.offset == 0) {
      partial = new PartialValue(entry);
      partialValues.put(entry.name, partial);
    }
    if (partial == null
        || !partial.firstEntry.version.equals(entry.version)
        || partial.bytes.size() != answer.offset) {
      return;
    }
    partial.bytes.writeBytes(entry.fullValue);
    bytesReceived += entry.fullValue.length;
    if (partial.bytes.size() == answer.total) {
      partialValues.remove(entry.name);
      bytesReceived -= answer.total;
      storeFetched(
          new RegisterEntry(
              entry.name,
              entry.version,
              RegisterVersion.NONE,
              null,
              partial.bytes.toByteArray(),
              partial.firstEntry.auditEntry));
    }
  }

  /** Stores a received value in memory and on disk, so that it is not requested again. */
  private void storeFetched(final RegisterEntry entry) {
    final Partition partition = replica.partitions[StateStoreReplica.partitionOf(entry.name)];
    bytesReceived += entry.fullValue.length;
    final StoredRegister before = partition.stored.get(entry.name);
    if (before != null && before.version.compareTo(entry.version) >= 0) {
      return;
    }
    partition.store(entry.version.ballot(), false, List.of(entry), new ArrayList<>());
    replica.persist(
        new StoredValues.DiskRecord(
            StateStoreReplica.RECORD_REGISTERS,
            partition.number,
            entry.version.ballot(),
            List.of(entry),
            null,
            null,
            0),
        () -> {});
  }

  /**
   * Repeats unanswered requests with a growing back-off; a request whose connection has ended is
   * repeated at once.
   */
  void tick(final long now) {
    if (replica.recovering) {
      advance(now);
      retryHistoryRequest(now);
    }
  }

  private void advance(final long now) {
    if (newIncarnation == 0 || registersComplete) {
      return;
    }
    final Map<String, Source> catalogs = new LinkedHashMap<>();
    for (final Voter voter : replica.roster.voters) {
      if (voter.address.equals(replica.self)) {
        continue;
      }
      final Source source = sources.computeIfAbsent(voter.address, address -> new Source());
      if (source.firstPage != null && source.firstPage.roster.number != replica.roster.number) {
        source.firstPage = null;
        source.lastName = "";
        source.catalogComplete = false;
        source.request = null;
      }
      if (source.catalogComplete) {
        catalogs.put(voter.address, source);
      } else if (source.request == null) {
        sendRequest(
            voter.address,
            source,
            new StateStoreMessages.RecoveryRequest(
                newIncarnation, source.lastName, null, 0, ++requestCount),
            now);
      }
    }
    if (catalogs.size() >= replica.roster.majority()) {
      final Map<String, RegisterVersion> missing = missingRegisters(catalogs);
      if (missing.isEmpty()) {
        completeRegisters(catalogs, now);
        return;
      }
      requestValues(catalogs, missing, now);
    }
    for (final Map.Entry<String, Source> one : sources.entrySet()) {
      final Source source = one.getValue();
      if (source.request != null && now - source.requestedAt > source.retryMillis) {
        source.retryMillis = Math.min(MAX_RETRY_MILLIS, source.retryMillis * 2);
        sendRequest(one.getKey(), source, source.request, now);
      }
    }
  }

  private void sendRequest(
      final String address,
      final Source source,
      final StateStoreMessages.RecoveryRequest request,
      final long now) {
    source.request = request;
    source.requestedAt = now;
    replica.environment.send(address, request);
  }

  private RegisterVersion floor(final Map<String, Source> catalogs, final int partition) {
    RegisterVersion floor = RegisterVersion.NONE;
    for (final Source source : catalogs.values()) {
      final RegisterVersion established = source.firstPage.established.get(partition);
      floor = established.compareTo(floor) > 0 ? established : floor;
    }
    return floor;
  }

  /** The registers that a majority has under a higher version than this replica. */
  private Map<String, RegisterVersion> missingRegisters(final Map<String, Source> catalogs) {
    final RegisterVersion[] floors = new RegisterVersion[StateStoreReplica.PARTITIONS];
    for (int index = 0; index < floors.length; index++) {
      floors[index] = floor(catalogs, index);
    }
    final Map<String, RegisterVersion> missing = new TreeMap<>();
    for (final Source source : catalogs.values()) {
      for (final Map.Entry<String, RegisterVersion> one : source.versions.entrySet()) {
        final int partition = StateStoreReplica.partitionOf(one.getKey());
        final StoredRegister stored = replica.partitions[partition].stored.get(one.getKey());
        if (one.getValue().compareTo(floors[partition]) >= 0
            && (stored == null || stored.version.compareTo(one.getValue()) < 0)) {
          missing.merge(
              one.getKey(),
              one.getValue(),
              (before, version) -> before.compareTo(version) >= 0 ? before : version);
        }
      }
    }
    return missing;
  }

  /** Spreads requests for missing values over the voters that have them, one at a time each. */
  private void requestValues(
      final Map<String, Source> catalogs,
      final Map<String, RegisterVersion> missing,
      final long now) {
    final Set<String> requested = new HashSet<>();
    for (final Source source : catalogs.values()) {
      if (source.request != null) {
        requested.addAll(Protocol.emptyIfNull(source.request.names));
      }
    }
    final int share =
        Math.max(1, Math.min(MAX_NAMES_PER_REQUEST, missing.size() / Math.max(1, catalogs.size())));
    for (final Map.Entry<String, Source> one : catalogs.entrySet()) {
      final Source source = one.getValue();
      if (source.request != null) {
        continue;
      }
      final List<String> names = new ArrayList<>();
      for (final Map.Entry<String, RegisterVersion> wanted : missing.entrySet()) {
        if (names.size() < share
            && !requested.contains(wanted.getKey())
            && wanted.getValue().equals(source.versions.get(wanted.getKey()))) {
          final boolean begun = partialValues.containsKey(wanted.getKey());
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
        requested.addAll(names);
        final PartialValue partial = partialValues.get(names.get(0));
        sendRequest(
            one.getKey(),
            source,
            new StateStoreMessages.RecoveryRequest(
                newIncarnation,
                "",
                names,
                partial == null ? 0 : partial.bytes.size(),
                ++requestCount),
            now);
      }
    }
  }

  private void completeRegisters(final Map<String, Source> catalogs, final long now) {
    for (final Source source : catalogs.values()) {
      for (int index = 0; index < replica.roster.voters.size(); index++) {
        replica.knownIncarnations.merge(
            replica.roster.voters.get(index).address,
            source.firstPage.knownIncarnations.get(index),
            Math::max);
      }
      for (final Partition partition : replica.partitions) {
        final RegisterVersion promised = source.firstPage.promised.get(partition.number);
        partition.promised =
            promised.compareTo(partition.promised) > 0 ? promised : partition.promised;
      }
    }
    for (final Partition partition : replica.partitions) {
      final RegisterVersion floor = floor(catalogs, partition.number);
      partition.established =
          floor.compareTo(partition.established) > 0 ? floor : partition.established;
      partition
          .stored
          .values()
          .removeIf(stored -> stored.version.compareTo(partition.established) < 0);
      partition.electionDueAt =
          now + StateStoreReplica.LEADER_TIMEOUT_MILLIS + replica.random.nextInt(300);
    }
    replica.incarnation = newIncarnation;
    replica.knownIncarnations.remove(replica.self);
    registersComplete = true;
    partialValues.clear();
    catalogs.forEach(
        (address, source) -> {
          if (source.firstPage.auditedThrough > targetHistoryEntry) {
            targetHistoryEntry = source.firstPage.auditedThrough;
            historySource = address;
          }
        });
    final List<byte[]> records = replica.metadataRecords();
    for (int index = 0; index < records.size(); index++) {
      final boolean last = index == records.size() - 1;
      replica.environment.append(
          records.get(index),
          last
              ? () -> {
                registersDurable = true;
                completeIfDurable();
              }
              : () -> {});
    }
    LOGGER.atInfo().log(
        "state store %s recovered the registers of a majority: %s responses, %s KB, %s ms",
        replica.self, responsesReceived, bytesReceived / 1024, now - startedAt);
    lastHistoryEntrySeen = replica.audit.log().last();
    if (historySource != null && lastHistoryEntrySeen < targetHistoryEntry) {
      requestHistory(now);
    }
  }

  /**
   * Completes the recovery once the registers and the history up to the last entry that a majority
   * reported are on disk: the replica counts as a voter again after it has recorded its incarnation
   * there too.
   */
  void completeIfDurable() {
    if (replica.recovering
        && registersDurable
        && !completionRecorded
        && replica.audit.log().lastDurable() >= targetHistoryEntry) {
      completionRecorded = true;
      replica.persist(
          replica.selfRecord(),
          () -> {
            replica.recovering = false;
            sources.clear();
            LOGGER.atInfo().log(
                "state store %s recovered from the other replicas as incarnation %s, history up to entry %s",
                replica.self, replica.incarnation, replica.audit.log().last());
          });
    }
  }

  /**
   * Moves the history request to another voter if no entry has arrived for {@link #RETRY_MILLIS};
   * each received part triggers the request for the next.
   */
  private void retryHistoryRequest(final long now) {
    final long last = replica.audit.log().last();
    if (!registersComplete || historySource == null || last >= targetHistoryEntry) {
      return;
    }
    if (last > lastHistoryEntrySeen) {
      lastHistoryEntrySeen = last;
      historyRequestedAt = now;
    } else if (now - historyRequestedAt > RETRY_MILLIS) {
      final List<String> others = new ArrayList<>(sources.keySet());
      others.removeIf(
          address ->
              sources.get(address).firstPage == null
                  || sources.get(address).firstPage.auditedThrough < targetHistoryEntry);
      historySource =
          others.isEmpty()
              ? historySource
              : others.get((others.indexOf(historySource) + 1) % others.size());
      requestHistory(now);
    }
  }

  private void requestHistory(final long now) {
    historyRequestedAt = now;
    replica.audit.requestMissing(historySource);
  }

  /** The counters of received responses and bytes. */
  String counters() {
    return "fetched " + responsesReceived + " parts " + bytesReceived / 1024 + " KB";
  }
}
