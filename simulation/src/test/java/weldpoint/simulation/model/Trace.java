package weldpoint.simulation.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.simulation.StateStoreSimulation;
import weldpoint.statestore.DiskContents;
import weldpoint.statestore.StateStoreReplica;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.StateStoreMessages;

/**
 * Takes what real cores send, get and put on disk for steps of the model, and checks that the model
 * allows each: by what is lasting on the sender's own disk at that moment, and by what the sender
 * got from others before.
 */
final class Trace implements StateStoreSimulation.Observer {
  /** The steps of the model that are recognised. */
  enum Step {
    BEGIN,
    PROMISE,
    ESTABLISH,
    ACCEPT,
    SERVE,
    PROPOSE,
    COMMIT,
    CONFIRM,
    ADOPT,
    PROPOSE_ROSTER,
    FETCH,
    COUNT_AGAIN
  }

  /** A ballot, as its owner sees it. */
  private static final class Ballot {
    final RegisterVersion mark;
    final StateStoreMessages.Roster roster;
    final Map<String, StateStoreMessages.Promise> promises = new HashMap<>();
    final Map<String, Long> counted = new HashMap<>();
    final Set<String> established = new HashSet<>();
    final Map<String, Map<String, Long>> accepted = new HashMap<>();
    final Map<String, Long> proposed = new HashMap<>();
    List<StateStoreMessages.RegisterEntry> own;
    RegisterVersion ownEstablished;
    boolean establishes;
    boolean serves;

    Ballot(final RegisterVersion mark, final StateStoreMessages.Roster roster) {
      this.mark = mark;
      this.roster = roster;
    }
  }

  /** One machine: its disk, and what its process of the moment has got. */
  private static final class Machine {
    DiskContents kept = new DiskContents(List.of());
    final RegisterVersion[] given = new RegisterVersion[StateStoreReplica.PARTITIONS];
    final Ballot[] ballots = new Ballot[StateStoreReplica.PARTITIONS];
    final Map<String, Long> heard = new HashMap<>();
    final Map<String, List<StateStoreMessages.RecoveryResponse>> fetched = new HashMap<>();

    boolean whole() {
      return kept.incarnation() > 0;
    }
  }

  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Map<RegisterVersion, String> owners = new HashMap<>();
  private final Map<Long, String> rosters = new HashMap<>();
  private final Map<Long, Set<Integer>> settled = new HashMap<>();
  private final EnumMap<Step, Integer> steps = new EnumMap<>(Step.class);
  private final List<String> breaches = new ArrayList<>();

  /** All steps that the model does not allow. */
  List<String> breaches() {
    return breaches;
  }

  /** How many steps of each kind were seen. */
  Map<Step, Integer> steps() {
    return steps;
  }

  private void step(final Step step) {
    steps.merge(step, 1, Integer::sum);
  }

  private void must(final boolean holds, final String address, final String otherwise) {
    if (!holds && breaches.size() < 20) {
      breaches.add(address + " " + otherwise);
    }
  }

  private Machine machine(final String address) {
    return machines.computeIfAbsent(address, key -> new Machine());
  }

  // ---- disks

  @Override
  public void started(final String address, final List<byte[]> records) {
    final Machine machine = new Machine();
    machine.kept = new DiskContents(records);
    machines.put(address, machine);
    for (int partition = 0; partition < StateStoreReplica.PARTITIONS; partition++) {
      machine.given[partition] = machine.kept.promised(partition);
    }
    known(machine.kept.roster(), address);
  }

  @Override
  public void appended(final String address, final byte[] record) {
    final Machine machine = machine(address);
    final DiskContents.Kind kind = DiskContents.kind(record);
    if (machine.whole()
        && (kind == DiskContents.Kind.PROMISE || kind == DiskContents.Kind.REGISTERS)) {
      final int partition = DiskContents.partition(record);
      final RegisterVersion ballot = DiskContents.ballot(record);
      must(
          ballot.compareTo(machine.given[partition]) >= 0,
          address,
          "takes ballot "
              + ballot
              + " of partition "
              + partition
              + " though it has taken "
              + machine.given[partition]);
      machine.given[partition] = ballot;
    }
  }

