package weldpoint.common;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The checked settings of one process, read from "name = value" lines. Unknown names are ignored.
 */
public final class Settings {
  /** The environment variable that names the settings file. */
  public static final String FILE_VARIABLE = "WELDPOINT_SETTINGS";

  private static final String DEFAULT_KEY_HEADERS = "Idempotency-Key,Weldpoint-Idempotency-Key";
  private static final long DEFAULT_LATE_MILLIS = 1000;
  private static final long DEFAULT_HOLD_MILLIS = 4000;
  private static final long MIN_HOLD_MILLIS = 1000;
  private static final long MIN_DRAIN_MILLIS = 1000;
  private static final int MIN_TRANSFER_BYTES = 16 << 10;
  private static final int MAX_TRANSFER_BYTES = 256 << 10;
  private static final double TRANSFER_SECONDS = 0.1;

  /** A TCP address. */
  public record Address(String host, int port) {
    /** Reads "host:port". */
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

  /** Reads the file that the environment names. */
  public static Settings load() {
    return load(path());
  }

  /** When that file was last changed; 0 where that cannot be told. */
  public static long lastModified() {
    return path().toFile().lastModified();
  }

  /** Reads a settings file. */
  public static Settings load(final Path path) {
    try {
      return parse(Files.readString(path));
    } catch (final IOException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.SETTING,
          "settings file " + path + " cannot be read; name a readable file in " + FILE_VARIABLE);
    }
  }

