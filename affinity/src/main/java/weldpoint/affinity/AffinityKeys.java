package weldpoint.affinity;

import java.util.List;
import weldpoint.routing.Affinity;

/** By which name a caller is tied. */
public final class AffinityKeys {
  private static final int MAX_KEY_LENGTH = 256;
  private long missingHeaders;
  private long repeatedHeaders;
  private long overlongHeaders;

  /** Nothing counted yet. */
  public AffinityKeys() {}

  /**
   * The name of a caller: the header's value, the tenant's name or the address; whatever is
   * missing, double or overlong gives the address, and is counted.
   */
  public String keyFor(
      final Affinity rule, final List<String> header, final String tenant, final String address) {
    if (rule.by() == Affinity.By.TENANT && tenant != null) {
      return "t" + tenant;
    }
    if (rule.by() == Affinity.By.HEADER) {
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

  /** Requests whose header was missing. */
  public long missingHeaders() {
    return missingHeaders;
  }

  /** Requests with the header more than once. */
  public long repeatedHeaders() {
    return repeatedHeaders;
  }

  /** Requests whose header was overlong. */
  public long overlongHeaders() {
    return overlongHeaders;
  }
}
