package cresschute.node.http;

import cresschute.flow.BufferBudget;
import cresschute.flow.BufferBudget.Admission;
import cresschute.flow.BufferBudget.Reservation;
import cresschute.flow.BufferLimits;
import cresschute.node.PeerFault;
import cresschute.node.RequestLifecycle;
import cresschute.settings.ApplianceSettings.Bodies;
import cresschute.settings.ApplianceSettings.ClassBodies;
import io.netty.buffer.ByteBufAllocator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The streamed bodies of a node: the budget of memory that they take from, and the sweep that gives
 * up those whose sender or receiver is too slow. Bodies add and remove themselves; each closes its
 * own account. Call from the event loop.
 */
final class StreamedBodies {

    /**
     * A body is lent no more than what is free over this: of bodies that stand still each then
     * holds two to three windows, and many more can be opened.
     */
    private static final long BORROW_DIVISOR = 64;

    private final Bodies settings;
    private final BufferBudget budget;
    private final long maxBytes;
    private final RequestLifecycle lifecycle;
    private final Set<BodyTransfer> transfers = new LinkedHashSet<>();
    private final Set<StreamedResponseBody> results = new LinkedHashSet<>();

    /** An empty budget of the size that the settings state. */
    StreamedBodies(Bodies settings, RequestLifecycle lifecycle) {
        this.settings = settings;
        this.lifecycle = lifecycle;
        this.budget =
                new BufferBudget(
                        new BufferLimits(
                                settings.budget(),
                                settings.window(),
                                settings.lent(),
                                BORROW_DIVISOR,
                                settings.maxPerClientBytes()));
        this.maxBytes = settings.classes().stream().mapToLong(ClassBodies::longest).max().orElse(0);
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
     * @param client the address of its client's host
     * @param length bytes that the head states, or {@link StreamedRequestBody#UNKNOWN_LENGTH}
     * @param onCapacity called when more of it can be read than before
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
                        settings.spool(),
                        length,
                        onCapacity);
    }

    /**
     * Opens a result, of which nothing is there yet.
     *
     * @param client the address of the host of its request's client
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
     * Passes a reservation's notices on to its result, which can be made only after the
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
                                        "the budget of " + settings.budget() + " bytes is in use";
                                case CLIENT_LIMIT_REACHED ->
                                        "its bodies own "
                                                + settings.maxPerClientBytes()
                                                + " bytes already";
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

    /** Gives up peers that take too little, and workers that send too little of a result. */
    void sweep() {
        List.copyOf(transfers).forEach(BodyTransfer::checkPeerRate);
        List.copyOf(results).forEach(StreamedResponseBody::checkSourceRate);
    }

    /**
     * Logs that a side of a body was too slow.
     *
     * @param peer its address
     */
    void reportTooSlow(String peer, String detail) {
        lifecycle.faults().fault(PeerFault.BODY_TOO_SLOW, peer, detail);
    }
}
