package weldpoint.common;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The validated settings of one process, read from "name = value" lines. Unknown names are ignored;
 * an invalid value is reported as a {@link WeldpointException} of kind SETTING that names it. An
 * object is immutable and may be read from any thread. Methods whose name ends with Millis return
 * milliseconds.
 */
public final class Settings {
  /** The environment variable that names the settings file. */
  public static final String FILE_VARIABLE = "WELDPOINT_SETTINGS";

  /** The header by which clients name the operation of a request on a keyed route. */
  public static final String OPERATION_KEY_HEADER = "Weldpoint-Operation-Key";

  private static final String DEFAULT_KEY_HEADERS =
      OPERATION_KEY_HEADER + ",Idempotency-Key,Weldpoint-Idempotency-Key";
  private static final String HEADER_NAME_PATTERN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
  private static final double DEFAULT_KEY_WINDOW_S = 60;
  private static final double MAX_KEY_WINDOW_S = 3600;
  private static final double KEY_WINDOW_MARGIN_S = 15;
  private static final long DEFAULT_LATE_MILLIS = 1000;
  private static final long DEFAULT_HOLD_MILLIS = 4000;
  private static final long MIN_HOLD_MILLIS = 1000;
  private static final long MIN_DRAIN_MILLIS = 1000;
  private static final int MIN_TRANSFER_BYTES = 16 << 10;
  private static final int MAX_TRANSFER_BYTES = 256 << 10;
  private static final double TRANSFER_SECONDS = 0.1;

  /** A host and a TCP port. */
  public record Address(String host, int port) {
    /** Parses "host:port"; the field is the setting that an error names. */
    public static Address parse(final String field, final String text) {
      final int colon = text.lastIndexOf(':');
      try {
        final int port = Integer.parseInt(text.substring(colon + 1));
        if (colon > 0 && port > 0 && port < 65536) {
          return new Address(text.substring(0, colon), port);
        }
      } catch (final NumberFormatException ignored) {
        // reported below, with the field's name
      }
      throw invalid(field, text, "write it as host:port, for example 10.0.0.1:8080");
    }

    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  private final Map<String, String> values;

  private Settings(final Map<String, String> values) {
    this.values = values;
  }

  private static Path path() {
    final String path = System.getenv(FILE_VARIABLE);
    return Path.of(path == null || path.isEmpty() ? "/etc/weldpoint/local.conf" : path);
  }

  /** Loads the file named in the environment, or /etc/weldpoint/local.conf. */
  public static Settings load() {
    return load(path());
  }

  /** Returns when that file was last modified, in milliseconds of the epoch; 0 if unknown. */
  public static long lastModified() {
    return path().toFile().lastModified();
  }

  /** Loads and validates a settings file. */
  public static Settings load(final Path path) {
    try {
      return parse(Files.readString(path));
    } catch (final IOException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.SETTING,
          "settings file "
              + path
              + " cannot be read; set the path of a readable file in "
              + FILE_VARIABLE);
    }
  }

  /** Parses and validates settings. */
  public static Settings parse(final String text) {
    final Map<String, String> values = new LinkedHashMap<>();
    int lineNumber = 0;
    for (final String rawLine : text.split("\n", -1)) {
      lineNumber++;
      final String line = rawLine.strip();
      if (line.isEmpty() || line.charAt(0) == '#') {
        continue;
      }
      final int equals = line.indexOf('=');
      if (equals < 1) {
        throw invalid("line " + lineNumber, line, "write it as name = value");
      }
      values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
    }
    final Settings settings = new Settings(values);
    settings.check();
    return settings;
  }

