package cresschute.testbed.model;

import java.util.List;

/** Requests of one tenant that arrived in one instant, as they fared. */
public final class Gang {

    private final List<FleetModel.ClientRequest> members;

    Gang(List<FleetModel.ClientRequest> members) {
        this.members = List.copyOf(members);
    }

    /** How many requests it has. */
    public int size() {
        return members.size();
    }

    /** How many of them a worker began to run within this time of their arrival. */
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
