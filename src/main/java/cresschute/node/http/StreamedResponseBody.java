package cresschute.node.http;

import cresschute.flow.BufferBudget;
import cresschute.node.ResultStream;
import cresschute.settings.ApplianceSettings.ClassBodies;
import io.netty.buffer.ByteBufAllocator;

/**
 * A streamed result on its way from an attempt to its request's client. Its window of the budget is
 * reserved when the request is submitted, so that a job that has run is never lost for want of
 * capacity.
 *
 * <p>Opened with its request, begun by the attempt that brings the first byte, ended by {@link
 * #finish}, closed by {@link #drop}. Call from the event loop.
 */
final class StreamedResponseBody extends StreamedBody implements ResultStream {

    /** The length of a result of which the worker states none. */
    static final long UNKNOWN_LENGTH = -1;

    /** The attempt that the result comes from. */
    interface Source {

        /** There may be capacity for another read. */
        void resumeReading();

        /** The worker sends less than the least rate. */
        void sourceTooSlow();
    }

    private final ByteBufAllocator allocator;
    private String type;
    private long statedLength = UNKNOWN_LENGTH;
    private Source source;

    /** A result that has not begun. */
    StreamedResponseBody(
            StreamedBodies owner,
            BufferBudget.Reservation reservation,
            ClassBodies limits,
            ByteBufAllocator allocator) {
        super(owner, reservation, limits, 0);
        this.allocator = allocator;
    }

    /**
     * Its first byte is about to come.
     *
     * @param contentType as the worker states it, or null
     * @param length bytes that the worker states, or {@link #UNKNOWN_LENGTH}
     */
    void begin(String contentType, long length) {
        type = contentType;
        statedLength = length;
        owner().add(this);
    }

    /** The attempt that it comes from; notified until the result is finished or dropped. */
    void setSource(Source attempt) {
        source = attempt;
    }

    /** The content type that the worker states, or null. */
    String type() {
        return type;
    }

    /** Bytes that the worker states, or {@link #UNKNOWN_LENGTH}. */
    long statedLength() {
        return statedLength;
    }

    boolean hasStatedLength() {
        return statedLength != UNKNOWN_LENGTH;
    }

    /** Whether as many bytes were read as were stated. */
    boolean matchesStatedLength() {
        return !hasStatedLength() || bytesRead() == statedLength;
    }

    @Override
    void capacityFreed() {
        if (source != null) {
            source.resumeReading();
        }
    }

    /** Notifies a source that sends too little; called by the sweep. */
    void checkSourceRate() {
        if (source != null && isSenderTooSlow()) {
            source.sourceTooSlow();
        }
    }

    @Override
    public void finish(boolean complete) {
        owner().remove(this);
        source = null;
        if (complete) {
            complete(allocator);
        } else {
            abort();
        }
    }

    /** It is written, or not needed any more. */
    void drop() {
        owner().remove(this);
        source = null;
        retire();
    }
}
