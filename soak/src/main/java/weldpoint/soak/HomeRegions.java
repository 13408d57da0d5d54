package weldpoint.soak;

import java.util.List;
import java.util.Random;

/**
 * The home regions of one route and one tenant; an empty list allows every region.
 *
 * @param route the route's
 * @param tenant the tenant's
 */
record HomeRegions(List<String> route, List<String> tenant) {
  /** The region of two zones of three. */
  static final String MAIN_REGION = "home";

  /** The region of the third zone. */
  static final String REMOTE_REGION = "away";

  /** No homes. */
  static final HomeRegions UNRESTRICTED = new HomeRegions(List.of(), List.of());

  private static final List<List<String>> REGION_LISTS =
      List.of(List.of(), List.of(MAIN_REGION), List.of(REMOTE_REGION), List.of(MAIN_REGION, REMOTE_REGION));

  /** Homes that are drawn. */
  static HomeRegions pick(final Random random) {
    return new HomeRegions(
        REGION_LISTS.get(random.nextInt(REGION_LISTS.size())), REGION_LISTS.get(random.nextInt(REGION_LISTS.size())));
  }

  /** The region of the zone of this number. */
  static String regionOfZone(final int zone) {
    return zone == 2 ? REMOTE_REGION : MAIN_REGION;
  }

  /** Whether both allow a region. */
  boolean allows(final String region) {
    return (route.isEmpty() || route.contains(region))
        && (tenant.isEmpty() || tenant.contains(region));
  }

  /** Regions as JSON. */
  static String toJson(final List<String> regions) {
    return regions.isEmpty() ? "[]" : "[\"" + String.join("\",\"", regions) + "\"]";
  }

  /**
   * A configuration that brought homes.
   *
   * @param version its version
   * @param sentAt when it was sent first, in milliseconds of the steady clock
   * @param acknowledgedAt when it was acknowledged; {@link Long#MAX_VALUE} where it was not
   */
  record Change(int version, HomeRegions homeRegions, long sentAt, long acknowledgedAt) {}
}
