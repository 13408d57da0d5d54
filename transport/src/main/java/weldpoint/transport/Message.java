package weldpoint.transport;

/** A message of the internal protocol, which the programs of the system exchange. */
public interface Message {}