  @Override
  public void lasting(final String address, final byte[] record) {
    final Machine machine = machine(address);
    final boolean before = machine.whole();
    final long number = machine.kept.roster().number;
    machine.kept.apply(record);
    final DiskContents.Kind kind = DiskContents.kind(record);
    if (!before) {
      if (machine.whole()) {
        countsAgain(address, machine);
      }
      return;
    }
    if (kind == DiskContents.Kind.PROMISE) {
      final int partition = DiskContents.partition(record);
      final Ballot ballot = machine.ballots[partition];
      if (ballot != null && ballot.mark.equals(DiskContents.ballot(record))) {
        ballot.own = machine.kept.entries(partition);
        ballot.ownEstablished = machine.kept.established(partition);
      }
    } else if (machine.kept.roster().number > number) {
      step(Step.ADOPT);
      known(machine.kept.roster(), address);
      Arrays.fill(machine.ballots, null);
    }
  }

  /**
   * A blank disk counts again: it holds at least what each of a majority told of it under one
   * roster and this incarnation.
   */
  private void countsAgain(final String address, final Machine machine) {
    step(Step.COUNT_AGAIN);
    final DiskContents kept = machine.kept;
    int told = 0;
    for (final StateStoreMessages.Voter voter : kept.roster().voters) {
      final Map<String, Boolean> pages = new HashMap<>();
      boolean ends = false;
      for (final StateStoreMessages.RecoveryResponse one :
          machine.fetched.getOrDefault(voter.address, List.of())) {
        if (one.incarnation == kept.incarnation()
            && one.roster.number == kept.roster().number
            && !one.containsValues) {
          pages.merge(one.after, covers(kept, one), (before, now) -> before || now);
          ends |= !one.more;
        }
      }
      final boolean covered = ends && !pages.containsValue(false);
      told += covered ? 1 : 0;
    }
    must(
        told >= kept.roster().majority(),
        address,
        "counts again as incarnation "
            + kept.incarnation()
            + " with what "
            + told
            + " of "
            + kept.roster().voters.size()
            + " voters hold");
    for (int partition = 0; partition < StateStoreReplica.PARTITIONS; partition++) {
      machine.given[partition] = kept.promised(partition);
    }
  }

  private static boolean covers(
      final DiskContents kept, final StateStoreMessages.RecoveryResponse told) {
    for (int partition = 0; partition < Protocol.emptyIfNull(told.promised).size(); partition++) {
      if (kept.promised(partition).compareTo(told.promised.get(partition)) < 0
          || kept.established(partition).compareTo(told.established.get(partition)) < 0) {
        return false;
      }
    }
    for (final StateStoreMessages.RegisterEntry entry : Protocol.emptyIfNull(told.entries)) {
      final int partition = StateStoreReplica.partitionOf(entry.name);
      if (entry.version.compareTo(kept.established(partition)) >= 0
          && kept.stored(partition, entry.name).compareTo(entry.version) < 0) {
        return false;
      }
    }
    return true;
  }

  private void known(final StateStoreMessages.Roster roster, final String address) {
    final StringBuilder content = new StringBuilder();
    roster.voters.forEach(
        voter -> content.append(voter.address).append(' ').append(voter.site).append("; "));
    final String before = rosters.putIfAbsent(roster.number, content.toString());
    must(
        before == null || before.equals(content.toString()),
        address,
        "has a second roster " + roster.number + ": " + content + " besides " + before);
  }

  // ---- what is sent

