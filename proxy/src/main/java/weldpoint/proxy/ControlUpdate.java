package weldpoint.proxy;

import java.util.List;
import java.util.Set;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.TrialMessages.Trial;
import weldpoint.upstream.UpstreamPool;

/**
 * An update from the control thread to the traffic thread; parts that did not change are null, and
 * a proxy count of 0 means that it is unknown.
 */
record ControlUpdate(
    RoutingTable routingTable,
    List<UpstreamPool.Change> changes,
    Set<String> evacuated,
    Set<String> suspects,
    int proxyCount,
    List<Trial> trials,
    long trialVersion) {}
