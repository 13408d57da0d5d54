package weldpoint.simulation.model;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * The frame's ballots for one partition, as states and the steps between them: who promised and
 * stored what, which ballot was begun by whom and how far it is, which answers are on their way.
 * What a ballot has sent once may arrive at any time later, any number of times or never. Disks are
 * synced before an answer, and a holder counts no more than the messages that it needs; it may know
 * less than StateStoreReplica does, never more, so that all that StateStoreReplica may do is here.
 *
 * <p>A mark is ballot * 4 + count; count 0 is what the ballot began with.
 */
final class Model {
  /** Takes the states that one state leads to. */
  interface Sink {
    void next(byte[] state, Supplier<String> label, String breach);
  }

  private static final VarHandle LONGS =
      MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);
  private static final int WIPES = 0;
  private static final int DECIDED = 1;
  private static final int SETTLED = 2;
  private static final int LOSSES = 3;
  private static final int HEAD = 4;

  private static final int NUMBER = 0;
  private static final int VOTERS = 1;
  private static final int INCARNATION = 2;
  private static final int STAGE = 3;
  private static final int FETCHING = 4;
  private static final int FETCHED = 5;
  private static final int PROMISED = 6;
  private static final int SYNCED = 7;
  private static final int ESTABLISHED = 8;
  private static final int STORED = 9;
  private static final int HIGHEST = 10;
  private static final int KNOWN = 11;

  private static final byte WHOLE = 0;
  private static final byte BLANK = 1;
  private static final byte REFETCHING = 2;

  private static final int OWNER = 0;
  private static final int UNDER = 1;
  private static final int UNDER_VOTERS = 2;
  private static final int PHASE = 3;
  private static final int PARENT = 4;
  private static final int PROPOSED = 5;
  private static final int WRITTEN = 6;
  private static final int ACKNOWLEDGED = 7;
  private static final int SERVED = 8;
  private static final int ASKED = 9;
  private static final int VALUES = 10;

  private static final byte PREPARING = 1;
  private static final byte ESTABLISHING = 2;
  private static final byte SERVING = 3;
  private static final byte OVER = 4;

  private static final int PROMISE_BYTES = 5;
  private static final int ANSWER_BYTES = 3;

  private final SearchBounds bounds;
  private final int nodes;
  private final int ballots;
  private final int writes;
  private final int nodeBytes;
  private final int ballotBytes;
  private final int ballotsAt;
  private final int size;
  private final int counted;
  private final int knew;
  private final int promises;
  private final int accepts;
  private final int confirms;
  private final int[] kind;
  private final long[] signs;
  private final int[] order;
  private final int[] place;
  private final int[] back;
  private final boolean[] used;

  Model(final SearchBounds bounds) {
    this.bounds = bounds;
    nodes = bounds.nodes();
    ballots = bounds.ballots();
    writes = bounds.writes();
    nodeBytes = KNOWN + nodes;
    ballotsAt = HEAD + nodes * nodeBytes;
    counted = VALUES + 2 * writes;
    knew = counted + nodes;
    promises = knew + nodes;
    accepts = promises + PROMISE_BYTES * nodes;
    confirms = accepts + ANSWER_BYTES * nodes * (writes + 1);
    ballotBytes = confirms + (bounds.reads() ? ANSWER_BYTES * nodes : 0);
    size = ballotsAt + ballots * ballotBytes;
    signs = new long[nodes];
    order = new int[nodes];
    place = new int[nodes];
    back = new int[nodes];
    used = new boolean[nodes];
    kind = new int[nodes];
    for (int node = 0; node < nodes; node++) {
      for (final int mask : bounds.rosters()) {
        kind[node] = kind[node] * 2 + (mask >> node & 1);
      }
      kind[node] =
          kind[node] * 4 + (bounds.servedOn() >> node & 1) * 2 + (bounds.wipeable() >> node & 1);
      kind[node] = kind[node] * 8 + (bounds.apart() ? node : 0);
      if (bounds.servedOn() != 0 && node == Integer.numberOfTrailingZeros(bounds.servedOn())) {
        kind[node] = -1;
      }
    }
  }

  /** The state in which everything begins. */
  byte[] first() {
    final byte[] s = new byte[size];
    s[WIPES] = (byte) bounds.wipes();
    s[DECIDED] = 1;
    s[LOSSES] = (byte) (bounds.has(BrokenRule.PROMISE_NOT_SYNCED) ? 2 : 0);
    for (int node = 0; node < nodes; node++) {
      final int at = node(node);
      s[at + NUMBER] = 1;
      s[at + VOTERS] = (byte) bounds.rosters()[0];
      s[at + INCARNATION] = 1;
      s[at + HIGHEST] = 1;
      Arrays.fill(s, at + KNOWN, at + KNOWN + nodes, (byte) 1);
      if ((bounds.servedOn() >> node & 1) == 1) {
        s[at + PROMISED] = 1;
        s[at + SYNCED] = 1;
        s[at + ESTABLISHED] = 1;
      }
    }
    if (bounds.servedOn() != 0) {
      final int at = ballot(1);
      s[at + OWNER] = (byte) (1 + Integer.numberOfTrailingZeros(bounds.servedOn()));
      s[at + UNDER] = 1;
      s[at + UNDER_VOTERS] = (byte) bounds.rosters()[0];
      s[at + PHASE] = SERVING;
      s[at + PROPOSED] = 1;
      s[at + SERVED] = 1;
      for (int node = 0; node < nodes; node++) {
        s[at + counted + node] = (byte) (bounds.servedOn() >> node & 1);
        s[at + knew + node] = 1;
      }
    }
    return s;
  }

  private int node(final int node) {
    return HEAD + node * nodeBytes;
  }

  private int ballot(final int ballot) {
    return ballotsAt + (ballot - 1) * ballotBytes;
  }

  private static int majority(final int mask) {
    return Integer.bitCount(mask & 0xff) / 2 + 1;
  }

  private static boolean has(final int mask, final int node) {
    return (mask >> node & 1) == 1;
  }

  private boolean votes(final byte[] s, final int node) {
    final int at = node(node);
    return s[at + STAGE] == WHOLE && has(s[at + VOTERS], node);
  }

  /** The incarnation of another that a node counts on. */
  private int incarnation(final byte[] s, final int at, final int of) {
    return node(of) == at ? s[at + INCARNATION] : Math.max(1, s[at + KNOWN + of]);
  }

  private void pack(final byte[] s, final int node, final int to) {
    final int at = node(node);
    int bits = 0;
    for (int other = 0; other < nodes; other++) {
      bits |= incarnation(s, at, other) << 2 * other;
    }
    s[to] = (byte) bits;
    s[to + 1] = (byte) (bits >> 8);
  }

  private static int unpack(final byte[] s, final int from, final int of) {
    return ((s[from] & 0xff | (s[from + 1] & 0xff) << 8) >> 2 * of) & 3;
  }

  /**
   * All that may happen next, less what cannot matter. Left out, since it only forbids what would
   * else be allowed: a promise that is not counted, a ballot that ends before it has established, a
   * roster that is adopted before there is a message under it, and what the highest ballot does but
   * serve. Done at once, since it forbids nothing: serving, proposing and acknowledging, where the
   * answers for it are on their way.
   */
  void steps(final byte[] s, final Sink to) {
    final Sink sink =
        (next, label, wrong) -> {
          for (int ballot = 1; ballot <= ballots; ballot++) {
            final byte phase = s[ballot(ballot) + PHASE];
            if (next[ballot(ballot) + PHASE] == OVER
                && (phase == PREPARING || phase == ESTABLISHING && last(ballot))) {
              return;
            }
          }
          final byte[] before = next.clone();
          final boolean news = advance(next, null);
          to.next(
              next,
              () -> {
                final StringBuilder words = new StringBuilder(label.get());
                advance(before, words);
                return words.toString();
              },
              wrong == null && news ? breach(next) : wrong);
        };
    if (bounds.ballotless()) {
      settle(s, sink);
    }
    for (int node = 0; node < nodes; node++) {
      troubles(s, node, sink);
      adopt(s, node, sink);
      enquire(s, node, sink);
      fetch(s, node, sink);
    }
    decide(s, sink);
    for (int ballot = 1; ballot <= ballots; ballot++) {
      final int at = ballot(ballot);
      if (s[at + PHASE] == 0) {
        for (int node = 0; node < nodes; node++) {
          begin(s, ballot, node, sink);
        }
        continue;
      }
      for (int node = 0; node < nodes; node++) {
        final int number = s[node(node) + NUMBER];
        if (s[node(node) + STAGE] != WHOLE
            || !has(s[at + UNDER_VOTERS], node)
            || number > s[at + UNDER]) {
          continue;
        }
        if (number < s[at + UNDER]) {
          final byte[] adopted = adopted(s, node, s[at + UNDER], s[at + UNDER_VOTERS]);
          prepare(adopted, ballot, node, sink);
          accept(adopted, ballot, node, sink);
        } else if (s[node(node) + VOTERS] == s[at + UNDER_VOTERS]) {
          prepare(s, ballot, node, sink);
          accept(s, ballot, node, sink);
          confirm(s, ballot, node, sink);
        }
      }
      switch (s[at + PHASE]) {
        case PREPARING -> establish(s, ballot, sink);
        case SERVING -> {
          write(s, ballot, sink);
          ask(s, ballot, sink);
        }
        default -> {}
      }
    }
  }

  /** Does what a ballot may do at once; whether anything was served or acknowledged. */
  private boolean advance(final byte[] s, final StringBuilder words) {
    boolean news = false;
    for (int ballot = 1; ballot <= ballots; ballot++) {
      final int from = ballot(ballot);
      if (s[from + PHASE] == ESTABLISHING && agreed(s, from, from + accepts)) {
        s[from + PHASE] = SERVING;
        s[from + SERVED] = 1;
        Arrays.fill(s, from + accepts, from + accepts + ANSWER_BYTES * nodes, (byte) 0);
        news = true;
        say(words, "; ballot ", ballot, " serves");
      }
      while (s[from + PHASE] == SERVING) {
        final int count = s[from + WRITTEN];
        if (s[from + ACKNOWLEDGED] < count) {
          if (!agreed(s, from, from + accepts + count * nodes * ANSWER_BYTES)) {
            break;
          }
          s[from + ACKNOWLEDGED] = (byte) count;
          Arrays.fill(
              s, from + accepts, from + accepts + ANSWER_BYTES * nodes * (writes + 1), (byte) 0);
          news = true;
          say(words, "; ", ballot, "/" + count + " is acknowledged");
        } else if (count < writes && !bounds.registered() && !last(ballot)) {
          s[from + WRITTEN]++;
          say(words, "; ", ballot, "/" + (count + 1) + " is proposed");
        } else {
          break;
        }
      }
    }
    return news;
  }

  /** Whether no ballot can read what this one wrote, nor a read be told of it. */
  private boolean last(final int ballot) {
    return ballot == ballots && !bounds.registered() && !bounds.reads();
  }

  private static void say(
      final StringBuilder words, final String before, final int ballot, final String after) {
    if (words != null) {
      words.append(before).append(ballot).append(after);
    }
  }

  // ---- ballots

  private void begin(final byte[] s, final int ballot, final int node, final Sink sink) {
    final int at = node(node);
    if (votes(s, node)
        && ballot > s[at + PROMISED]
        && (!bounds.staged() || s[at + NUMBER] == ballot)) {
      final byte[] next = s.clone();
      end(next, node, 0);
      final int to = ballot(ballot);
      next[to + OWNER] = (byte) (node + 1);
      next[to + UNDER] = s[at + NUMBER];
      next[to + UNDER_VOTERS] = s[at + VOTERS];
      next[to + PHASE] = PREPARING;
      sink.next(
          next,
          () ->
              "node "
                  + node
                  + " begins ballot "
                  + ballot
                  + " under roster "
                  + s[at + NUMBER]
                  + " "
                  + voters(s[at + VOTERS]),
          null);
    }
  }

  /** Ends the ballots of a node but one. */
  private void end(final byte[] s, final int node, final int but) {
    for (int ballot = 1; ballot <= ballots; ballot++) {
      final int at = ballot(ballot);
      if (ballot != but && s[at + OWNER] == node + 1 && s[at + PHASE] != OVER) {
        s[at + PHASE] = OVER;
        s[at + OWNER] = 0;
        s[at + ASKED] = 0;
        Arrays.fill(s, at + promises, at + ballotBytes, (byte) 0);
      }
    }
  }

  private void endBeyondPreparing(final byte[] s, final int node) {
    for (int ballot = 1; ballot <= ballots; ballot++) {
      final int at = ballot(ballot);
      if (s[at + OWNER] == node + 1
          && (s[at + PHASE] == ESTABLISHING || s[at + PHASE] == SERVING)) {
        end(s, node, 0);
      }
    }
  }

  private void prepare(final byte[] s, final int ballot, final int node, final Sink sink) {
    final int at = node(node);
    final int from = ballot(ballot);
    if (s[at + PROMISED] > ballot) {
      return;
    }
    final int slot = from + promises + node * PROMISE_BYTES;
    final boolean heard = s[from + PHASE] == PREPARING;
    if (heard
        ? s[slot] != 0 || given(s, from) >= majority(s[from + UNDER_VOTERS])
        : !bounds.reads() || s[from + PHASE] == OVER || s[at + PROMISED] == ballot) {
      return;
    }
    final byte[] next = s.clone();
    if (s[from + OWNER] != node + 1) {
      end(next, node, 0);
    }
    next[at + PROMISED] = (byte) ballot;
    if (!bounds.has(BrokenRule.PROMISE_NOT_SYNCED)) {
      next[at + SYNCED] = (byte) ballot;
    }
    if (heard) {
      next[slot] = s[at + INCARNATION];
      next[slot + 1] = s[at + ESTABLISHED];
      next[slot + 2] = s[at + STORED];
      pack(next, node, slot + 3);
    }
    sink.next(
        next,
        () ->
            "node "
                + node
                + " promises ballot "
                + ballot
                + ", established "
                + s[at + ESTABLISHED]
                + ", stored "
                + mark(s[at + STORED]),
        null);
  }

  private int given(final byte[] s, final int from) {
    int count = 0;
    for (int node = 0; node < nodes; node++) {
      count += s[from + promises + node * PROMISE_BYTES] != 0 ? 1 : 0;
    }
    return count;
  }

  private void establish(final byte[] s, final int ballot, final Sink sink) {
    final int from = ballot(ballot);
    int set = 0;
    for (int node = 0; node < nodes; node++) {
      set |= s[from + promises + node * PROMISE_BYTES] != 0 ? 1 << node : 0;
    }
    if (Integer.bitCount(set) == majority(s[from + UNDER_VOTERS])) {
      establish(s, ballot, set, sink);
    }
  }

  private void establish(final byte[] s, final int ballot, final int set, final Sink sink) {
    final int from = ballot(ballot);
    final int holder = node(s[from + OWNER] - 1);
    final byte[] next = s.clone();
    int floor = 0;
    for (int node = 0; node < nodes; node++) {
      int most = incarnation(s, holder, node);
      for (int voter = 0; voter < nodes; voter++) {
        if (has(set, voter)) {
          most = Math.max(most, unpack(s, from + promises + voter * PROMISE_BYTES + 3, node));
        }
      }
      final int slot = from + promises + node * PROMISE_BYTES;
      if (has(set, node)) {
        if (s[slot] < most && !bounds.has(BrokenRule.OVERTAKEN_COUNTED)) {
          return;
        }
        most = Math.max(most, s[slot]);
        floor = Math.max(floor, s[slot + 1]);
        next[from + counted + node] = (byte) (bounds.wipes() == 0 ? 0 : s[slot]);
      }
      next[from + knew + node] = (byte) most;
    }
    int best = 0;
    for (int node = 0; node < nodes; node++) {
      if (has(set, node)) {
        best = Math.max(best, s[from + promises + node * PROMISE_BYTES + 2]);
      }
    }
    if (best < floor * 4 && !(bounds.has(BrokenRule.FLOOR_IGNORED) && best > 0)) {
      best = floor * 4;
    }
    next[from + PARENT] = (byte) best;
    next[from + PHASE] = ESTABLISHING;
    next[from + PROPOSED] = 1;
    Arrays.fill(next, from + promises, from + accepts, (byte) 0);
    final int chosen = best;
    sink.next(
        next,
        () ->
            "node "
                + (s[from + OWNER] - 1)
                + " counts the promises of "
                + voters(set)
                + " for ballot "
                + ballot
                + " and establishes "
                + mark(chosen),
        null);
  }

  /** Whether a register has a value at a mark: a write, or an establishment of one. */
  private boolean written(final byte[] s, final int mark) {
    int at = mark;
    while (at != 0) {
      if (at % 4 != 0) {
        return true;
      }
      at = s[ballot(at / 4) + PARENT];
    }
    return false;
  }

  private void accept(final byte[] s, final int ballot, final int node, final Sink sink) {
    final int at = node(node);
    final int from = ballot(ballot);
    if (s[from + PROPOSED] == 0
        || s[at + PROMISED] > ballot
        || last(ballot) && s[from + PHASE] != ESTABLISHING) {
      return;
    }
    if (!bounds.has(BrokenRule.OVERTAKEN_COUNTED)) {
      for (int other = 0; other < nodes; other++) {
        if (s[from + counted + other] > 0
            && s[from + counted + other] < incarnation(s, at, other)) {
          return;
        }
      }
    }
    for (int count = 0; count <= s[from + WRITTEN]; count++) {
      final int slot = from + accepts + (count * nodes + node) * ANSWER_BYTES;
      final boolean heard =
          s[from + PHASE] == ESTABLISHING && count == 0
              || s[from + PHASE] == SERVING && count > s[from + ACKNOWLEDGED];
      final boolean done =
          count == 0
              ? s[at + ESTABLISHED] == ballot && bounds.wipes() == 0
              : s[at + STORED] >= ballot * 4 + count;
      if (done && s[at + PROMISED] == ballot && (!heard || s[slot] >= s[at + INCARNATION])) {
        continue;
      }
      final byte[] next = s.clone();
      if (s[from + OWNER] != node + 1) {
        end(next, node, 0);
      }
      next[at + PROMISED] = (byte) ballot;
      next[at + SYNCED] = (byte) ballot;
      if (count == 0) {
        if (s[at + ESTABLISHED] < ballot) {
          next[at + ESTABLISHED] = (byte) ballot;
          if (s[at + STORED] < ballot * 4) {
            if (written(s, ballot * 4)) {
              next[at + STORED] = (byte) (ballot * 4);
            } else if (!bounds.has(BrokenRule.FLOOR_IGNORED)) {
              next[at + STORED] = 0;
            }
          }
        }
        if (!bounds.has(BrokenRule.INCARNATIONS_NOT_CARRIED)) {
          learn(next, node, s, from + knew, carried(s[from + UNDER_VOTERS]));
        }
      } else if (s[at + STORED] < ballot * 4 + count) {
        next[at + STORED] = (byte) (ballot * 4 + count);
      }
      final int told = count;
      final Supplier<String> label = () -> "node " + node + " accepts " + mark(ballot * 4 + told);
      if (heard && next[from + PHASE] == s[from + PHASE] && s[slot] < s[at + INCARNATION]) {
        if (s[slot] != 0) {
          sink.next(next.clone(), () -> label.get() + ", its answer is lost", null);
        }
        next[slot] = s[at + INCARNATION];
        pack(next, node, slot + 1);
      }
      if (!Arrays.equals(s, next)) {
        sink.next(next, label, null);
      }
    }
  }

  /** Of which nodes the incarnations are carried on. */
  private int carried(final int voters) {
    return bounds.has(BrokenRule.INCARNATIONS_OF_VOTERS_CARRIED) ? voters : (1 << nodes) - 1;
  }

  private void learn(
      final byte[] next, final int node, final byte[] s, final int from, final int mask) {
    final int at = node(node);
    boolean news = false;
    for (int other = 0; other < nodes; other++) {
      if (other != node && has(mask, other) && s[from + other] > incarnation(next, at, other)) {
        next[at + KNOWN + other] = s[from + other];
        news = true;
      }
    }
    if (news) {
      endBeyondPreparing(next, node);
    }
  }

  /** Whether a majority has answered whose answers count. */
  private boolean agreed(final byte[] s, final int from, final int answers) {
    final int mask = s[from + UNDER_VOTERS];
    int count = 0;
    for (int node = 0; node < nodes; node++) {
      final int slot = answers + node * ANSWER_BYTES;
      if (!has(mask, node) || s[slot] == 0) {
        continue;
      }
      boolean counts = s[slot] == s[from + knew + node];
      for (int other = 0; other < nodes; other++) {
        counts &= !has(mask, other) || unpack(s, slot + 1, other) <= s[from + knew + other];
      }
      count += counts || bounds.has(BrokenRule.OVERTAKEN_COUNTED) ? 1 : 0;
    }
    return count >= majority(mask);
  }

  private void write(final byte[] s, final int ballot, final Sink sink) {
    final int from = ballot(ballot);
    final int count = s[from + WRITTEN];
    if (!bounds.registered() || count == writes || s[from + ACKNOWLEDGED] != count) {
      return;
    }
    final int value = from + VALUES + 2 * count;
    if (!bounds.has(BrokenRule.CHANGE_BEFORE_ADOPTION)
        && roster(s, ballot * 4 + count) / 256 > s[from + UNDER]) {
      return;
    }
    for (final int voters : bounds.rosters()) {
      if (Integer.bitCount((voters ^ s[from + UNDER_VOTERS]) & 0xff) == 1) {
        final byte[] next = s.clone();
        next[from + WRITTEN]++;
        next[value] = (byte) (s[from + UNDER] + 1);
        next[value + 1] = (byte) voters;
        sink.next(
            next,
            () ->
                "node "
                    + (s[from + OWNER] - 1)
                    + " proposes "
                    + mark(ballot * 4 + count + 1)
                    + ", roster "
                    + next[value]
                    + " "
                    + voters(voters),
            null);
      }
    }
  }

  // ---- reads

  private void ask(final byte[] s, final int ballot, final Sink sink) {
    final int from = ballot(ballot);
    boolean stale = false;
    for (int above = ballot + 1; above <= ballots; above++) {
      stale |= s[ballot(above) + ACKNOWLEDGED] > 0;
    }
    if (!bounds.reads() || !stale || s[from + ASKED] != 0) {
      return;
    }
    final byte[] next = s.clone();
    next[from + ASKED] = 1;
    final boolean answers = bounds.has(BrokenRule.ANSWER_WITHOUT_MAJORITY);
    sink.next(
        next,
        () -> "node " + (s[from + OWNER] - 1) + " is asked under ballot " + ballot,
        answers
            ? "a read is answered that is older than what was acknowledged before it was asked"
            : null);
  }

  private void confirm(final byte[] s, final int ballot, final int node, final Sink sink) {
    final int from = ballot(ballot);
    if (s[from + ASKED] == 0 || s[node(node) + PROMISED] != ballot) {
      return;
    }
    final int slot = from + confirms + node * ANSWER_BYTES;
    if (s[slot] < s[node(node) + INCARNATION]) {
      final byte[] next = s.clone();
      next[slot] = s[node(node) + INCARNATION];
      pack(next, node, slot + 1);
      sink.next(
          next,
          () -> "node " + node + " confirms ballot " + ballot,
          agreed(next, from, from + confirms)
              ? "a read is confirmed that is older than what was acknowledged before it was asked"
              : null);
    }
  }

  // ---- rosters

  /** The roster that a value holds, as number * 256 + voters; 0 where it holds none. */
  private int roster(final byte[] s, final int mark) {
    int at = mark;
    while (at != 0) {
      if (at % 4 != 0) {
        final int value = ballot(at / 4) + VALUES + 2 * (at % 4 - 1);
        return s[value] * 256 + (s[value + 1] & 0xff);
      }
      at = s[ballot(at / 4) + PARENT];
    }
    return 0;
  }

  private void adopt(final byte[] s, final int node, final Sink sink) {
    final int at = node(node);
    if (s[at + STAGE] != WHOLE) {
      return;
    }
    if (!bounds.registered()) {
      for (int number = s[at + NUMBER] + 1; number <= s[DECIDED]; number++) {
        adopt(s, node, number, bounds.rosters()[number - 1], sink);
      }
      return;
    }
    for (int ballot = 1; ballot <= ballots; ballot++) {
      for (int count = 0;
          s[ballot(ballot) + SERVED] == 1 && count <= s[ballot(ballot) + ACKNOWLEDGED];
          count++) {
        final int told = roster(s, ballot * 4 + count);
        if (told / 256 > s[at + NUMBER]) {
          adopt(s, node, told / 256, told % 256, sink);
        }
      }
    }
  }

  private void adopt(
      final byte[] s, final int node, final int number, final int voters, final Sink sink) {
    final byte[] next = adopted(s, node, number, voters);
    if (alone(s)) {
      sink.next(
          next, () -> "node " + node + " adopts roster " + number + " " + voters(voters), null);
    }
    for (int ballot = 1; ballot <= ballots; ballot++) {
      if (s[ballot(ballot) + PHASE] == 0) {
        begin(next, ballot, node, sink);
      }
    }
  }

  private byte[] adopted(final byte[] s, final int node, final int number, final int voters) {
    final byte[] next = s.clone();
    next[node(node) + NUMBER] = (byte) number;
    next[node(node) + VOTERS] = (byte) voters;
    end(next, node, 0);
    return next;
  }

  /** Whether a node may adopt a roster before it has to: only then does that allow anything. */
  private boolean alone(final byte[] s) {
    boolean needed = bounds.ballotless() || bounds.has(BrokenRule.CHANGE_NOT_SETTLED);
    for (int node = 0; node < nodes; node++) {
      needed |= s[node(node) + STAGE] == REFETCHING;
    }
    return needed;
  }

  /** Partition 0 decides the next roster, by a majority that serves under the present one. */
  private void decide(final byte[] s, final Sink sink) {
    final int number = s[DECIDED];
    if (bounds.registered() || number == bounds.rosters().length) {
      return;
    }
    final int mask = bounds.rosters()[number - 1];
    int under = 0;
    for (int node = 0; node < nodes; node++) {
      under += has(mask, node) && votes(s, node) && s[node(node) + NUMBER] == number ? 1 : 0;
    }
    boolean settled = s[SETTLED] == number || bounds.has(BrokenRule.CHANGE_NOT_SETTLED);
    for (int ballot = 1; ballot <= ballots; ballot++) {
      settled |= s[ballot(ballot) + SERVED] == 1 && s[ballot(ballot) + UNDER] == number;
    }
    if (settled && under >= majority(mask)) {
      final byte[] next = s.clone();
      next[DECIDED]++;
      sink.next(
          next,
          () ->
              "partition 0 decides roster " + (number + 1) + " " + voters(bounds.rosters()[number]),
          null);
    }
  }

  /**
   * Without ballots: some majority promises, some majority accepts, and the present roster is
   * settled.
   */
  private void settle(final byte[] s, final Sink sink) {
    final int number = s[DECIDED];
    if (s[SETTLED] == number) {
      return;
    }
    int under = 0;
    for (int node = 0; node < nodes; node++) {
      under |= votes(s, node) && s[node(node) + NUMBER] == number ? 1 << node : 0;
    }
    final int mask = bounds.rosters()[number - 1];
    for (int promising = under; promising > 0; promising = promising - 1 & under) {
      if (Integer.bitCount(promising) != majority(mask)) {
        continue;
      }
      final byte[] knows = new byte[nodes];
      for (int node = 0; node < nodes; node++) {
        for (int voter = 0; voter < nodes; voter++) {
          knows[node] =
              (byte)
                  Math.max(
                      knows[node], has(promising, voter) ? incarnation(s, node(voter), node) : 0);
        }
      }
      for (int accepting = under; accepting > 0; accepting = accepting - 1 & under) {
        if (Integer.bitCount(accepting) == majority(mask)) {
          final byte[] next = s.clone();
          next[SETTLED] = (byte) number;
          for (int node = 0; node < nodes; node++) {
            if (has(accepting, node) && !bounds.has(BrokenRule.INCARNATIONS_NOT_CARRIED)) {
              learn(next, node, knows, 0, carried(mask));
            }
          }
          final int one = promising;
          final int other = accepting;
          sink.next(
              next,
              () ->
                  "roster "
                      + number
                      + " is settled by the promises of "
                      + voters(one)
                      + " and the acceptances of "
                      + voters(other),
              null);
        }
      }
    }
  }

  // ---- troubles and blank disks

  private void troubles(final byte[] s, final int node, final Sink sink) {
    final int at = node(node);
    if (s[LOSSES] > 0 && s[at + PROMISED] != s[at + SYNCED]) {
      final byte[] next = s.clone();
      next[LOSSES]--;
      next[at + PROMISED] = s[at + SYNCED];
      end(next, node, 0);
      sink.next(next, () -> "node " + node + " loses power and what was not synced", null);
    }
    final boolean voted =
        s[at + STAGE] == WHOLE
            && (s[at + PROMISED] > 0 || bounds.ballotless() && has(s[at + VOTERS], node));
    if (s[WIPES] > 0 && has(bounds.wipeable(), node) && (voted || s[at + STAGE] == REFETCHING)) {
      final byte[] next = s.clone();
      next[WIPES]--;
      blank(next, node);
      sink.next(next, () -> "node " + node + " loses its disk", null);
    }
  }

  private void blank(final byte[] next, final int node) {
    final int at = node(node);
    final byte highest = next[at + HIGHEST];
    end(next, node, 0);
    Arrays.fill(next, at, at + nodeBytes, (byte) 0);
    next[at + HIGHEST] = highest;
    next[at + STAGE] = BLANK;
  }

  /** A blank node asks a majority which of its incarnations they know, and takes the next. */
  private void enquire(final byte[] s, final int node, final Sink sink) {
    if (s[node(node) + STAGE] == WHOLE) {
      return;
    }
    long done = 0;
    for (int teller = 0; teller < nodes; teller++) {
      final int from = node(teller);
      if (teller == node || s[from + STAGE] != WHOLE || (done >> s[from + NUMBER] & 1) == 1) {
        continue;
      }
      final int number = s[from + NUMBER];
      final int mask = s[from + VOTERS];
      done |= 1L << number;
      final int[] told = new int[nodes];
      int answers = 0;
      for (int other = 0; other < nodes; other++) {
        if (other != node
            && has(mask, other)
            && s[node(other) + STAGE] == WHOLE
            && s[node(other) + NUMBER] <= number) {
          told[answers++] = incarnation(s, node(other), node);
        }
      }
      Arrays.sort(told, 0, answers);
      for (int index = majority(mask) - 1; index >= 0 && index < answers; index++) {
        final int taken = told[index] + 1;
        if (taken <= bounds.incarnations()
            && taken > s[node(node) + FETCHING]
            && (index == majority(mask) - 1 || told[index] != told[index - 1])) {
          final byte[] next = s.clone();
          blank(next, node);
          final int at = node(node);
          next[at + STAGE] = REFETCHING;
          next[at + NUMBER] = (byte) number;
          next[at + VOTERS] = (byte) mask;
          next[at + FETCHING] = (byte) taken;
          sink.next(
              next,
              () ->
                  "node "
                      + node
                      + " takes incarnation "
                      + taken
                      + " and fetches from roster "
                      + number
                      + " "
                      + voters(mask),
              null);
        }
      }
    }
  }

  /**
   * A blank node is answered by one voter; with a majority under the newest roster it counts again.
   */
  private void fetch(final byte[] s, final int node, final Sink sink) {
    final int at = node(node);
    if (s[at + STAGE] != REFETCHING) {
      return;
    }
    for (int voter = 0; voter < nodes; voter++) {
      final int from = node(voter);
      if (voter == node
          || !votes(s, voter)
          || s[from + KNOWN + node] > s[at + FETCHING]
          || has(s[at + FETCHED], voter)) {
        continue;
      }
      final byte[] next = s.clone();
      next[from + KNOWN + node] = s[at + FETCHING];
      if (has(s[from + VOTERS], node) && incarnation(s, from, node) < s[at + FETCHING]) {
        endBeyondPreparing(next, voter);
      }
      for (final int field : new int[] {PROMISED, ESTABLISHED, STORED}) {
        next[at + field] = (byte) Math.max(next[at + field], s[from + field]);
      }
      if (s[from + NUMBER] > s[at + NUMBER]) {
        next[at + NUMBER] = s[from + NUMBER];
        next[at + VOTERS] = s[from + VOTERS];
        next[at + FETCHED] = 0;
        Arrays.fill(next, at + KNOWN, at + KNOWN + nodes, (byte) 0);
      }
      if (s[from + NUMBER] >= s[at + NUMBER]) {
        next[at + FETCHED] |= (byte) (1 << voter);
        for (int other = 0; other < nodes; other++) {
          if (other != node && has(s[from + VOTERS], other)) {
            next[at + KNOWN + other] =
                (byte) Math.max(next[at + KNOWN + other], incarnation(s, from, other));
          }
        }
      }
      String wrong = null;
      final int mask = next[at + VOTERS];
      if (Integer.bitCount(next[at + FETCHED] & mask & 0xff)
          >= (bounds.has(BrokenRule.VOTES_BEFORE_REFETCH) ? 1 : majority(mask))) {
        next[at + STAGE] = WHOLE;
        next[at + INCARNATION] = s[at + FETCHING];
        next[at + FETCHING] = 0;
        next[at + FETCHED] = 0;
        next[at + SYNCED] = next[at + PROMISED];
        if (next[at + STORED] < next[at + ESTABLISHED] * 4) {
          next[at + STORED] = 0;
        }
        if (next[at + INCARNATION] <= s[at + HIGHEST]) {
          wrong =
              "node " + node + " takes incarnation " + next[at + INCARNATION] + " a second time";
        }
        next[at + HIGHEST] = next[at + INCARNATION];
      }
      final int who = voter;
      sink.next(
          next,
          () ->
              "node "
                  + node
                  + " has the answer of node "
                  + who
                  + (next[at + STAGE] == WHOLE
                      ? " and counts again as incarnation " + next[at + INCARNATION]
                      : ""),
          wrong);
    }
  }

  // ---- what must hold

  /** What is broken in a state; null where nothing is. */
  private String breach(final byte[] s) {
    for (int later = 2; later <= ballots; later++) {
      if (s[ballot(later) + SERVED] == 0) {
        continue;
      }
      for (int earlier = 1; earlier < later; earlier++) {
        final int from = ballot(earlier);
        if (s[from + SERVED] == 1 && !includes(s, later, earlier * 4 + s[from + ACKNOWLEDGED])) {
          return "ballot "
              + later
              + " serves without "
              + mark(earlier * 4 + s[from + ACKNOWLEDGED])
              + ", which was acknowledged";
        }
      }
    }
    if (bounds.registered()) {
      final int[] byNumber = new int[16];
      byNumber[1] = bounds.rosters()[0];
      for (int ballot = 1; ballot <= ballots; ballot++) {
        for (int count = 0;
            s[ballot(ballot) + SERVED] == 1 && count <= s[ballot(ballot) + ACKNOWLEDGED];
            count++) {
          final int told = roster(s, ballot * 4 + count);
          if (told != 0 && byNumber[told / 256] != 0 && byNumber[told / 256] != told % 256) {
            return "two rosters have the number "
                + told / 256
                + ": "
                + voters(byNumber[told / 256])
                + " and "
                + voters(told % 256);
          }
          byNumber[told / 256] = told % 256;
        }
      }
    }
    return null;
  }

  private boolean includes(final byte[] s, final int ballot, final int mark) {
    int at = s[ballot(ballot) + PARENT];
    while (at / 4 > mark / 4) {
      at = s[ballot(at / 4) + PARENT];
    }
    return at / 4 == mark / 4 && at >= mark;
  }

  private static String mark(final int mark) {
    return mark == 0 ? "nothing" : mark / 4 + "/" + mark % 4;
  }

  private String voters(final int mask) {
    final StringBuilder list = new StringBuilder("{");
    for (int node = 0; node < nodes; node++) {
      if (has(mask, node)) {
        list.append(list.length() > 1 ? " " : "").append(node);
      }
    }
    return list.append('}').toString();
  }

  // ---- symmetry

  /** The same for all states that differ only by which of several like nodes is which. */
  long hash(final byte[] s) {
    for (int node = 0; node < nodes; node++) {
      signs[node] = sign(s, node);
      used[node] = false;
      int at = node;
      while (at > 0 && before(node, order[at - 1])) {
        order[at] = order[at - 1];
        at--;
      }
      order[at] = node;
    }
    return least(s, 0);
  }

  private boolean before(final int one, final int other) {
    return kind[one] != kind[other] ? kind[one] < kind[other] : signs[one] < signs[other];
  }

  /** The least hash over all orders that keep kinds and signs apart. */
  private long least(final byte[] s, final int at) {
    if (at == nodes) {
      return hash(s, place);
    }
    long least = Long.MAX_VALUE;
    for (int index = 0; index < nodes; index++) {
      final int node = order[index];
      if (!used[node] && kind[node] == kind[order[at]] && signs[node] == signs[order[at]]) {
        used[node] = true;
        place[node] = at;
        least = Math.min(least, least(s, at + 1));
        used[node] = false;
      }
    }
    return least;
  }

  /** The same for the very same state only, and quick. */
  static long exact(final byte[] s) {
    long hash = s.length;
    int at = 0;
    for (; at + 8 <= s.length; at += 8) {
      hash = mix(hash, (long) LONGS.get(s, at));
    }
    for (; at < s.length; at++) {
      hash = mix(hash, s[at]);
    }
    return hash;
  }

  private static long mix(final long hash, final long value) {
    long next = (hash ^ value) * 0x9E3779B97F4A7C15L;
    next ^= next >>> 29;
    next *= 0xBF58476D1CE4E5B9L;
    return next ^ next >>> 32;
  }

  private long sign(final byte[] s, final int node) {
    final int at = node(node);
    long hash = kind[node];
    for (int field = 0; field < KNOWN; field++) {
      hash =
          mix(
              hash,
              field == VOTERS || field == FETCHED
                  ? (has(s[at + field], node) ? 1 : 0) + 2 * Integer.bitCount(s[at + field] & 0xff)
                  : s[at + field]);
    }
    long others = 0;
    for (int other = 0; other < nodes; other++) {
      others += mix(17, s[node(other) + KNOWN + node] * 8 + s[at + KNOWN + other]);
      others +=
          mix(23, has(s[node(other) + VOTERS], node) ? 1 : 0)
              + mix(29, has(s[node(other) + FETCHED], node) ? 1 : 0);
    }
    hash = mix(hash, others);
    for (int ballot = 1; ballot <= ballots; ballot++) {
      final int from = ballot(ballot);
      hash = mix(hash, s[from + OWNER] == node + 1 ? 1 : 0);
      hash =
          mix(
              hash,
              (has(s[from + UNDER_VOTERS], node) ? 1 : 0)
                  + s[from + counted + node] * 2
                  + s[from + knew + node] * 8);
      for (int field = 0; field < 3; field++) {
        hash = mix(hash, s[from + promises + node * PROMISE_BYTES + field]);
      }
      for (int count = 0; count <= writes; count++) {
        hash = mix(hash, s[from + accepts + (count * nodes + node) * ANSWER_BYTES]);
      }
      if (bounds.reads()) {
        hash = mix(hash, s[from + confirms + node * ANSWER_BYTES]);
      }
    }
    return hash;
  }

  private int moved(final int mask, final int[] place) {
    int next = 0;
    for (int node = 0; node < nodes; node++) {
      next |= has(mask, node) ? 1 << place[node] : 0;
    }
    return next;
  }

  private int movedIncarnations(final byte[] s, final int from, final int[] place) {
    int bits = 0;
    for (int node = 0; node < nodes; node++) {
      bits |= unpack(s, from, node) << 2 * place[node];
    }
    return bits;
  }

  private long hash(final byte[] s, final int[] place) {
    for (int node = 0; node < nodes; node++) {
      back[place[node]] = node;
    }
    long hash = mix(mix(s[WIPES], s[DECIDED]), s[SETTLED] * 16 + s[LOSSES]);
    for (int index = 0; index < nodes; index++) {
      final int at = node(back[index]);
      for (int field = 0; field < KNOWN; field++) {
        hash =
            mix(
                hash,
                field == VOTERS || field == FETCHED ? moved(s[at + field], place) : s[at + field]);
      }
      long known = 0;
      for (int other = 0; other < nodes; other++) {
        known = known * 4 + s[at + KNOWN + back[other]];
      }
      hash = mix(hash, known);
    }
    for (int ballot = 1; ballot <= ballots; ballot++) {
      final int from = ballot(ballot);
      hash = mix(hash, s[from + OWNER] == 0 ? 0 : place[s[from + OWNER] - 1] + 1);
      hash = mix(hash, moved(s[from + UNDER_VOTERS], place));
      for (int field = UNDER; field < counted; field++) {
        final boolean mask = field >= VALUES && (field - VALUES) % 2 == 1;
        if (field != UNDER_VOTERS) {
          hash = mix(hash, mask ? moved(s[from + field], place) : s[from + field]);
        }
      }
      for (int index = 0; index < nodes; index++) {
        final int node = back[index];
        hash = mix(hash, s[from + counted + node] * 4 + s[from + knew + node]);
        final int promise = from + promises + node * PROMISE_BYTES;
        if (s[promise] != 0) {
          hash =
              mix(
                  hash,
                  s[promise]
                      + 4L * s[promise + 1]
                      + 256L * s[promise + 2]
                      + 65536L * movedIncarnations(s, promise + 3, place));
        }
        hash = mix(hash, index);
        for (int answer = accepts; answer < ballotBytes; answer += ANSWER_BYTES * nodes) {
          final int slot = from + answer + node * ANSWER_BYTES;
          if (s[slot] != 0) {
            hash =
                mix(
                    hash,
                    answer * 65536L * 4 + s[slot] + 4L * movedIncarnations(s, slot + 1, place));
          }
        }
      }
    }
    return hash;
  }
}