  @Override
  public void sent(final String from, final String to, final Message message) {
    final Machine machine = machine(from);
    if (message instanceof StateStoreMessages.Prepare) {
      begins(from, machine, (StateStoreMessages.Prepare) message);
    } else if (message instanceof StateStoreMessages.Promise) {
      promises(from, machine, (StateStoreMessages.Promise) message);
    } else if (message instanceof StateStoreMessages.Accept) {
      proposes(from, machine, (StateStoreMessages.Accept) message);
    } else if (message instanceof StateStoreMessages.Accepted) {
      accepts(from, machine, (StateStoreMessages.Accepted) message);
    } else if (message instanceof StateStoreMessages.Heartbeat) {
      serves(from, machine, (StateStoreMessages.Heartbeat) message);
    } else if (message instanceof StateStoreMessages.HeartbeatAck) {
      confirms(from, machine, (StateStoreMessages.HeartbeatAck) message);
    } else if (message instanceof StateStoreMessages.RecoveryResponse) {
      step(Step.FETCH);
      final StateStoreMessages.RecoveryResponse fetched =
          (StateStoreMessages.RecoveryResponse) message;
      must(machine.whole(), from, "answers a fetch though its own disk is blank");
      must(
          machine.kept.peerIncarnations(to) >= fetched.incarnation,
          from,
          "answers a fetch of "
              + to
              + " before incarnation "
              + fetched.incarnation
              + " is on its disk");
      for (int partition = 0;
          partition < Protocol.emptyIfNull(fetched.promised).size();
          partition++) {
        must(
            fetched.promised.get(partition).compareTo(machine.kept.promised(partition)) >= 0,
            from,
            "tells less than it has promised in partition " + partition);
      }
    } else if (message instanceof StateStoreMessages.RosterUpdate) {
      known(((StateStoreMessages.RosterUpdate) message).roster, from);
    }
  }

  private void votes(
      final String from,
      final Machine machine,
      final long incarnation,
      final List<Long> known,
      final String what) {
    must(machine.whole(), from, what + " though its disk is blank");
    must(
        incarnation == machine.kept.incarnation(),
        from,
        what + " as incarnation " + incarnation + " and is " + machine.kept.incarnation());
    must(
        Protocol.emptyIfNull(known).size() == machine.kept.roster().voters.size(),
        from,
        what + " with a list of incarnations for another roster");
    for (int place = 0;
        place < Protocol.emptyIfNull(known).size() && place < machine.kept.roster().voters.size();
        place++) {
      final String address = machine.kept.roster().voters.get(place).address;
      must(
          address.equals(from) || known.get(place) >= machine.kept.peerIncarnations(address),
          from,
          what + " and tells an older incarnation of " + address + " than it knows");
    }
    must(machine.kept.roster().indexOf(from) >= 0, from, what + " and is no voter");
  }

  private void promises(
      final String from, final Machine machine, final StateStoreMessages.Promise promise) {
    step(Step.PROMISE);
    final String what = "promises ballot " + promise.ballot + " of partition " + promise.partition;
    votes(from, machine, promise.incarnation, promise.knownIncarnations, what);
    must(
        machine.kept.promised(promise.partition).compareTo(promise.ballot) >= 0,
        from,
        what + " before it is on its disk");
    must(
        promise.established.compareTo(machine.kept.established(promise.partition)) >= 0,
        from,
        what + " and hides an establishment");
    final Map<String, RegisterVersion> told = new HashMap<>();
    Protocol.emptyIfNull(promise.entries).forEach(entry -> told.put(entry.name, entry.version));
    for (final StateStoreMessages.RegisterEntry entry : machine.kept.entries(promise.partition)) {
      must(
          told.getOrDefault(entry.name, RegisterVersion.NONE).compareTo(entry.version) >= 0,
          from,
          what + " and hides " + entry.name + " at " + entry.version);
    }
  }

