package weldpoint.upstream;

import java.util.ArrayDeque;
import weldpoint.transport.RegistryMessages.Registration;

/** One upstream as this switchboard knows it: what it was told, and what it has seen itself. */
public final class Upstream {
  private static final long TOLD_MILLIS = 1500;
  private static final int MOST_HOLD_MILLIS = 4000;
  private static final long LEAST_WINDOW_MILLIS = 1000;

  final String id;
  final String service;
  final String host;
  final int port;
  final String site;
  final String region;
  int capacity;
  boolean open = true;
  boolean suspect;
  boolean own = true;
  long coldUntil;
  long nextColdAt;
  long coldPace;
  boolean coldPaced;
  int connecting;
  int coldRank;
  int coldRankOf;
  int inFlight;
  Fill fill = new Fill();
  final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
  private int toldBusy;
  private int toldOwn;
  private long toldAt = Long.MIN_VALUE / 2;
  double expectedMillis;
  private long tiedFrom = Long.MIN_VALUE / 2;
  private long tiedWindow = 1000;
  private int tiedNow;
  private int tiedBefore;
  private int failures;
  private long holdUntil;
  private long answeredAt;
  final ArrayDeque<long[]> outstanding = new ArrayDeque<>();

  Upstream(final Registration registration, final String region, final long now) {
    this.id = registration.id;
    this.service = registration.service;
    final int colon = registration.address.lastIndexOf(':');
    this.host = registration.address.substring(0, colon);
    this.port = Integer.parseInt(registration.address.substring(colon + 1));
    this.site = registration.site;
    this.region = region;
    this.capacity = Math.max(1, registration.capacity);
    this.answeredAt = now;
  }

  /** The id of this life of the upstream. */
  public String id() {
    return id;
  }

  /** The service it belongs to. */
  public String service() {
    return service;
  }

  /** The site it stands in. */
  public String site() {
    return site;
  }

  /** How many requests it works on at once. */
  public int capacity() {
    return capacity;
  }

  void told(final String load, final long now) {
    final String[] parts = load.split(",");
    if (parts.length != 3) {
      return;
    }
    try {
      toldBusy = Integer.parseInt(parts[0].strip()) + Integer.parseInt(parts[1].strip());
      capacity = Math.max(1, Integer.parseInt(parts[2].strip()));
      toldOwn = inFlight;
      toldAt = now;
      fill.told(Math.max(0, toldBusy - toldOwn) / (double) capacity, now);
    } catch (final NumberFormatException ignored) {
      toldAt = Long.MIN_VALUE / 2;
    }
  }

  /** A write of a caller that is tied to it goes there; sessions end after the pause. */
  void tied(final long now, final long pauseMillis) {
    turn(now);
    tiedWindow = Math.max(1000, Math.min(10_000, pauseMillis));
    tiedNow++;
  }

  private void turn(final long now) {
    if (now - tiedFrom >= tiedWindow) {
      tiedBefore = now - tiedFrom >= 2 * tiedWindow ? 0 : tiedNow;
      tiedNow = 0;
      tiedFrom = now;
    }
  }

  /**
   * How many slots the writes lately tied to it take over all switchboards, within this part of
   * all; 0 once they have ceased.
   */
  int reserved(final long now, final double sharers, final double most, final double usual) {
    turn(now);
    final int seen = tiedNow + tiedBefore;
    if (seen == 0) {
      return 0;
    }
    final double perMilli =
        seen
            / (double)
                ((tiedBefore == 0 ? 0 : tiedWindow)
                    + Math.max(LEAST_WINDOW_MILLIS, now - tiedFrom));
    return (int)
        Math.min(
            Math.floor(capacity * most),
            Math.ceil(perMilli * sharers * (expectedMillis == 0 ? usual : expectedMillis)));
  }

  /** How many requests it has for certain, over all switchboards. */
  double known(final long now) {
    return inFlight + Math.max(0, toldBusy - toldOwn) * fresh(now);
  }

  private double fresh(final long now) {
    return Math.max(0, 1 - (now - toldAt) / (double) TOLD_MILLIS);
  }

  /**
   * How many requests it probably has: what it told lately, and as that grows old, what its like in
   * the same site have.
   */
  double busy(final long now) {
    final double fresh = fresh(now);
    return inFlight
        + Math.max(0, toldBusy - toldOwn) * fresh
        + (1 - fresh) * fill.perSlot(now) * capacity;
  }

  /**
   * What the upstreams of one service in one site tell of others' requests, for each of their
   * slots.
   */
  static final class Fill {
    private static final double WEIGHT = 0.05;
    private static final long FORGOTTEN_MILLIS = 3000;
    private double perSlot;
    private long at = Long.MIN_VALUE / 2;

    void told(final double seen, final long now) {
      perSlot = now - at > FORGOTTEN_MILLIS ? seen : perSlot * (1 - WEIGHT) + seen * WEIGHT;
      at = now;
    }

    double perSlot(final long now) {
      return perSlot * Math.max(0, 1 - (now - at) / (double) FORGOTTEN_MILLIS);
    }
  }

  /** How long a further request would probably take. */
  double cost(final long now, final double usual) {
    final double expected = expectedMillis == 0 ? usual : expectedMillis;
    final double fill = (busy(now) + 1) / capacity;
    return expected
        * (fill <= 0.8
            ? 1 + 0.2 * fill
            : fill <= 1 ? 1 + 1.5 * (fill - 0.7) : 1.45 + 2 * (fill - 1));
  }

  boolean cold(final long now) {
    return now < coldUntil;
  }

  /** A request that waited for its connection is sent only now: the pace counts from here. */
  void sentLate(final long now) {
    if (cold(now)) {
      nextColdAt = Math.max(nextColdAt, now + coldPace);
    }
  }

  /** Whether it has been silent for so long, with requests waiting there, that it may be gone. */
  boolean dim(final long now, final double usual) {
    if (now < holdUntil) {
      return true;
    }
    final long[] oldest = outstanding.peekFirst();
    return oldest != null
        && answeredAt < oldest[0]
        && now - oldest[0] > Math.max(300, 2 * (expectedMillis == 0 ? usual : expectedMillis));
  }

  /**
   * Whether nothing has come back for longer than usual since the oldest request that waits there
   * was sent.
   */
  boolean doubtful(final long now, final double usual) {
    final long[] oldest = outstanding.peekFirst();
    return oldest != null
        && answeredAt < oldest[0]
        && now - oldest[0] > Math.max(100, 1.2 * (expectedMillis == 0 ? usual : expectedMillis));
  }

  void sent(final long[] token) {
    inFlight++;
    outstanding.addLast(token);
  }

  void ended(final long[] token) {
    inFlight--;
    outstanding.remove(token);
  }

  void answered(final long now, final long tookMillis) {
    failures = 0;
    holdUntil = 0;
    answeredAt = now;
    if (tookMillis >= 0) {
      expectedMillis = expectedMillis == 0 ? tookMillis : expectedMillis * 0.9 + tookMillis * 0.1;
    }
  }

  /** A request that was sent then is given up: a failure, if nothing at all has come back since. */
  void left(final long startedAt, final long now) {
    if (answeredAt < startedAt && now - startedAt > Math.max(300, 2 * expectedMillis)) {
      failed(now);
    }
  }

  void failed(final long now) {
    failures++;
    holdUntil = now + Math.min(MOST_HOLD_MILLIS, 250L << Math.min(4, failures));
  }
}
