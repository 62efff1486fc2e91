package cresschute.node.http;

import cresschute.flow.BufferBudget;
import cresschute.flow.BufferBudget.Admission;
import cresschute.flow.BufferBudget.Reservation;
import cresschute.node.PeerFault;
import cresschute.node.RequestLifecycle;
import cresschute.settings.ApplianceSettings.Bodies;
import cresschute.settings.ApplianceSettings.ClassBodies;
import io.netty.buffer.ByteBufAllocator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The long bodies of a node: the budget that they share, and what watches their pace. On the loop.
 */
final class StreamedBodies {

    /**
     * With 40 bodies that stand still, each holds two to three windows, and there is room for 130
     * more.
     */
    private static final long LEND_SHARE = 64;

    private final Bodies settings;
    private final BufferBudget budget;
    private final long longest;
    private final RequestLifecycle core;
    private final Set<BodyTransfer> pumps = new LinkedHashSet<>();
    private final Set<StreamedResponseBody> results = new LinkedHashSet<>();

    StreamedBodies(Bodies settings, RequestLifecycle core) {
        this.settings = settings;
        this.core = core;
        this.budget =
                new BufferBudget(
                        settings.budget(),
                        settings.window(),
                        settings.lent(),
                        LEND_SHARE,
                        settings.ofAClient());
        this.longest = settings.classes().stream().mapToLong(ClassBodies::longest).max().orElse(0);
    }

    ClassBodies of(int requestClass) {
        return settings.classes().get(requestClass);
    }

    /** The longest that any class allows, bytes. */
    long longest() {
        return longest;
    }

    /**
     * Opens a body, or returns null where there is no room for its window.
     *
     * @param client the address that its client comes from
     * @param length what its head says, or -1
     * @param room told when more of it can be read than before
     */
    StreamedRequestBody open(String client, int requestClass, long length, Runnable room) {
        final Reservation account = open(client, room);
        return account == null
                ? null
                : new StreamedRequestBody(
                        this, account, of(requestClass), settings.spool(), length, room);
    }

    /** Opens the room for a result, or returns null where there is none. */
    StreamedResponseBody openResult(String client, int requestClass, ByteBufAllocator allocator) {
        final Waker waker = new Waker();
        final Reservation account = open(client, waker);
        waker.result =
                account == null
                        ? null
                        : new StreamedResponseBody(this, account, of(requestClass), allocator);
        return waker.result;
    }

    /** An account tells of room from the start on, and a result needs its account to begin with. */
    private static final class Waker implements Runnable {
        private StreamedResponseBody result;

        @Override
        public void run() {
            result.hasRoomAgain();
        }
    }

    private Reservation open(String client, Runnable room) {
        final Admission admission = budget.reserve(client, room);
        if (admission.reservation() == null) {
            core.faults()
                    .fault(
                            PeerFault.BODY_CAPACITY_EXCEEDED,
                            client,
                            switch (admission.rejection()) {
                                case BUDGET_EXHAUSTED ->
                                        "the budget of " + settings.budget() + " bytes is in use";
                                case CLIENT_LIMIT_REACHED ->
                                        "its bodies own " + settings.ofAClient() + " bytes already";
                            });
        }
        return admission.reservation();
    }

    /** Bytes in use of the budget. */
    long inUse() {
        return budget.inUse();
    }

    void add(BodyTransfer pump) {
        pumps.add(pump);
    }

    void remove(BodyTransfer pump) {
        pumps.remove(pump);
    }

    void add(StreamedResponseBody result) {
        results.add(result);
    }

    void remove(StreamedResponseBody result) {
        results.remove(result);
    }

    /** Gives up what goes too slowly: peers that take too little, workers that make too little. */
    void sweep() {
        List.copyOf(pumps).forEach(BodyTransfer::judge);
        List.copyOf(results).forEach(StreamedResponseBody::judge);
    }

    void tooSlow(String who, String what) {
        core.faults().fault(PeerFault.BODY_TOO_SLOW, who, what);
    }
}
