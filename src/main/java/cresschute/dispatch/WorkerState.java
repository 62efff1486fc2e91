package cresschute.dispatch;

/** The state of a worker in the endpoint list. */
public enum WorkerState {
    /** It takes new attempts. */
    READY("ready"),
    /** It finishes its attempts in flight and takes no new ones. */
    DRAINING("draining"),
    /** It does not run. */
    GONE("gone");

    private final String wireName;

    WorkerState(String wireName) {
        this.wireName = wireName;
    }

    /** The word in a row that consoles are shown. */
    public String wireName() {
        return wireName;
    }
}
