package cresschute.node.http;

import cresschute.flow.BufferBudget;
import cresschute.node.RequestBody;
import cresschute.settings.ApplianceSettings.ClassBodies;

/** A request's long body on its way from its client's connection to its attempts. On the loop. */
final class StreamedRequestBody extends StreamedBody implements RequestBody {

    private final long spool;
    private final long length;
    private final Runnable room;

    StreamedRequestBody(
            StreamedBodies owner,
            BufferBudget.Reservation account,
            ClassBodies limits,
            long spool,
            long length,
            Runnable room) {
        super(owner, account, limits, spool);
        this.length = length;
        this.spool = spool;
        this.room = room;
    }

    /** Bytes that its client's head tells, or -1. */
    long length() {
        return length;
    }

    @Override
    void hasRoomAgain() {
        room.run();
    }

    /** Whether more has come than is kept, so that there is no use in waiting for the rest. */
    boolean isBeyondSpool() {
        return read() > spool;
    }
}
