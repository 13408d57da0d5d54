package weldpoint.transport;

/** Anything that one program of the system says to another. */
public interface Message {}