  private void check() {
    name();
    address();
    bindAddress();
    site();
    region();
    voter();
    firstStart();
    transportPort(0);
    seeds();
    sites();
    for (final String field :
        new String[] {"listen.traffic", "listen.readiness", "listen.control", "listen.directory"}) {
      optionalAddress(field);
    }
    heartbeatMillis();
    drainMillis();
    configurationMillis();
    evacuationMillis();
    contactMillis();
    graceMillis();
    historyMillis();
    retryRatio();
    retryWindowMillis();
    retrySlack();
    warmupOvershoot();
    warmupTolerance();
    resolutionTtl();
    revokeMillis();
    quotaWindowMillis();
    keyHeaders();
    keyWindowMillis();
    metricsPort();
    quotaOvershoot();
    quotaTolerance();
    originWindowMillis();
    originOvershoot();
    strictRevocation();
    cacheBytes();
    subsetSize();
    subsetSharers();
    counterLogMillis();
    transferBytes();
    regionLeaderEnabled();
    if (leaderTenureMillis() < 2 * leaderHeartbeatMillis()) {
      throw invalid(
          "chief.tenure-ms",
          values.get("chief.tenure-ms"),
          "give at least twice chief.pulse-ms, "
              + 2 * leaderHeartbeatMillis()
              + " ms, or a region leader would step down between two of its heartbeats");
    }
    if (leaderWaitMillis() < 500) {
      throw invalid(
          "chief.wait-ms",
          values.get("chief.wait-ms"),
          "give at least 500, the milliseconds between two status messages of a registry");
    }
    purgeTrustWithoutMajorityMillis();
    affinityWaitMillis();
    affinityBatchMillis();
    affinityReserve();
    checkOwnershipHold();
    if (affinityLeaseMillis() < 1500) {
      throw invalid(
          "affinity.lease-ms",
          values.get("affinity.lease-ms"),
          "give at least 1500: leases count from the last majority contact, heard every 700 ms");
    }
    final long requiredBytes = requiredAuditBytes(auditRetention(), auditEntryBytes());
    if (requiredBytes > auditBytes()) {
      throw invalid(
          "audit.disk-mb",
          values.getOrDefault("audit.disk-mb", "4"),
          "give at least "
              + ((requiredBytes >> 20) + 1)
              + " for "
              + auditRetention()
              + " entries of up to "
              + auditEntryBytes()
              + " bytes, or lower audit.retention or audit.entry-bytes");
    }
  }

  private static long requiredAuditBytes(final long entries, final int entryBytes) {
    return (entries + entries / 4 + 64) * (32 + entryBytes) * 8 / 6;
  }

  private static WeldpointException invalid(
      final String field, final String value, final String remedy) {
    return new WeldpointException(
        WeldpointException.Kind.SETTING,
        "setting " + field + " has the value '" + value + "'; " + remedy);
  }

  private String requiredText(final String field) {
    final String value = values.get(field);
    if (value == null || value.isEmpty()) {
      throw invalid(field, "", "it is required, set it in the settings file");
    }
    return value;
  }

  private double number(
      final String field, final double defaultValue, final double min, final double max) {
    final String value = values.get(field);
    if (value == null || value.isEmpty()) {
      return defaultValue;
    }
    try {
      final double parsed = Double.parseDouble(value);
      if (parsed >= min && parsed <= max) {
        return parsed;
      }
    } catch (final NumberFormatException ignored) {
      // reported below, with the field's name
    }
    throw invalid(field, value, "give a number from " + min + " to " + max);
  }

  private boolean flag(final String field) {
    final String value = values.getOrDefault(field, "");
    return switch (value) {
      case "true" -> true;
      case "false", "" -> false;
      default -> throw invalid(field, value, "give true or false");
    };
  }

  /** Returns the name of this machine. */
  public String name() {
    return requiredText("station.name");
  }

  /** Returns the IP address at which other machines reach this one. */
  public String address() {
    return addressOf("station.address", requiredText("station.address"));
  }

  /**
   * Returns the IP address to which the internal ports and the metrics port are bound: the
   * machine's own, unless station.bind is set because something stands between it and the other
   * machines.
   */
  public String bindAddress() {
    final String value = values.getOrDefault("station.bind", "");
    return value.isEmpty() ? address() : addressOf("station.bind", value);
  }

  private static String addressOf(final String field, final String value) {
    if (!value.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")) {
      throw invalid(field, value, "give an IPv4 address such as 10.0.0.1");
    }
    return value;
  }

  /** Returns the site of this machine. */
  public String site() {
    return requiredText("station.site");
  }

  /** Returns the region of this machine. */
  public String region() {
    return requiredText("station.region");
  }

  /** Returns whether the disk of this machine may count towards a majority. */
  public boolean voter() {
    return flag("station.voter");
  }

  /** Returns whether this is the very first start of the whole system. */
  public boolean firstStart() {
    return flag("station.first-start");
  }

  /** Returns the folder of this process's files; empty if it has no disk. */
  public String folder() {
    return values.getOrDefault("station.folder", "");
  }

  /** Returns the address in an optional setting; null if it is not set. */
  public Address optionalAddress(final String field) {
    final String value = values.get(field);
    return value == null || value.isEmpty() ? null : Address.parse(field, value);
  }

