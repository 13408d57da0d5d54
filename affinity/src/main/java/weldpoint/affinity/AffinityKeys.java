package weldpoint.affinity;

import java.util.List;
import weldpoint.routing.Affinity;

/**
 * Derives the affinity key of a caller, by which its writes are bound to a node, and counts
 * requests without a usable header. Used by proxies.
 */
public final class AffinityKeys {
  private static final int MAX_KEY_LENGTH = 256;
  private long missingHeaders;
  private long repeatedHeaders;
  private long overlongHeaders;

  /** Creates an instance with all counts 0. */
  public AffinityKeys() {}

  /**
   * Returns the affinity key of a caller: the header's value, the tenant's name or the address,
   * each with its own prefix. If the header is missing, repeated or longer than 256 characters, the
   * address is used and the request is counted; without a tenant the address is used too.
   */
  public String keyFor(
      final Affinity rule, final List<String> header, final String tenant, final String address) {
    if (rule.by() == Affinity.CallerIdentity.TENANT && tenant != null) {
      return "t" + tenant;
    }
    if (rule.by() == Affinity.CallerIdentity.HEADER) {
      if (header.size() > 1) {
        repeatedHeaders++;
      } else if (header.isEmpty() || header.get(0).isBlank()) {
        missingHeaders++;
      } else if (header.get(0).length() > MAX_KEY_LENGTH) {
        overlongHeaders++;
      } else {
        return "h" + header.get(0);
      }
    }
    return "a" + address;
  }

  /** Returns the number of requests whose header was missing or blank. */
  public long missingHeaders() {
    return missingHeaders;
  }

  /** Returns the number of requests that had the header more than once. */
  public long repeatedHeaders() {
    return repeatedHeaders;
  }

  /** Returns the number of requests whose header was longer than 256 characters. */
  public long overlongHeaders() {
    return overlongHeaders;
  }
}
