package cresschute.node;

/** The kinds of events that consoles are shown. */
enum OperatorEventKind {
    /** An operator's drain began. */
    DRAINED("drained"),
    /** An operator ended a drain. */
    UNDRAINED("undrained"),
    /** A drain ended by itself. */
    DRAIN_ENDED("drain_over"),
    /** The endpoint list changed the state of a worker. */
    ENDPOINT_CHANGED("listed"),
    /** The condition of a worker changed. */
    CONDITION_CHANGED("condition"),
    /** The node began its shutdown. */
    NODE_STOPPING("node_stopping");

    private final String wireName;

    OperatorEventKind(String wireName) {
        this.wireName = wireName;
    }

    /** The word in a line to consoles and in the log. */
    String wireName() {
        return wireName;
    }
}
