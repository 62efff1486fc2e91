package cresschute.node.http;

import cresschute.flow.BufferBudget;
import cresschute.flow.BufferBudget.Admission;
import cresschute.flow.BufferBudget.Reservation;
import cresschute.flow.BufferLimits;
import cresschute.node.PeerFault;
import cresschute.node.RequestLifecycle;
import cresschute.settings.NodeSettings.Bodies;
import cresschute.settings.NodeSettings.ClassBodies;
import io.netty.buffer.ByteBufAllocator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The streamed bodies of a node: their shared memory budget, and the periodic sweep that ends the
 * transfers whose sender or receiver is too slow. Bodies add and remove themselves, and each closes
 * its own reservation of the budget. Call from the event loop.
 */
final class StreamedBodies {

    /**
     * A body may borrow at most the free bytes divided by this. A stalled body then holds two to
     * three windows, which leaves space to open many more.
     */
    private static final long BORROW_DIVISOR = 64;

    private final Bodies settings;
    private final BufferBudget budget;
    private final long maxBytes;
    private final RequestLifecycle lifecycle;
    private final Set<BodyTransfer> transfers = new LinkedHashSet<>();
    private final Set<StreamedResponseBody> results = new LinkedHashSet<>();

    /** Creates an empty budget of the size in the settings. */
    StreamedBodies(Bodies settings, RequestLifecycle lifecycle) {
        this.settings = settings;
        this.lifecycle = lifecycle;
        this.budget =
                new BufferBudget(
                        new BufferLimits(
                                settings.budgetBytes(),
                                settings.windowBytes(),
                                settings.maxLentBytes(),
                                BORROW_DIVISOR,
                                settings.maxPerClientBytes()));
        this.maxBytes =
                settings.classes().stream().mapToLong(ClassBodies::maxBodyBytes).max().orElse(0);
    }

    /** The limits of a class. */
    ClassBodies limits(int requestClass) {
        return settings.classes().get(requestClass);
    }

    /** The longest body that any class allows, bytes. */
    long maxBytes() {
        return maxBytes;
    }

    /**
     * Opens a request's body.
     *
     * @param client address of the client's host
     * @param length length stated in the head, bytes, or {@link StreamedRequestBody#UNKNOWN_LENGTH}
     * @param onCapacity called when there is capacity to read more of it
     * @return null where the budget has no window for it; that is logged
     */
    StreamedRequestBody openRequestBody(
            String client, int requestClass, long length, Runnable onCapacity) {
        final Reservation reservation = reserve(client, onCapacity);
        return reservation == null
                ? null
                : new StreamedRequestBody(
                        this,
                        reservation,
                        limits(requestClass),
                        settings.maxSpoolBytes(),
                        length,
                        onCapacity);
    }

    /**
     * Opens a result that has not begun.
     *
     * @param client address of the host of the request's client
     * @return null where the budget has no window for it; that is logged
     */
    StreamedResponseBody openResponseBody(
            String client, int requestClass, ByteBufAllocator allocator) {
        final CapacityCallback callback = new CapacityCallback();
        final Reservation reservation = reserve(client, callback);
        callback.result =
                reservation == null
                        ? null
                        : new StreamedResponseBody(
                                this, reservation, limits(requestClass), allocator);
        return callback.result;
    }

    /**
     * Forwards the callbacks of a reservation to its result, which can be created only after the
     * reservation.
     */
    private static final class CapacityCallback implements Runnable {
        private StreamedResponseBody result;

        @Override
        public void run() {
            result.capacityFreed();
        }
    }

    private Reservation reserve(String client, Runnable onCapacity) {
        final Admission admission = budget.reserve(client, onCapacity);
        if (admission.rejection().isPresent()) {
            lifecycle
                    .faults()
                    .fault(
                            PeerFault.BODY_CAPACITY_EXCEEDED,
                            client,
                            switch (admission.rejection().get()) {
                                case BUDGET_EXHAUSTED ->
                                        "the budget of "
                                                + settings.budgetBytes()
                                                + " bytes is in use";
                                case CLIENT_LIMIT_REACHED ->
                                        "the bodies of this client would own more than "
                                                + settings.maxPerClientBytes()
                                                + " bytes, the limit per client";
                            });
        }
        return admission.reservation().orElse(null);
    }

    /** Bytes of the budget in use. */
    long inUseBytes() {
        return budget.inUse();
    }

    void add(BodyTransfer transfer) {
        transfers.add(transfer);
    }

    void remove(BodyTransfer transfer) {
        transfers.remove(transfer);
    }

    void add(StreamedResponseBody result) {
        results.add(result);
    }

    void remove(StreamedResponseBody result) {
        results.remove(result);
    }

    /**
     * Ends the transfers to peers that receive too slowly, and results that workers send too
     * slowly.
     */
    void sweep() {
        List.copyOf(transfers).forEach(BodyTransfer::checkPeerRate);
        List.copyOf(results).forEach(StreamedResponseBody::checkSourceRate);
    }

    /**
     * Logs that a sender or receiver of a body was too slow.
     *
     * @param peer its address
     */
    void reportTooSlow(String peer, String detail) {
        lifecycle.faults().fault(PeerFault.BODY_TOO_SLOW, peer, detail);
    }
}