  /** Reads settings from text and checks them. */
  public static Settings parse(final String text) {
    final Map<String, String> values = new LinkedHashMap<>();
    int number = 0;
    for (final String raw : text.split("\n", -1)) {
      number++;
      final String line = raw.strip();
      if (line.isEmpty() || line.charAt(0) == '#') {
        continue;
      }
      final int equals = line.indexOf('=');
      if (equals < 1) {
        throw invalid("line " + number, line, "write it as name = value");
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
              + ", or a chief would end between two of its pulses");
    }
    if (leaderWaitMillis() < 500) {
      throw invalid(
          "chief.wait-ms",
          values.get("chief.wait-ms"),
          "give at least 500, the pause between two words of an exchange");
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
          "give at least 1500: an exchange hears of a majority only every 700 ms, and a lease counts from there");
    }
    final long needed = requiredAuditBytes(auditRetention(), auditEntryBytes());
    if (needed > auditBytes()) {
      throw invalid(
          "audit.disk-mb",
          values.getOrDefault("audit.disk-mb", "4"),
          "give at least "
              + ((needed >> 20) + 1)
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
      throw invalid(field, "", "it is required, give it a value");
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

  /** The name of this machine. */
  public String name() {
    return requiredText("station.name");
  }

  /** The IP address by which other machines know this one. */
  public String address() {
    return addressOf("station.address", requiredText("station.address"));
  }

  /**
   * The IP address that inner ports and figures are bound to: the station's own, unless something
   * stands between this machine and the others.
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

  /** The site of this machine. */
  public String site() {
    return requiredText("station.site");
  }

  /** The region of this machine. */
  public String region() {
    return requiredText("station.region");
  }

  /** Whether the disk of this machine may count toward a majority. */
  public boolean voter() {
    return flag("station.voter");
  }

  /** Whether this is the very first start of the whole system. */
  public boolean firstStart() {
    return flag("station.first-start");
  }

  /** Where this process keeps its files; empty where it has no disk. */
  public String folder() {
    return values.getOrDefault("station.folder", "");
  }

  /** An address that may be left out; null then. */
  public Address optionalAddress(final String field) {
    final String value = values.get(field);
    return value == null || value.isEmpty() ? null : Address.parse(field, value);
  }

  /** An address that must be there. */
  public Address requiredAddress(final String field) {
    return Address.parse(field, requiredText(field));
  }

  /** The port of the inner protocol: 0 is the exchange's, 1 the frame's. */
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

  /** The hosts of the seeds. */
  public List<String> seeds() {
    final List<String> seeds = new ArrayList<>();
    for (final String part : requiredText("trunk.seeds").split(",")) {
      seeds.add(Address.parse("trunk.seeds", part.strip()).host());
    }
    return seeds;
  }

  /** The region of every site. */
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

  /** How often an upstream beats. */
  public long heartbeatMillis() {
    return (long) number("beat.every-ms", 1500, 1, 600_000);
  }

  /** How long after the word of a drain an upstream still serves. */
  public long drainMillis() {
    return (long) number("bound.drain-ms", 2000, 0, 600_000);
  }

  /** How long after its acknowledgement a configuration must be in force everywhere. */
  public long configurationMillis() {
    return (long) number("bound.config-ms", 2000, 100, 600_000);
  }

  /** How long after its acknowledgement an evacuation must be in force everywhere. */
  public long evacuationMillis() {
    return (long) number("bound.evacuate-ms", 5000, 100, 600_000);
  }

  /** For how long a machine must have been sound and connected to be held to those bounds. */
  public long contactMillis() {
    return (long) number("bound.contact-ms", 4000, 100, 600_000);
  }

  /** The shortest of the bounds within which proxies must obey what was acknowledged. */
  public long enforcementBoundMillis() {
    return Math.min(
        Math.min(configurationMillis(), evacuationMillis()),
        Math.min(Math.max(MIN_DRAIN_MILLIS, drainMillis()), revokeMillis()));
  }

  /** How long a process has between SIGTERM and SIGKILL. */
  public long graceMillis() {
    return (long) (1000 * number("bound.grace-s", 6, 0, 3600));
  }

  /** How far back a watch may resume. */
  public long historyMillis() {
    return (long) (1000 * number("bound.history-s", 20, 0, 86_400));
  }

  /** Further tries allowed for each request. */
  public double retryRatio() {
    return number("bound.retry-ratio", 0.2, 0, 100);
  }

  /** The window of the budget of further tries. */
  public long retryWindowMillis() {
    return (long) (1000 * number("bound.retry-window-s", 10, 0.001, 3600));
  }

  /** Further tries allowed besides, over all switchboards. */
  public double retrySlack() {
    return number("bound.retry-slack", 10, 0, 1_000_000);
  }

  /** The factor by which a cold upstream's bound may be exceeded. */
  public double warmupOvershoot() {
    return number("bound.warmup-overshoot", 1.5, 0, 1000);
  }

  /** What a cold upstream may get besides in a second. */
  public double warmupTolerance() {
    return number("bound.warmup-tolerance", 5, 0, 1_000_000);
  }

  /** Whether this system delivers content: tenants, copies and permits are then in use. */
  public boolean contentDelivery() {
    return "content".equals(values.get("station.rollout"));
  }

  /** Whether a removed key must stop everywhere, also on machines that are cut off. */
  public boolean strictRevocation() {
    return flag("bound.revocation-strict");
  }

  /** How long after its removal a key may still be used. */
  public long revokeMillis() {
    return (long) number("bound.revoke-ms", 5000, 1, 3_600_000);
  }

  /** The headers that may bear a request's idempotency key; the first one that is there counts. */
  public List<String> keyHeaders() {
    final List<String> names = new ArrayList<>();
    for (final String name : values.getOrDefault("keys.headers", DEFAULT_KEY_HEADERS).split(",")) {
      if (!name.isBlank()) {
        names.add(name.strip());
      }
    }
    return names;
  }

  /** For how long an idempotency key belongs to the request that ran with it, in milliseconds. */
  public long keyWindowMillis() {
    return (long) (1000 * number("keys.window-s", 75, 1, 300));
  }

  /** The port at which the proxy tells its figures, the registry at the next; 0 where none does. */
  public int metricsPort() {
    return (int) number("metrics.port", 0, 0, 65_534);
  }

  /** The window of quotas. */
  public long quotaWindowMillis() {
    return (long) (1000 * number("bound.quota-window-s", 5, 0.001, 3600));
  }

  /** By how much of itself a quota may be exceeded. */
  public double quotaOvershoot() {
    return number("bound.quota-overshoot", 0.1, 0, 100);
  }

  /** By how many requests a quota may be exceeded besides. */
  public double quotaTolerance() {
    return number("bound.quota-tolerance", 20, 0, 1_000_000);
  }

  /** The window of an origin's rate. */
  public long originWindowMillis() {
    return (long) (1000 * number("bound.origin-window-s", 5, 0.001, 3600));
  }

  /** The factor by which an origin's rate may be exceeded. */
  public double originOvershoot() {
    return number("bound.origin-overshoot", 1, 0, 1000);
  }

  /** Whether the switchboards of a region choose a chief while the core is silent. */
  public boolean regionLeaderEnabled() {
    return flag("chief.enabled");
  }

  /** For how long the core must have been silent before an election. */
  public long leaderWaitMillis() {
    return (long) number("chief.wait-ms", 3000, 1, 3_600_000);
  }

  /** For how long a chief acts without being heeded by a majority. */
  public long leaderTenureMillis() {
    return (long) number("chief.tenure-ms", 2500, 1, 3_600_000);
  }

  /** How often a chief gives its orders. */
  public long leaderHeartbeatMillis() {
    return (long) number("chief.pulse-ms", 500, 1, 600_000);
  }

  /**
   * How many upstreams of a large service a switchboard uses in its own site while all goes well;
   * half of that in each other.
   */
  public int subsetSize() {
    return (int) number("choice.width", 24, 1, 100_000);
  }

  /**
   * What ties the callers of write routes that have no rule of their own: off, address, tenant or
   * header:NAME.
   */
  public String defaultAffinity() {
    return values.getOrDefault("affinity.default", "");
  }

  /** For how long a switchboard may tie callers by a placement without asking again. */
  public long affinityLeaseMillis() {
    return (long) number("affinity.lease-ms", 4000, 500, 600_000);
  }

  /**
   * The longest, in milliseconds, that a grant of keys may still be counted by an upstream after
   * its connection was reset.
   */
  public long ownershipLateMillis() {
    return (long) number("ownership.late-ms", DEFAULT_LATE_MILLIS, 0, 60_000);
  }

  /**
   * For how many milliseconds a grant of keys holds: the setting, or the usual 4000 where the bound
   * allows that.
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
              + ", since four renewals must fit with their answers, and at most bound.hold-limit-ms, "
              + holdLimitMillis());
    }
  }

  /** For how long a write waits for its caller's move before it is refused. */
  public long affinityWaitMillis() {
    return (long) number("affinity.wait-ms", 250, 0, 60_000);
  }

  /** How long changes of upstreams are gathered before callers are placed anew. */
  public long affinityBatchMillis() {
    return (long) number("affinity.batch-ms", 300, 0, 60_000);
  }

  /**
   * The largest part of an upstream's slots that lookups and downloads leave free for writes tied
   * to it.
   */
  public double affinityReserve() {
    return number("affinity.reserve", 0.5, 0, 1);
  }

  /** How many entries of the history of routing changes are kept at least. */
  public long auditRetention() {
    return (long) number("audit.retention", 2000, 100, 10_000_000);
  }

  /**
   * The most bytes that one entry of the history takes; what a larger change would add to it is
   * counted instead.
   */
  public int auditEntryBytes() {
    return (int) number("audit.entry-bytes", 1024, 512, 65_536);
  }

  /** The disk that the history takes, whatever happens. */
  public long auditBytes() {
    return (long) (number("audit.disk-mb", 4, 1, 8192) * (1 << 20));
  }

  /**
   * How many switchboards of its own site share an upstream of a large service while all goes well.
   */
  public double subsetSharers() {
    return number("choice.sharers", 2, 1, 1000);
  }

  /**
   * How many bytes may be under way on one connection of traffic, so that a download does not fill
   * a narrow link's queue; 0 for no bound.
   */
  public int transferBytes() {
    final double bytesPerSecond = number("station.link-mbps", 0, 0, 1_000_000) * 125_000;
    final double bound = Math.max(MIN_TRANSFER_BYTES, bytesPerSecond * TRANSFER_SECONDS);
    return bytesPerSecond == 0 || bound > MAX_TRANSFER_BYTES ? 0 : (int) bound;
  }

  /** How often a process logs its counters. */
  public long counterLogMillis() {
    return (long) number("log.counters-ms", 10_000, 200, 3_600_000);
  }

  /** How many bytes of copies an announcer keeps. */
  public long cacheBytes() {
    return (long) (number("copies.most-mb", 64, 0, 1_000_000) * (1 << 20));
  }

  /**
   * For how long after it last heard of a majority an announcer that hears nothing trusts that it
   * knows all purges.
   */
  public long purgeTrustWithoutContactMillis() {
    final long bound = (long) number("bound.purge-ms", 2000, 1, 3_600_000);
    return Math.max(bound / 2, bound - 300);
  }

  /** For how long while an exchange without a majority speaks to it. */
  public long purgeTrustWithoutMajorityMillis() {
    return (long)
        (number("bound.purge-ms", 2000, 1, 3_600_000)
            + number("bound.stretch-ms", 5000, 0, 3_600_000));
  }

  /** The longest time in seconds that a directory answer may be kept. */
  public double resolutionTtl() {
    return number("bound.resolution-ttl-s", 5, 0, 3600);
  }
}
