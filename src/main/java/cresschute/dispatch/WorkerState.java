package cresschute.dispatch;

/** State of a worker in the endpoint list. */
public enum WorkerState {
    /** The worker takes new attempts. */
    READY("ready"),
    /** The worker finishes its attempts in flight and takes no new ones. */
    DRAINING("draining"),
    /** The worker does not run. */
    GONE("gone");

    private final String wireName;

    WorkerState(String wireName) {
        this.wireName = wireName;
    }

    /** The name of the state in rows sent to consoles. */
    public String wireName() {
        return wireName;
    }
}
