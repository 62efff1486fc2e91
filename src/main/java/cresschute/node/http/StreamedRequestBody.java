package cresschute.node.http;

import cresschute.flow.BufferBudget;
import cresschute.node.RequestBody;
import cresschute.settings.ApplianceSettings.ClassBodies;

/**
 * A request's body on its way from its client's connection to its attempts. The first bytes of it,
 * up to the spool's size, are kept for a further attempt. Closed by the {@link PendingResponse} of
 * its request. Call from the event loop.
 */
final class StreamedRequestBody extends StreamedBody implements RequestBody {

    /** The length of a body whose head states none. */
    static final long UNKNOWN_LENGTH = -1;

    private final long spoolBytes;
    private final long length;
    private final Runnable onCapacity;

    /**
     * A body of which nothing is read.
     *
     * @param spoolBytes what is kept for a further attempt
     * @param length bytes that the head states, or {@link #UNKNOWN_LENGTH}
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

    /** Bytes that its client's head states, or {@link #UNKNOWN_LENGTH}. */
    long length() {
        return length;
    }

    @Override
    void capacityFreed() {
        onCapacity.run();
    }

    /** Whether more was read than is kept, so that there is no use in waiting for the end. */
    boolean isBeyondSpool() {
        return readCost() > spoolBytes;
    }
}
