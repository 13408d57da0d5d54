package weldpoint.soak;

import java.util.List;
import java.util.Random;

/**
 * The home regions of one route and one tenant, the only regions in which their requests may run.
 * An empty list allows every region.
 *
 * @param route the home regions of the route
 * @param tenant the home regions of the tenant
 */
record HomeRegions(List<String> route, List<String> tenant) {
  /** The region of the first two of the three zones. */
  static final String MAIN_REGION = "home";

  /** The region of the third zone. */
  static final String REMOTE_REGION = "away";

  /** No restriction for the route or the tenant. */
  static final HomeRegions UNRESTRICTED = new HomeRegions(List.of(), List.of());

  private static final List<List<String>> REGION_LISTS =
      List.of(
          List.of(),
          List.of(MAIN_REGION),
          List.of(REMOTE_REGION),
          List.of(MAIN_REGION, REMOTE_REGION));

  /** Chooses home regions at random. */
  static HomeRegions pick(final Random random) {
    return new HomeRegions(
        REGION_LISTS.get(random.nextInt(REGION_LISTS.size())),
        REGION_LISTS.get(random.nextInt(REGION_LISTS.size())));
  }

  /** Returns the region of a zone, given by its number. */
  static String regionOfZone(final int zone) {
    return zone == 2 ? REMOTE_REGION : MAIN_REGION;
  }

  /** Returns whether both the route and the tenant allow a region. */
  boolean allows(final String region) {
    return (route.isEmpty() || route.contains(region))
        && (tenant.isEmpty() || tenant.contains(region));
  }

  /** Returns the regions as a JSON array. */
  static String toJson(final List<String> regions) {
    return regions.isEmpty() ? "[]" : "[\"" + String.join("\",\"", regions) + "\"]";
  }

  /**
   * A configuration that set home regions.
   *
   * @param version the configuration's version
   * @param homeRegions the home regions it set
   * @param sentAt when it was sent, in milliseconds of {@link Clock}
   * @param acknowledgedAt when it was acknowledged; {@link Long#MAX_VALUE} if it was not
   */
  record Change(int version, HomeRegions homeRegions, long sentAt, long acknowledgedAt) {}
}