  /** Returns the address in a required setting. */
  public Address requiredAddress(final String field) {
    return Address.parse(field, requiredText(field));
  }

  /** Returns a port of the internal protocol: 0 is the registry's, 1 the state store's. */
  public int transportPort(final int index) {
    final String value = requiredText("trunk.ports");
    final String[] parts = value.split(",");
    try {
      final int first = Integer.parseInt(parts[0].strip());
      final int last = Integer.parseInt(parts[1].strip());
      if (parts.length == 2 && first > 0 && last < 65536 && first + 1 <= last) {
        return first + index;
      }
    } catch (final NumberFormatException | ArrayIndexOutOfBoundsException ignored) {
      // reported below, with the field's name
    }
    throw invalid(
        "trunk.ports", value, "give the first and last of at least two free ports, as 7000,7015");
  }

  /** Returns the hosts of the seeds. */
  public List<String> seeds() {
    final List<String> seeds = new ArrayList<>();
    for (final String part : requiredText("trunk.seeds").split(",")) {
      seeds.add(Address.parse("trunk.seeds", part.strip()).host());
    }
    return seeds;
  }

  /** Returns the region of every site. */
  public Map<String, String> sites() {
    final Map<String, String> sites = new LinkedHashMap<>();
    for (final String part : values.getOrDefault("sites", "").split(",")) {
      if (part.isBlank()) {
        continue;
      }
      final int colon = part.indexOf(':');
      if (colon < 1) {
        throw invalid("sites", part, "write it as site:region, separated by commas");
      }
      sites.put(part.substring(0, colon).strip(), part.substring(colon + 1).strip());
    }
    return sites;
  }

  /** Returns the interval of the heartbeats of an upstream. */
  public long heartbeatMillis() {
    return (long) number("beat.every-ms", 1500, 1, 600_000);
  }

  /** Returns how long an upstream still serves after it was told to drain. */
  public long drainMillis() {
    return (long) number("bound.drain-ms", 2000, 0, 600_000);
  }

  /** Returns the time after its acknowledgement in which a configuration must apply everywhere. */
  public long configurationMillis() {
    return (long) number("bound.config-ms", 2000, 100, 600_000);
  }

  /** Returns the time after its acknowledgement in which an evacuation must apply everywhere. */
  public long evacuationMillis() {
    return (long) number("bound.evacuate-ms", 5000, 100, 600_000);
  }

  /** Returns how long a machine must have been healthy and connected for those bounds to hold. */
  public long contactMillis() {
    return (long) number("bound.contact-ms", 4000, 100, 600_000);
  }

  /** Returns the shortest of the bounds in which proxies must apply acknowledged changes. */
  public long enforcementBoundMillis() {
    return Math.min(
        Math.min(configurationMillis(), evacuationMillis()),
        Math.min(Math.max(MIN_DRAIN_MILLIS, drainMillis()), revokeMillis()));
  }

  /** Returns the time between SIGTERM and SIGKILL of a process. */
  public long graceMillis() {
    return (long) (1000 * number("bound.grace-s", 6, 0, 3600));
  }

  /** Returns how far back a watch may resume. */
  public long historyMillis() {
    return (long) (1000 * number("bound.history-s", 20, 0, 86_400));
  }

  /** Returns the number of retries that each request adds to the retry budget. */
  public double retryRatio() {
    return number("bound.retry-ratio", 0.2, 0, 100);
  }

  /** Returns the window of the retry budget. */
  public long retryWindowMillis() {
    return (long) (1000 * number("bound.retry-window-s", 10, 0.001, 3600));
  }

  /** Returns the retries allowed in addition to the ratio, over all proxies. */
  public double retrySlack() {
    return number("bound.retry-slack", 10, 0, 1_000_000);
  }

  /** Returns the factor by which the request limit of a cold upstream may be exceeded. */
  public double warmupOvershoot() {
    return number("bound.warmup-overshoot", 1.5, 0, 1000);
  }

  /** Returns the requests per second that a cold upstream may get in addition. */
  public double warmupTolerance() {
    return number("bound.warmup-tolerance", 5, 0, 1_000_000);
  }

  /** Returns whether the system delivers content, with tenants, cached copies and permits. */
  public boolean contentDelivery() {
    return "content".equals(values.get("station.rollout"));
  }

