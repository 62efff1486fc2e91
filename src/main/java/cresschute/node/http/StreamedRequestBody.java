package cresschute.node.http;

import cresschute.flow.BufferBudget;
import cresschute.node.RequestBody;
import cresschute.settings.NodeSettings.ClassBodies;

/**
 * The body of a request, in transit from the client's connection to the attempts. It is kept for
 * further attempts up to the size of the spool. Closed by the {@link PendingResponse} of its
 * request. Call from the event loop.
 */
final class StreamedRequestBody extends StreamedBody implements RequestBody {

    /** The length of a body if the request's head states none. */
    static final long UNKNOWN_LENGTH = -1;

    private final long spoolBytes;
    private final long length;
    private final Runnable onCapacity;

    /**
     * Creates a body of which nothing was read.
     *
     * @param spoolBytes cost up to which the body is kept for further attempts, bytes
     * @param length length stated in the head, bytes, or {@link #UNKNOWN_LENGTH}
     * @param onCapacity called when there may be capacity for another read
     */
    StreamedRequestBody(
            StreamedBodies owner,
            BufferBudget.Reservation reservation,
            ClassBodies limits,
            long spoolBytes,
            long length,
            Runnable onCapacity) {
        super(owner, reservation, limits, spoolBytes);
        this.length = length;
        this.spoolBytes = spoolBytes;
        this.onCapacity = onCapacity;
    }

    /** Length stated in the request's head, bytes, or {@link #UNKNOWN_LENGTH}. */
    long length() {
        return length;
    }

    @Override
    void capacityFreed() {
        onCapacity.run();
    }

    /**
     * Whether more was read than the spool keeps for further attempts, so that waiting for the end
     * of the body before the first attempt would not allow a second one.
     */
    boolean isBeyondSpool() {
        return readCost() > spoolBytes;
    }
}
