package cresschute.testbed.model;

import java.util.List;

/** The requests of one tenant that arrived at the same time, with their results. */
public final class Gang {

    private final List<FleetModel.ClientRequest> members;

    Gang(List<FleetModel.ClientRequest> members) {
        this.members = List.copyOf(members);
    }

    /** The number of requests in the gang. */
    public int size() {
        return members.size();
    }

    /** The number of requests that a worker started within this time of their arrival, us. */
    public int startedWithin(long us) {
        return (int)
                members.stream()
                        .filter(
                                member ->
                                        member.startedUs >= 0
                                                && member.startedUs - member.atUs <= us)
                        .count();
    }
}