  /** Returns whether a removed API key must stop working on disconnected machines too. */
  public boolean strictRevocation() {
    return flag("bound.revocation-strict");
  }

  /** Returns how long after its removal an API key may still be used. */
  public long revokeMillis() {
    return (long) number("bound.revoke-ms", 5000, 1, 3_600_000);
  }

  /**
   * Returns the headers that may carry an idempotency key, at least one; the first one present is
   * used.
   */
  public List<String> keyHeaders() {
    final String text = values.getOrDefault("keys.headers", DEFAULT_KEY_HEADERS);
    final List<String> names = new ArrayList<>();
    for (final String name : text.split(",")) {
      if (name.isBlank()) {
        continue;
      }
      if (!name.strip().matches(HEADER_NAME_PATTERN)) {
        throw invalid("keys.headers", text, "give names of HTTP headers, separated by commas");
      }
      names.add(name.strip());
    }
    if (names.isEmpty()) {
      throw invalid(
          "keys.headers",
          text,
          "name at least one header, or keyed requests could run more than once");
    }
    return names;
  }

  /**
   * Returns how long an idempotency key belongs to the request that ran with it. It exceeds {@code
   * bound.key-window-s}, which counts from the client's send, by the time that a repeat may be
   * under way.
   */
  public long keyWindowMillis() {
    final double bound = number("bound.key-window-s", DEFAULT_KEY_WINDOW_S, 0, MAX_KEY_WINDOW_S);
    final double windowS =
        number(
            "keys.window-s",
            bound + KEY_WINDOW_MARGIN_S,
            1,
            MAX_KEY_WINDOW_S + KEY_WINDOW_MARGIN_S);
    if (windowS < bound && !values.getOrDefault("bound.key-window-s", "").isEmpty()) {
      throw invalid(
          "keys.window-s",
          values.get("keys.window-s"),
          "give at least bound.key-window-s, " + bound + ", or leave it out");
    }
    return (long) (1000 * windowS);
  }

  /** Returns the proxy's metrics port; the registry uses the next one; 0 disables metrics. */
  public int metricsPort() {
    return (int) number("metrics.port", 0, 0, 65_534);
  }

  /** Returns the window of quotas. */
  public long quotaWindowMillis() {
    return (long) (1000 * number("bound.quota-window-s", 5, 0.001, 3600));
  }

  /** Returns the fraction by which a quota may be exceeded. */
  public double quotaOvershoot() {
    return number("bound.quota-overshoot", 0.1, 0, 100);
  }

  /** Returns the number of requests by which a quota may be exceeded in addition. */
  public double quotaTolerance() {
    return number("bound.quota-tolerance", 20, 0, 1_000_000);
  }

  /** Returns the window of an origin's rate limit. */
  public long originWindowMillis() {
    return (long) (1000 * number("bound.origin-window-s", 5, 0.001, 3600));
  }

  /** Returns the factor by which an origin's rate limit may be exceeded. */
  public double originOvershoot() {
    return number("bound.origin-overshoot", 1, 0, 1000);
  }

  /** Returns whether the proxies of a region elect a leader while the core does not answer. */
  public boolean regionLeaderEnabled() {
    return flag("chief.enabled");
  }

  /** Returns how long the core must not have answered before an election starts. */
  public long leaderWaitMillis() {
    return (long) number("chief.wait-ms", 3000, 1, 3_600_000);
  }

  /** Returns how long a region leader stays in office without answers from a majority. */
  public long leaderTenureMillis() {
    return (long) number("chief.tenure-ms", 2500, 1, 3_600_000);
  }

  /** Returns the interval of the directives of a region leader. */
  public long leaderHeartbeatMillis() {
    return (long) number("chief.pulse-ms", 500, 1, 600_000);
  }

  /**
   * Returns how many upstreams of a large service a proxy uses in its own site in normal operation;
   * it uses half as many in each other site.
   */
  public int subsetSize() {
    return (int) number("choice.width", 24, 1, 100_000);
  }

  /**
   * Returns the affinity of callers on write routes that have no rule of their own: off, address,
   * tenant or header:NAME.
   */
  public String defaultAffinity() {
    return values.getOrDefault("affinity.default", "");
  }

  /** Returns how long a proxy may use a placement without renewing its lease. */
  public long affinityLeaseMillis() {
    return (long) number("affinity.lease-ms", 4000, 500, 600_000);
  }

