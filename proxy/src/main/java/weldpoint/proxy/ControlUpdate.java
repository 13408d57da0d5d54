package weldpoint.proxy;

import java.util.List;
import java.util.Set;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.TrialMessages.Trial;
import weldpoint.upstream.UpstreamPool;

/** What the control thread hands to the traffic thread; parts that did not change are null. */
record ControlUpdate(
    RoutingTable routingTable,
    List<UpstreamPool.Change> changes,
    Set<String> evacuated,
    Set<String> suspects,
    int switchboards,
    List<Trial> trials,
    long trialMark) {}
