package weldpoint.registry;

/**
 * What one daemon has applied: the version of the configuration, the version of evacuations and
 * trials, for how long it has had them, and how long ago it reported, both in milliseconds.
 */
public record AppliedState(
    String address,
    String program,
    long version,
    long orderVersion,
    long appliedMillis,
    long ageMillis) {}
