package cresschute.node.http;

import cresschute.flow.BufferBudget;
import cresschute.node.ResultStream;
import cresschute.settings.NodeSettings.ClassBodies;
import io.netty.buffer.ByteBufAllocator;

/**
 * A streamed result in transit from an attempt to the client of its request. Its window of the
 * budget is reserved when the request is submitted, so that the result of a job that has run is
 * never lost for lack of capacity.
 *
 * <p>Life cycle: opened with its request, begun by the attempt that receives the first byte, ended
 * by {@link #finish}, closed by {@link #drop}. Call from the event loop.
 */
final class StreamedResponseBody extends StreamedBody implements ResultStream {

    /** The length of a result if the worker states none. */
    static final long UNKNOWN_LENGTH = -1;

    /** The attempt that receives the result. */
    interface Source {

        /** Called when there may be capacity for another read. */
        void resumeReading();

        /** Called when the worker sends below the minimum rate. */
        void sourceTooSlow();
    }

    private final ByteBufAllocator allocator;
    private String type;
    private long statedLength = UNKNOWN_LENGTH;
    private Source source;

    /** Creates a result that has not begun. */
    StreamedResponseBody(
            StreamedBodies owner,
            BufferBudget.Reservation reservation,
            ClassBodies limits,
            ByteBufAllocator allocator) {
        super(owner, reservation, limits, 0);
        this.allocator = allocator;
    }

    /**
     * Begins the result; called before its first byte.
     *
     * @param contentType content type stated by the worker, or null
     * @param length length stated by the worker, bytes, or {@link #UNKNOWN_LENGTH}
     */
    void begin(String contentType, long length) {
        type = contentType;
        statedLength = length;
        owner().add(this);
    }

    /** Sets the attempt that is notified until the result is finished or dropped. */
    void setSource(Source attempt) {
        source = attempt;
    }

    /** Content type stated by the worker, or null. */
    String type() {
        return type;
    }

    /** Length stated by the worker, bytes, or {@link #UNKNOWN_LENGTH}. */
    long statedLength() {
        return statedLength;
    }

    boolean hasStatedLength() {
        return statedLength != UNKNOWN_LENGTH;
    }

    /** Whether the stated number of bytes was read, or none is stated. */
    boolean matchesStatedLength() {
        return !hasStatedLength() || bytesRead() == statedLength;
    }

    @Override
    void capacityFreed() {
        if (source != null) {
            source.resumeReading();
        }
    }

    /** Notifies the source if its worker sends too slowly; called by the sweep. */
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

    /** Releases the result after it was written, or if it is no longer needed. */
    void drop() {
        owner().remove(this);
        source = null;
        retire();
    }
}
