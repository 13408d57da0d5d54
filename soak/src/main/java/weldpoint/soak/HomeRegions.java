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
  static final String NEAR = "home";

  /** The region of the third zone. */
  static final String FAR = "away";

  /** No homes. */
  static final HomeRegions NONE = new HomeRegions(List.of(), List.of());

  private static final List<List<String>> CHOICES =
      List.of(List.of(), List.of(NEAR), List.of(FAR), List.of(NEAR, FAR));

  /** Homes that are drawn. */
  static HomeRegions drawn(final Random random) {
    return new HomeRegions(
        CHOICES.get(random.nextInt(CHOICES.size())), CHOICES.get(random.nextInt(CHOICES.size())));
  }

  /** The region of the zone of this number. */
  static String region(final int zone) {
    return zone == 2 ? FAR : NEAR;
  }

  /** Whether both allow a region. */
  boolean allow(final String region) {
    return (route.isEmpty() || route.contains(region))
        && (tenant.isEmpty() || tenant.contains(region));
  }

  /** Regions as JSON. */
  static String json(final List<String> regions) {
    return regions.isEmpty() ? "[]" : "[\"" + String.join("\",\"", regions) + "\"]";
  }

  /**
   * A configuration that brought homes.
   *
   * @param version its version
   * @param sentAt when it was sent first, in milliseconds of the steady clock
   * @param acknowledgedAt when it was acknowledged; {@link Long#MAX_VALUE} where it was not
   */
  record Change(int version, HomeRegions homes, long sentAt, long acknowledgedAt) {}
}
