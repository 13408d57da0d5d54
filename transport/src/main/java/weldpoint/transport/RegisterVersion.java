package weldpoint.transport;

/** The version of a register: the ballot that wrote it and a count within that ballot. */
public final class RegisterVersion implements Comparable<RegisterVersion> {
  /** The version below every other. */
  public static final RegisterVersion NONE = new RegisterVersion(0, 0, 0);

  public final long round;
  public final long owner;
  public final long count;

  /** Creates a version within the ballot of the given round and owner. */
  public RegisterVersion(final long round, final long owner, final long count) {
    this.round = round;
    this.owner = owner;
    this.count = count;
  }

  /** Returns the first version of this version's ballot. */
  public RegisterVersion ballot() {
    return count == 0 ? this : new RegisterVersion(round, owner, 0);
  }

  /** Returns the version of the same ballot with another count. */
  public RegisterVersion withCount(final long newCount) {
    return new RegisterVersion(round, owner, newCount);
  }

  /** Returns whether both versions belong to the same ballot. */
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
