package weldpoint.affinity;

import java.util.List;
import weldpoint.routing.Affinity;

/** By which name a caller is tied. */
public final class AffinityKeys {
  private static final int MOST = 256;
  private long unnamed;
  private long several;
  private long overlong;

  /** Nothing counted yet. */
  public AffinityKeys() {}

  /**
   * The name of a caller: the header's value, the tenant's name or the address; whatever is
   * missing, double or overlong gives the address, and is counted.
   */
  public String name(
      final Affinity rule, final List<String> header, final String tenant, final String address) {
    if (rule.by() == Affinity.CallerIdentity.TENANT && tenant != null) {
      return "t" + tenant;
    }
    if (rule.by() == Affinity.CallerIdentity.HEADER) {
      if (header.size() > 1) {
        several++;
      } else if (header.isEmpty() || header.get(0).isBlank()) {
        unnamed++;
      } else if (header.get(0).length() > MOST) {
        overlong++;
      } else {
        return "h" + header.get(0);
      }
    }
    return "a" + address;
  }

  /** Requests whose header was missing. */
  public long unnamed() {
    return unnamed;
  }

  /** Requests with the header more than once. */
  public long several() {
    return several;
  }

  /** Requests whose header was overlong. */
  public long overlong() {
    return overlong;
  }
}
