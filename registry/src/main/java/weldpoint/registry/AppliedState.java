package weldpoint.registry;

/**
 * What one daemon has in force: the configuration, the mark of evacuations and trials, for how long
 * it had them, and how long ago it told, in milliseconds.
 */
public record AppliedState(
    String address,
    String program,
    long version,
    long orderVersion,
    long appliedMillis,
    long ageMillis) {}
