package weldpoint.transport;

import java.util.List;

/**
 * Messages that claim an idempotency key for one request before it is sent to an upstream.
 * Durations are in milliseconds and are measured by each receiver on its own monotonic clock.
 */
public final class KeyMessages {
  private KeyMessages() {}

  /** A request's claim of a key: the two halves of the key's digest, and who claims it. */
  public static final class Claim {
    public final long high;
    public final long low;

    /** The address of the proxy that holds the request. */
    public final String proxy;

    /** The incarnation of that proxy. */
    public final long incarnation;

    /** The claim's number within that incarnation. */
    public final long number;

    /** How long the claim must be kept, counted from its receipt. */
    public final long keepMillis;

    /** Creates a claim. */
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

    /** Returns whether both claims were made for the same request. */
    public boolean sameClaimant(final Claim other) {
      return incarnation == other.incarnation && number == other.number;
    }

    /** Returns this claim with another retention period. */
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

  /** A proxy asks its registry to grant a claim. */
  public static final class ClaimRequest implements Message {
    public final Claim claim;

    /** Creates a request for this claim. */
    public ClaimRequest(final Claim claim) {
      this.claim = claim;
    }
  }

  /** The result of a claim. */
  public enum ClaimResult {
    /** A majority has stored the claim: the request may be sent. */
    GRANTED,
    /** Another request holds the key. */
    HELD,
    /** The result cannot be determined: the request must not be sent. */
    UNKNOWN
  }

  /** A registry's answer to a claim, with the holder if another request has the key. */
  public static final class ClaimResponse implements Message {
    public final long number;
    public final int result;
    public final Claim holder;

    /** Creates the answer to the claim of this number. */
    public ClaimResponse(final long number, final ClaimResult result, final Claim holder) {
      this.number = number;
      this.result = result.ordinal();
      this.holder = holder;
    }

    /** Returns the result. */
    public ClaimResult result() {
      return ClaimResult.values()[result];
    }
  }

  /** Releases claims whose requests never ran and never will, so that their keys are free again. */
  public static final class ClaimRelease implements Message {
    public final List<Claim> claims;

    /** Creates a release of these claims. */
    public ClaimRelease(final List<Claim> claims) {
      this.claims = claims;
    }
  }

  /** A registry asks the registries of the voters to store claims. */
  public static final class ClaimVoteRequest implements Message {
    public final List<Claim> claims;

    /** Creates a request for votes on these claims. */
    public ClaimVoteRequest(final List<Claim> claims) {
      this.claims = claims;
    }
  }

  /** A vote on one claim; it grants the claim if the holder is null. */
  public static final class ClaimVote {
    public final long incarnation;
    public final long number;
    public final Claim holder;

    /** Creates a vote on the claim with this incarnation and number. */
    public ClaimVote(final long incarnation, final long number, final Claim holder) {
      this.incarnation = incarnation;
      this.number = number;
      this.holder = holder;
    }
  }

  /** The votes of one voter; the votes that grant a claim are on its disk. */
  public static final class ClaimVoteResponse implements Message {
    public final long rosterNumber;
    public final List<ClaimVote> votes;

    /** Creates a response with votes that were given under the roster of this number. */
    public ClaimVoteResponse(final long rosterNumber, final List<ClaimVote> votes) {
      this.rosterNumber = rosterNumber;
      this.votes = votes;
    }
  }

  /** A proxy asks the holder of a key for the outcome of the holder's request. */
  public static final class OutcomeRequest implements Message {
    public final Claim claim;
    public final long fingerprint;
    public final long waitMillis;

    /**
     * Creates a request for the outcome of a claim's request that waits for it at most this long.
     */
    public OutcomeRequest(final Claim claim, final long fingerprint, final long waitMillis) {
      this.claim = claim;
      this.fingerprint = fingerprint;
      this.waitMillis = waitMillis;
    }
  }

  /** The outcome of a request that held a key. */
  public enum Outcome {
    /** The request was answered. */
    ANSWERED,
    /** The request never ran and never will. */
    NEVER_RAN,
    /** The request is still being processed. */
    IN_PROGRESS,
    /** The request may have run. */
    UNCERTAIN,
    /** The key was used for a different request. */
    KEY_REUSED
  }

  /**
   * The holder's reply; if the request was answered, with status, headers (name, value, ...), body.
   */
  public static final class OutcomeResponse implements Message {
    public final int outcome;
    public final int status;
    public final List<String> headers;
    public final byte[] body;

    /** Creates an outcome with the response that the first request received. */
    public OutcomeResponse(
        final Outcome outcome, final int status, final List<String> headers, final byte[] body) {
      this.outcome = outcome.ordinal();
      this.status = status;
      this.headers = headers;
      this.body = body;
    }

    /** Creates an outcome without a response. */
    public OutcomeResponse(final Outcome outcome) {
      this(outcome, 0, null, null);
    }

    /** Returns the outcome. */
    public Outcome outcome() {
      return Outcome.values()[outcome];
    }
  }

  /** The response of a request that owned a key, kept for later requests with that key. */
  public static final class KeyOutcome {
    public final Claim claim;
    public final long fingerprint;
    public final OutcomeResponse response;

    /** The regions in which it may be kept; null or empty for all. */
    public final List<String> regions;

    /** Creates the outcome of a claim's request, to be kept for the claim's retention period. */
    public KeyOutcome(
        final Claim claim,
        final long fingerprint,
        final OutcomeResponse response,
        final List<String> regions) {
      this.claim = claim;
      this.fingerprint = fingerprint;
      this.response = response;
      this.regions = regions;
    }
  }

  /** Asks a registry to replicate an outcome, or a replica to keep it. */
  public static final class OutcomeReport implements Message {
    public final long number;
    public final KeyOutcome outcome;

    /** Creates a report; its sender chooses the number, which the reply repeats. */
    public OutcomeReport(final long number, final KeyOutcome outcome) {
      this.number = number;
      this.outcome = outcome;
    }
  }

  /** The outcome of a report is on disk: at a replica, or at enough of them. */
  public static final class OutcomeStored implements Message {
    public final long number;

    /** Creates the reply to the report of this number. */
    public OutcomeStored(final long number) {
      this.number = number;
    }
  }

  /** Asks a registry, or a replica, for the outcome of a claim's request. */
  public static final class OutcomeLookup implements Message {
    public final long number;
    public final Claim claim;
    public final long fingerprint;

    /** The regions in which it may be kept; null or empty for all. */
    public final List<String> regions;

    /** Creates a lookup; its sender chooses the number, which the reply repeats. */
    public OutcomeLookup(
        final long number, final Claim claim, final long fingerprint, final List<String> regions) {
      this.number = number;
      this.claim = claim;
      this.fingerprint = fingerprint;
      this.regions = regions;
    }
  }

  /** The reply to a lookup; its outcome is {@code UNCERTAIN} where none is kept. */
  public static final class OutcomeFound implements Message {
    public final long number;
    public final OutcomeResponse response;

    /** Creates the reply to the lookup of this number. */
    public OutcomeFound(final long number, final OutcomeResponse response) {
      this.number = number;
      this.response = response;
    }
  }
}