  /**
   * Returns the longest time after a reset of an upstream's connection in which a grant of keys may
   * still take effect there.
   */
  public long ownershipLateMillis() {
    return (long) number("ownership.late-ms", DEFAULT_LATE_MILLIS, 0, 60_000);
  }

  /**
   * Returns how long a grant of keys is valid: the setting, or 4000 ms if the limit permits that.
   */
  public long ownershipHoldMillis() {
    return (long)
        number("ownership.hold-ms", Math.min(DEFAULT_HOLD_MILLIS, holdLimitMillis()), 1, 600_000);
  }

  private long holdLimitMillis() {
    return (long) number("bound.hold-limit-ms", 600_000, 1, 600_000);
  }

  private void checkOwnershipHold() {
    if (values.getOrDefault("ownership.hold-ms", "").isEmpty()) {
      return;
    }
    if (ownershipHoldMillis() < MIN_HOLD_MILLIS || ownershipHoldMillis() > holdLimitMillis()) {
      throw invalid(
          "ownership.hold-ms",
          Long.toString(ownershipHoldMillis()),
          "give at least "
              + MIN_HOLD_MILLIS
              + " to leave time for four renewals, and at most bound.hold-limit-ms, "
              + holdLimitMillis());
    }
  }

  /** Returns how long a write waits while its caller is moved, before it is rejected. */
  public long affinityWaitMillis() {
    return (long) number("affinity.wait-ms", 250, 0, 60_000);
  }

  /** Returns how long changes of upstreams are batched before callers are placed again. */
  public long affinityBatchMillis() {
    return (long) number("affinity.batch-ms", 300, 0, 60_000);
  }

  /**
   * Returns the largest fraction of an upstream's slots that lookups and downloads leave free for
   * the writes that have affinity to it.
   */
  public double affinityReserve() {
    return number("affinity.reserve", 0.5, 0, 1);
  }

  /** Returns the minimum number of entries kept in the history of routing changes. */
  public long auditRetention() {
    return (long) number("audit.retention", 2000, 100, 10_000_000);
  }

  /**
   * Returns the maximum size in bytes of one entry of the history; of a larger change, the parts
   * that do not fit are counted instead of listed.
   */
  public int auditEntryBytes() {
    return (int) number("audit.entry-bytes", 1024, 512, 65_536);
  }

  /** Returns the disk space in bytes that the history never exceeds. */
  public long auditBytes() {
    return (long) (number("audit.disk-mb", 4, 1, 8192) * (1 << 20));
  }

  /**
   * Returns how many proxies of an upstream's own site share it, if the service is large, in normal
   * operation.
   */
  public double subsetSharers() {
    return number("choice.sharers", 2, 1, 1000);
  }

  /**
   * Returns how many bytes may be in flight on one client connection, so that a download does not
   * fill the queue of a slow link; 0 for no limit.
   */
  public int transferBytes() {
    final double bytesPerSecond = number("station.link-mbps", 0, 0, 1_000_000) * 125_000;
    final double bound = Math.max(MIN_TRANSFER_BYTES, bytesPerSecond * TRANSFER_SECONDS);
    return bytesPerSecond == 0 || bound > MAX_TRANSFER_BYTES ? 0 : (int) bound;
  }

  /** Returns the interval at which a process logs its counters. */
  public long counterLogMillis() {
    return (long) number("log.counters-ms", 10_000, 200, 3_600_000);
  }

  /** Returns the size in bytes of the cache of a cache daemon. */
  public long cacheBytes() {
    return (long) (number("copies.most-mb", 64, 0, 1_000_000) * (1 << 20));
  }

  /**
   * Returns how long after its last news of a majority a cache daemon without contact to any
   * registry may assume that it knows all purges.
   */
  public long purgeTrustWithoutContactMillis() {
    final long bound = (long) number("bound.purge-ms", 2000, 1, 3_600_000);
    return Math.max(bound / 2, bound - 300);
  }

  /** Returns the same period for a cache daemon in contact with a registry without majority. */
  public long purgeTrustWithoutMajorityMillis() {
    return (long)
        (number("bound.purge-ms", 2000, 1, 3_600_000)
            + number("bound.stretch-ms", 5000, 0, 3_600_000));
  }

  /** Returns the maximum time in seconds for which a directory answer may be cached. */
  public double resolutionTtl() {
    return number("bound.resolution-ttl-s", 5, 0, 3600);
  }
}
