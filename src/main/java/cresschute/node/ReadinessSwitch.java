package cresschute.node;

/**
 * A front as operators see it: whether it says that it is ready, and their drain of it. All calls
 * are on the loop.
 */
public interface ReadinessSwitch {

    /** Whether the process serves: started, a worker known, not stopping and not drained. */
    boolean isReady();

    /** Why it is not, in a few words. */
    String whyNotReady();

    /**
     * Says no to whoever asks whether it is ready from now on, and lets the clients' connections
     * go.
     */
    void drain();

    /** Says yes again and keeps connections as before. */
    void resume();
}
