package weldpoint.simulation.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * Visits every state that can be reached, nearest first, each once. States are told apart by 64
 * bits of hash, so that two that differ are taken for one with a likelihood of about states squared
 * / 2 to the 65th.
 */
public final class Search {
  /**
   * What a search found.
   *
   * @param name what was searched
   * @param states how many states were visited
   * @param depth how many steps lead to the furthest
   * @param millis how long it took
   * @param whole whether nothing was left out
   * @param breach what went wrong; null where nothing did
   * @param trace the shortest way there, one step a line
   */
  public record Result(
      String name,
      int states,
      int depth,
      long millis,
      boolean whole,
      String breach,
      List<String> trace) {
    @Override
    public String toString() {
      return name
          + ": "
          + states
          + " states, "
          + depth
          + " steps deep, "
          + millis
          + " ms, "
          + (breach != null
              ? "BREACH " + breach
              : whole ? "no breach" : "cut short, nothing concluded");
    }
  }

  private final Model model;
  private final int most;
  private long[] table = new long[1 << 16];
  private long[] hashes = new long[1 << 15];
  private int[] parents = new int[1 << 15];
  private final long[] lately = new long[1 << 18];
  private int states;

  private Search(final Model model, final int most) {
    this.model = model;
    this.most = most;
  }

  /** Searches within bounds, and stops at the first breach or when so many states were seen. */
  public static Result run(final SearchBounds bounds, final int most) {
    return new Search(new Model(bounds), most).run(bounds.name());
  }

  private Result run(final String name) {
    final long begun = System.nanoTime();
    ArrayDeque<byte[]> level = new ArrayDeque<>();
    final byte[] first = model.first();
    add(model.hash(first), -1);
    level.add(first);
    int at = 0;
    int depth = 0;
    final String[] breach = new String[1];
    while (!level.isEmpty()) {
      final ArrayDeque<byte[]> next = new ArrayDeque<>();
      while (!level.isEmpty()) {
        final int parent = at++;
        model.steps(
            level.poll(),
            (state, label, wrong) -> {
              if (breach[0] != null) {
                return;
              }
              final long exact = Model.exact(state);
              final int recent = (int) (exact >>> 40) & lately.length - 1;
              if (lately[recent] != exact) {
                lately[recent] = exact;
                if (add(model.hash(state), parent)) {
                  next.add(state);
                }
              }
              if (wrong != null) {
                breach[0] = wrong;
              }
            });
        if (breach[0] != null) {
          return new Result(
              name,
              states,
              depth + 1,
              (System.nanoTime() - begun) / 1_000_000,
              false,
              breach[0],
              trace(parent, breach[0]));
        }
        if (states >= most) {
          return new Result(
              name, states, depth, (System.nanoTime() - begun) / 1_000_000, false, null, List.of());
        }
      }
      level = next;
      depth += level.isEmpty() ? 0 : 1;
    }
    return new Result(
        name, states, depth, (System.nanoTime() - begun) / 1_000_000, true, null, List.of());
  }

  /** Goes the way again, with words for the steps. */
  private List<String> trace(final int last, final String breach) {
    final List<Integer> way = new ArrayList<>();
    for (int index = last; index > 0; index = parents[index]) {
      way.add(index);
    }
    Collections.reverse(way);
    final List<String> lines = new ArrayList<>();
    byte[] state = model.first();
    for (final int index : way) {
      final byte[][] found = new byte[1][];
      model.steps(
          state,
          (next, label, wrong) -> {
            if (found[0] == null && model.hash(next) == hashes[index]) {
              found[0] = next;
              lines.add(label.get());
            }
          });
      state = found[0];
    }
    final boolean[] told = new boolean[1];
    model.steps(
        state,
        (next, label, wrong) -> {
          if (wrong != null && !told[0]) {
            told[0] = true;
            lines.add(label.get());
          }
        });
    lines.add("=> " + breach);
    return lines;
  }

  private boolean add(final long hash, final int parent) {
    final long key = hash == 0 ? 1 : hash;
    int slot = (int) (key >>> 20) & table.length - 1;
    while (table[slot] != 0) {
      if (table[slot] == key) {
        return false;
      }
      slot = slot + 1 & table.length - 1;
    }
    table[slot] = key;
    if (states == hashes.length) {
      hashes = Arrays.copyOf(hashes, states * 2);
      parents = Arrays.copyOf(parents, states * 2);
    }
    hashes[states] = hash;
    parents[states++] = parent;
    if (states * 10L > table.length * 6L) {
      grow();
    }
    return true;
  }

  private void grow() {
    final long[] old = table;
    table = new long[old.length * 2];
    for (final long key : old) {
      if (key != 0) {
        int slot = (int) (key >>> 20) & table.length - 1;
        while (table[slot] != 0) {
          slot = slot + 1 & table.length - 1;
        }
        table[slot] = key;
      }
    }
  }
}