  private void accepts(
      final String from, final Machine machine, final StateStoreMessages.Accepted accepted) {
    step(Step.ACCEPT);
    final String what = "accepts ballot " + accepted.ballot + " of partition " + accepted.partition;
    votes(from, machine, accepted.incarnation, accepted.knownIncarnations, what);
    must(
        machine.kept.promised(accepted.partition).compareTo(accepted.ballot) >= 0,
        from,
        what + " before it is on its disk");
    must(
        !accepted.establish
            || machine.kept.established(accepted.partition).compareTo(accepted.ballot) >= 0,
        from,
        what + " before the establishment is on its disk");
    for (int index = 0; index < Protocol.emptyIfNull(accepted.names).size(); index++) {
      final RegisterVersion mark = accepted.ballot.withCount(accepted.counts.get(index));
      must(
          machine.kept.stored(accepted.partition, accepted.names.get(index)).compareTo(mark) >= 0
              || machine.kept.established(accepted.partition).compareTo(mark) > 0,
          from,
          what + " before " + accepted.names.get(index) + " is on its disk");
    }
  }

  private void confirms(
      final String from, final Machine machine, final StateStoreMessages.HeartbeatAck ack) {
    step(Step.CONFIRM);
    votes(from, machine, ack.incarnation, ack.knownIncarnations, "confirms");
    for (int index = 0; index < Protocol.emptyIfNull(ack.partitions).size(); index++) {
      final int partition = ack.partitions.get(index);
      final RegisterVersion ballot = ack.ballots.get(index);
      must(
          machine.kept.promised(partition).sameBallot(ballot)
              || machine.kept.promised(partition).compareTo(ballot) < 0,
          from,
          "confirms ballot "
              + ballot
              + " of partition "
              + partition
              + " and has promised "
              + machine.kept.promised(partition));
    }
  }

  // ---- what holders do

  private void begins(
      final String from, final Machine machine, final StateStoreMessages.Prepare prepare) {
    final Ballot before = machine.ballots[prepare.partition];
    if (before != null && before.mark.equals(prepare.ballot)) {
      return;
    }
    step(Step.BEGIN);
    final String what = "begins ballot " + prepare.ballot + " of partition " + prepare.partition;
    must(
        machine.whole() && machine.kept.roster().indexOf(from) >= 0,
        from,
        what + " and is no voter that counts");
    must(
        prepare.rosterNumber == machine.kept.roster().number,
        from,
        what
            + " under roster "
            + prepare.rosterNumber
            + " and has "
            + machine.kept.roster().number);
    must(
        before == null || prepare.ballot.compareTo(before.mark) > 0,
        from,
        what + " after " + (before == null ? null : before.mark));
    must(
        prepare.ballot.compareTo(machine.kept.promised(prepare.partition)) >= 0,
        from,
        what + " below what it has promised");
    final String owner =
        owners.putIfAbsent(
            new RegisterVersion(prepare.ballot.round, prepare.ballot.owner, prepare.partition),
            from);
    must(owner == null || owner.equals(from), from, what + ", which " + owner + " has begun");
    final Ballot ballot = new Ballot(prepare.ballot, machine.kept.roster());
    machine.ballots[prepare.partition] = ballot;
    if (machine.kept.promised(prepare.partition).equals(prepare.ballot)) {
      ballot.own = machine.kept.entries(prepare.partition);
      ballot.ownEstablished = machine.kept.established(prepare.partition);
    }
  }

  private Ballot ballot(final Machine machine, final int partition, final RegisterVersion mark) {
    final Ballot ballot = machine.ballots[partition];
    return ballot != null && ballot.mark.sameBallot(mark) ? ballot : null;
  }

