package cresschute.dispatch;

/** The state of a worker in the endpoint list. */
public enum WorkerState {
    READY("ready"),
    DRAINING("draining"),
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
