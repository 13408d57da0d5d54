package weldpoint.jack;

import java.util.List;
import java.util.Set;
import weldpoint.cord.Cords;
import weldpoint.dialplan.Dialplan;
import weldpoint.trunk.TrialMessages.Trial;

/** What the control thread hands to the traffic thread; parts that did not change are null. */
record Outlook(
    Dialplan plan,
    List<Cords.Change> changes,
    Set<String> evacuated,
    Set<String> suspects,
    int switchboards,
    List<Trial> trials,
    long trialMark) {}
