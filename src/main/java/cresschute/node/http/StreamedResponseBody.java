package cresschute.node.http;

import cresschute.flow.BufferBudget;
import cresschute.node.ResultStream;
import cresschute.settings.ApplianceSettings.ClassBodies;
import io.netty.buffer.ByteBufAllocator;

/**
 * A long result on its way from its attempt to the connection of its request's client. Its room is
 * owned from the time when the request is taken: a job that has run is never lost for want of it.
 * On the loop.
 */
final class StreamedResponseBody extends StreamedBody implements ResultStream {

    /** Who makes it. */
    interface Source {

        /** There may be room for another read. */
        void readOn();

        /** The worker makes too little of it. */
        void makesTooLittle();
    }

    private final ByteBufAllocator allocator;
    private String type;
    private long stated = -1;
    private Source source;

    StreamedResponseBody(
            StreamedBodies owner,
            BufferBudget.Reservation account,
            ClassBodies limits,
            ByteBufAllocator allocator) {
        super(owner, account, limits, 0);
        this.allocator = allocator;
    }

    /** Its first byte is about to come. */
    void begin(String contentType, long length) {
        type = contentType;
        stated = length;
        owner.add(this);
    }

    void from(Source maker) {
        source = maker;
    }

    /** What the worker calls its content, or null. */
    String type() {
        return type;
    }

    /** Bytes that the worker tells, or -1. */
    long stated() {
        return stated;
    }

    /** Whether all has come that was told. */
    boolean isAsLongAsStated() {
        return stated < 0 || bytes() == stated;
    }

    @Override
    void hasRoomAgain() {
        if (source != null) {
            source.readOn();
        }
    }

    void judge() {
        if (source != null && isSenderTooSlow()) {
            source.makesTooLittle();
        }
    }

    @Override
    public void finish(boolean isWhole) {
        owner.remove(this);
        source = null;
        if (isWhole) {
            whole(allocator);
        } else {
            broken();
        }
    }

    /** Nobody wants it, or it is out. */
    void drop() {
        owner.remove(this);
        source = null;
        retire();
    }
}
