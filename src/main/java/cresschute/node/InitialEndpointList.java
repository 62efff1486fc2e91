package cresschute.node;

import cresschute.dispatch.EndpointListForm;
import java.util.concurrent.CompletableFuture;

/**
 * Publishes the last known endpoint list at the start of the process.
 *
 * <p>A pushed list counts as notified from the first moment of the process, whatever the last known
 * list says. It is therefore held back until discovery first answers, so that both are published in
 * the same turn, but for at most {@value #MAX_HOLD_US} us.
 *
 * <p>Owns the held list. Lives as long as the node; call from the event loop unless stated
 * otherwise.
 */
final class InitialEndpointList {

    /** How long the list is held back if discovery does not answer, us. */
    static final long MAX_HOLD_US = 2_000_000;

    private final LoopContext context;
    private final EndpointListPublisher endpoints;
    private final CompletableFuture<Void> published = new CompletableFuture<>();

    /** The list that is held back, or null. */
    private EndpointList held;

    /** Creates a publisher that has no list yet. */
    InitialEndpointList(LoopContext context, EndpointListPublisher endpoints) {
        this.context = context;
        this.endpoints = endpoints;
    }

    /** Publishes the last known list now. */
    void publish(EndpointList known) {
        endpoints.publish(EndpointListForm.CACHED, known);
        published.complete(null);
    }

    /** Holds the last known list back, until {@link #release} or the longest time. */
    void hold(EndpointList known) {
        held = known;
        context.schedule(MAX_HOLD_US, this::release);
    }

    /** Publishes the list if it is held back. */
    void release() {
        if (held != null) {
            final EndpointList known = held;
            held = null;
            publish(known);
        }
    }

    /**
     * Returns the version of the list that is held back.
     *
     * @param otherwise what to return if no list is held back
     */
    long heldVersion(long otherwise) {
        return held == null ? otherwise : held.version();
    }

    /** Completed once the list is published. Any thread. */
    CompletableFuture<Void> published() {
        return published;
    }
}
