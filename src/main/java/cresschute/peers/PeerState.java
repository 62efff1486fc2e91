package cresschute.peers;

/** The state of a peer; {@link PeerTable} says how it changes. */
public enum PeerState {
    /** It sends messages, but no complete cycle was received yet: counts may be missing. */
    JOINING("joining"),
    /** All of its counts are known, although some may be out of date. */
    ALIVE("alive"),
    /** No message was received for a short time; its last counts are kept. */
    SUSPECT("suspect"),
    /** It stopped, or no message was received for a long time; its counts are dropped. */
    ABSENT("absent"),
    /** Its counts exceeded the workers' load reports: they are not used for some time. */
    DISTRUSTED("distrusted");

    private final String word;

    PeerState(String word) {
        this.word = word;
    }

    /** The name of the state in logs. */
    public String word() {
        return word;
    }
}
