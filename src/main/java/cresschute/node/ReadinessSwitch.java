package cresschute.node;

/**
 * The readiness of the node as the {@link ManagementService} reads and changes it; the client
 * listener implements it. Its state lives as long as the process. All calls are on the loop, save a
 * {@link #drain} that the start takes up, which is called on the thread that starts the node.
 */
public interface ReadinessSwitch {

    /** Whether the node is ready: started, a worker known, not stopping and not drained. */
    boolean isReady();

    /** Why the node is not ready, in a few words. */
    String whyNotReady();

    /** Makes the node not ready from now on, and closes the clients' connections gracefully. */
    void drain();

    /** Ends the drain: the node is ready, and connections stay open as before. */
    void resume();
}