  private void proposes(
      final String from, final Machine machine, final StateStoreMessages.Accept accept) {
    final String what =
        "proposes under ballot " + accept.ballot + " of partition " + accept.partition;
    final Ballot ballot = ballot(machine, accept.partition, accept.ballot);
    if (ballot == null) {
      must(false, from, what + ", which it has not begun under its roster");
      return;
    }
    must(accept.rosterNumber == ballot.roster.number, from, what + " for another roster");
    if (!ballot.establishes) {
      must(accept.establish, from, what + " before it establishes");
      ballot.establishes = true;
      establishes(from, machine, ballot, accept, what);
    }
    if (accept.establish) {
      return;
    }
    must(ballot.serves, from, what + " before it serves");
    for (final StateStoreMessages.RegisterEntry entry : Protocol.emptyIfNull(accept.entries)) {
      final Long before = ballot.proposed.get(entry.name);
      if (before != null && before >= entry.version.count) {
        continue;
      }
      step(Step.PROPOSE);
      if (before != null) {
        commits(from, machine, ballot, accept.partition, entry.name, before, what);
      }
      ballot.proposed.put(entry.name, entry.version.count);
      if (entry.name.equals("roster")) {
        step(Step.PROPOSE_ROSTER);
        must(
            settled.getOrDefault(ballot.roster.number, Set.of()).size()
                == StateStoreReplica.PARTITIONS,
            from,
            what
                + " a roster while only partitions "
                + settled.get(ballot.roster.number)
                + " are established under roster "
                + ballot.roster.number);
      }
    }
  }

  /**
   * The holder establishes the highest marks, at or above the highest establishment, of a majority
   * of promises that count.
   */
  private void establishes(
      final String from,
      final Machine machine,
      final Ballot ballot,
      final StateStoreMessages.Accept accept,
      final String what) {
    step(Step.ESTABLISH);
    int promised = 0;
    RegisterVersion floor = RegisterVersion.NONE;
    final Map<String, StateStoreMessages.RegisterEntry> best = new HashMap<>();
    final List<StateStoreMessages.RegisterEntry> entries = new ArrayList<>();
    for (int place = 0; place < ballot.roster.voters.size(); place++) {
      final String voter = ballot.roster.voters.get(place).address;
      final long counted = accept.countedIncarnations.get(place);
      if (counted == 0) {
        continue;
      }
      ballot.counted.put(voter, counted);
      if (voter.equals(from)) {
        must(
            ballot.own != null,
            from,
            what + " and counts a promise of its own that is not on its disk");
        if (ballot.own == null) {
          return;
        }
        promised++;
        floor = floor.compareTo(ballot.ownEstablished) < 0 ? ballot.ownEstablished : floor;
        entries.addAll(ballot.own);
        continue;
      }
      final StateStoreMessages.Promise promise = ballot.promises.get(voter);
      must(
          promise != null && promise.incarnation == counted,
          from,
          what + " and counts a promise of " + voter + " that it has not got");
      must(
          counted >= machine.heard.getOrDefault(voter, 1L)
              && counted >= machine.kept.peerIncarnations(voter),
          from,
          what
              + " and counts a promise of "
              + voter
              + " as incarnation "
              + counted
              + ", which is overtaken");
      if (promise == null) {
        return;
      }
      promised++;
      floor = floor.compareTo(promise.established) < 0 ? promise.established : floor;
      entries.addAll(Protocol.emptyIfNull(promise.entries));
    }
    must(
        promised >= ballot.roster.majority(),
        from,
        what + " with " + promised + " promises of " + ballot.roster.voters.size());
    for (final StateStoreMessages.RegisterEntry entry : entries) {
      final StateStoreMessages.RegisterEntry other = best.get(entry.name);
      if (entry.version.compareTo(floor) >= 0
          && (other == null || other.version.compareTo(entry.version) < 0)) {
        best.put(entry.name, entry);
      }
    }
    final Set<String> names = new HashSet<>();
    for (final StateStoreMessages.RegisterEntry entry : Protocol.emptyIfNull(accept.entries)) {
      names.add(entry.name);
      must(
          best.containsKey(entry.name)
              && Arrays.equals(best.get(entry.name).fullValue, entry.fullValue),
          from,
          what
              + " and establishes "
              + entry.name
              + ", which is not what it was told at "
              + (best.containsKey(entry.name) ? best.get(entry.name).version : null));
    }
    must(
        names.equals(best.keySet()),
        from,
        what + " and establishes " + names + " where it was told " + best.keySet());
  }

