package cresschute.node;

/** The kinds of events that consoles show. */
enum OperatorEventKind {
    /** An operator's drain began. */
    DRAINED("drained"),
    /** An operator ended a drain. */
    UNDRAINED("undrained"),
    /** A drain expired. */
    DRAIN_ENDED("drain_over"),
    /** The endpoint list changed the state of a worker. */
    ENDPOINT_CHANGED("listed"),
    /** The condition of a worker changed. */
    CONDITION_CHANGED("condition"),
    /** The shutdown of the node began. */
    NODE_STOPPING("node_stopping");

    private final String wireName;

    OperatorEventKind(String wireName) {
        this.wireName = wireName;
    }

    /** The name of the kind in the console protocol and in the log. */
    String wireName() {
        return wireName;
    }
}
