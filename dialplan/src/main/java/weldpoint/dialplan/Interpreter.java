package weldpoint.dialplan;

import java.util.Map;

/** The registers of the interpreter for one request: what it asks for, and what came out. */
public final class Interpreter {
  final String host;
  final String path;
  final int pathEnd;
  final double chance;
  Map<String, Route> prefixes;
  Route route;
  int service;

  /** A request for this host and path; chance, from 0 to 1, decides in a split. */
  public Interpreter(final String host, final String target, final double chance) {
    final int colon = host.lastIndexOf(':');
    this.host = (colon > 0 ? host.substring(0, colon) : host).toLowerCase(java.util.Locale.ROOT);
    final int query = target.indexOf('?');
    this.path = query < 0 ? target : target.substring(0, query);
    this.pathEnd = path.lastIndexOf('/');
    this.chance = chance;
  }

  /** The route that was found. */
  public Route route() {
    return route;
  }

  /** The index of the service that was chosen. */
  public int service() {
    return service;
  }
}
