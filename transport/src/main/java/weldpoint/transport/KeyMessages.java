package weldpoint.transport;

import java.util.List;

/**
 * Messages by which an idempotency key is claimed for one request before it is sent to an upstream.
 * Spans are in milliseconds and are counted by each receiver on its own steady clock.
 */
public final class KeyMessages {
  private KeyMessages() {}

  /** One request's claim of a key: the key's digest, and who claims it. */
  public static final class Claim {
    public final long high;
    public final long low;

    /** The address of the proxy that holds the request. */
    public final String proxy;

    /** The life of that proxy. */
    public final long incarnation;

    /** The claim's number within that life. */
    public final long number;

    /** For how long the claim must be remembered from its receipt on. */
    public final long keepMillis;

    /** A claim. */
    public Claim(
        final long high,
        final long low,
        final String proxy,
        final long incarnation,
        final long number,
        final long keepMillis) {
      this.high = high;
      this.low = low;
      this.proxy = proxy;
      this.incarnation = incarnation;
      this.number = number;
      this.keepMillis = keepMillis;
    }

    /** Whether both are the same request's. */
    public boolean sameClaimant(final Claim other) {
      return incarnation == other.incarnation && number == other.number;
    }

    /** The same claim with another span to remember it for. */
    public Claim withKeepMillis(final long millis) {
      return new Claim(high, low, proxy, incarnation, number, millis);
    }

    @Override
    public String toString() {
      return Long.toHexString(high)
          + " by "
          + proxy
          + "/"
          + Long.toHexString(incarnation)
          + "#"
          + number;
    }
  }

  /** A proxy asks its registry for a key. */
  public static final class ClaimRequest implements Message {
    public final Claim claim;

    /** Asks for this claim. */
    public ClaimRequest(final Claim claim) {
      this.claim = claim;
    }
  }

  /** What became of a claim. */
  public enum ClaimResult {
    /** A majority remembers the claim: the request may be sent. */
    GRANTED,
    /** Another request holds the key. */
    HELD,
    /** It cannot be told: the request must not be sent. */
    UNKNOWN
  }

  /** A registry answers a claim; the holder is given where another has the key. */
  public static final class ClaimResponse implements Message {
    public final long number;
    public final int result;
    public final Claim holder;

    /** An answer to the claim of this number. */
    public ClaimResponse(final long number, final ClaimResult result, final Claim holder) {
      this.number = number;
      this.result = result.ordinal();
      this.holder = holder;
    }

    /** The result. */
    public ClaimResult result() {
      return ClaimResult.values()[result];
    }
  }

  /** Claims whose requests never ran and never will: their keys are free again. */
  public static final class ClaimRelease implements Message {
    public final List<Claim> claims;

    /** Releases these. */
    public ClaimRelease(final List<Claim> claims) {
      this.claims = claims;
    }
  }

  /** A registry asks the voters' registries to remember claims. */
  public static final class ClaimVoteRequest implements Message {
    public final List<Claim> claims;

    /** Asks for votes on these. */
    public ClaimVoteRequest(final List<Claim> claims) {
      this.claims = claims;
    }
  }

  /** One vote: granted where no holder is given. */
  public static final class ClaimVote {
    public final long incarnation;
    public final long number;
    public final Claim holder;

    /** A vote on the claim of this claimant. */
    public ClaimVote(final long incarnation, final long number, final Claim holder) {
      this.incarnation = incarnation;
      this.number = number;
      this.holder = holder;
    }
  }

  /** A voter's votes; those that grant are on its disk. */
  public static final class ClaimVoteResponse implements Message {
    public final long rosterNumber;
    public final List<ClaimVote> votes;

    /** Votes given under a roster. */
    public ClaimVoteResponse(final long rosterNumber, final List<ClaimVote> votes) {
      this.rosterNumber = rosterNumber;
      this.votes = votes;
    }
  }

  /** A proxy asks the holder of a key what became of its request. */
  public static final class OutcomeRequest implements Message {
    public final Claim claim;
    public final long fingerprint;
    public final long waitMillis;

    /** Asks for the outcome of this claim's request, waiting for it for so long. */
    public OutcomeRequest(final Claim claim, final long fingerprint, final long waitMillis) {
      this.claim = claim;
      this.fingerprint = fingerprint;
      this.waitMillis = waitMillis;
    }
  }

  /** What became of a request that held a key. */
  public enum Outcome {
    /** It was answered. */
    ANSWERED,
    /** It never ran and never will. */
    NEVER_RAN,
    /** It is still at work. */
    IN_PROGRESS,
    /** It may have run. */
    UNCERTAIN,
    /** Another request than this one holds the key. */
    KEY_REUSED
  }

  /** The holder's answer; status, headers (name, value, ...) and body where it was answered. */
  public static final class OutcomeResponse implements Message {
    public final int outcome;
    public final int status;
    public final List<String> headers;
    public final byte[] body;

    /** An outcome with the answer that the first request got. */
    public OutcomeResponse(
        final Outcome outcome, final int status, final List<String> headers, final byte[] body) {
      this.outcome = outcome.ordinal();
      this.status = status;
      this.headers = headers;
      this.body = body;
    }

    /** An outcome without an answer. */
    public OutcomeResponse(final Outcome outcome) {
      this(outcome, 0, null, null);
    }

    /** The outcome. */
    public Outcome outcome() {
      return Outcome.values()[outcome];
    }
  }
}