  private void serves(
      final String from, final Machine machine, final StateStoreMessages.Heartbeat heartbeat) {
    for (int index = 0; index < Protocol.emptyIfNull(heartbeat.partitions).size(); index++) {
      final int partition = heartbeat.partitions.get(index);
      final Ballot ballot = ballot(machine, partition, heartbeat.ballots.get(index));
      final String what =
          "serves partition " + partition + " under ballot " + heartbeat.ballots.get(index);
      if (ballot == null) {
        must(false, from, what + ", which it has not begun under its roster");
        continue;
      }
      if (ballot.serves) {
        continue;
      }
      step(Step.SERVE);
      ballot.serves = true;
      final Set<String> by = new HashSet<>(ballot.established);
      if (machine.kept.established(partition).sameBallot(ballot.mark)) {
        by.add(from);
      }
      must(by.size() >= ballot.roster.majority(), from, what + " with the acceptance of " + by);
      settled.computeIfAbsent(ballot.roster.number, key -> new HashSet<>()).add(partition);
    }
  }

  private void commits(
      final String from,
      final Machine machine,
      final Ballot ballot,
      final int partition,
      final String name,
      final long count,
      final String what) {
    step(Step.COMMIT);
    final Set<String> by = new HashSet<>();
    ballot
        .accepted
        .getOrDefault(name, Map.of())
        .forEach(
            (voter, reached) -> {
              if (reached >= count) {
                by.add(voter);
              }
            });
    if (machine.kept.stored(partition, name).compareTo(ballot.mark.withCount(count)) >= 0) {
      by.add(from);
    }
    must(
        by.size() >= ballot.roster.majority(),
        from,
        what + " the next value of " + name + " while the one before was accepted by " + by);
  }

  // ---- what is got

  @Override
  public void received(final String from, final String to, final Message message) {
    final Machine machine = machine(to);
    if (message instanceof StateStoreMessages.Promise) {
      final StateStoreMessages.Promise promise = (StateStoreMessages.Promise) message;
      final Ballot ballot = ballot(machine, promise.partition, promise.ballot);
      if (ballot != null) {
        hears(machine, promise.knownIncarnations);
        ballot.promises.put(from, promise);
      }
    } else if (message instanceof StateStoreMessages.Accepted) {
      final StateStoreMessages.Accepted accepted = (StateStoreMessages.Accepted) message;
      final Ballot ballot = ballot(machine, accepted.partition, accepted.ballot);
      if (ballot != null) {
        hears(machine, accepted.knownIncarnations);
        if (accepted.incarnation >= machine.heard.getOrDefault(from, 1L)
            && accepted.incarnation >= machine.kept.peerIncarnations(from)) {
          if (accepted.establish) {
            ballot.established.add(from);
          }
          for (int index = 0; index < Protocol.emptyIfNull(accepted.names).size(); index++) {
            ballot
                .accepted
                .computeIfAbsent(accepted.names.get(index), key -> new HashMap<>())
                .merge(from, accepted.counts.get(index), Math::max);
          }
        }
      }
    } else if (message instanceof StateStoreMessages.HeartbeatAck) {
      final StateStoreMessages.HeartbeatAck ack = (StateStoreMessages.HeartbeatAck) message;
      for (int index = 0; index < Protocol.emptyIfNull(ack.partitions).size(); index++) {
        if (ballot(machine, ack.partitions.get(index), ack.ballots.get(index)) != null) {
          hears(machine, ack.knownIncarnations);
        }
      }
    } else if (message instanceof StateStoreMessages.RecoveryResponse) {
      machine
          .fetched
          .computeIfAbsent(from, key -> new ArrayList<>())
          .add((StateStoreMessages.RecoveryResponse) message);
    }
  }

  private void hears(final Machine machine, final List<Long> known) {
    for (int place = 0;
        place < Protocol.emptyIfNull(known).size() && place < machine.kept.roster().voters.size();
        place++) {
      machine.heard.merge(
          machine.kept.roster().voters.get(place).address, known.get(place), Math::max);
    }
  }
}
