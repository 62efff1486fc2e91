package cresschute.node;

/**
 * Lets the {@link ManagementService} read and change the readiness of the node; the client listener
 * implements it. Its state lives as long as the process. All methods are called on the event loop,
 * except a {@link #drain} restored at the start, which is called on the thread that starts the
 * node.
 */
public interface ReadinessSwitch {

    /**
     * Whether the node is ready: it is started, knows a worker, and is neither stopping nor
     * drained.
     */
    boolean isReady();

    /** A short reason why the node is not ready. */
    String whyNotReady();

    /** Makes the node not ready, and closes client connections gracefully. */
    void drain();

    /** Ends the drain: makes the node ready, and keeps client connections open again. */
    void resume();
}
