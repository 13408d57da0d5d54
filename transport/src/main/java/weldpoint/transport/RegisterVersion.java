package weldpoint.transport;

/** The version of a register: the ballot that wrote it and a count within that ballot. */
public final class RegisterVersion implements Comparable<RegisterVersion> {
  /** Below every other mark. */
  public static final RegisterVersion NONE = new RegisterVersion(0, 0, 0);

  public final long round;
  public final long owner;
  public final long count;

  /** A mark of the given ballot. */
  public RegisterVersion(final long round, final long owner, final long count) {
    this.round = round;
    this.owner = owner;
    this.count = count;
  }

  /** The first mark of this one's ballot. */
  public RegisterVersion ballot() {
    return count == 0 ? this : new RegisterVersion(round, owner, 0);
  }

  /** Another mark of the same ballot. */
  public RegisterVersion withCount(final long newCount) {
    return new RegisterVersion(round, owner, newCount);
  }

  /** Whether both belong to one ballot. */
  public boolean sameBallot(final RegisterVersion other) {
    return round == other.round && owner == other.owner;
  }

  @Override
  public int compareTo(final RegisterVersion other) {
    final int byRound = Long.compare(round, other.round);
    if (byRound != 0) {
      return byRound;
    }
    final int byOwner = Long.compare(owner, other.owner);
    return byOwner != 0 ? byOwner : Long.compare(count, other.count);
  }

  @Override
  public boolean equals(final Object other) {
    return other instanceof RegisterVersion && compareTo((RegisterVersion) other) == 0;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(round * 31 + owner * 7 + count);
  }

  @Override
  public String toString() {
    return round + "/" + Long.toHexString(owner) + "/" + count;
  }
}
