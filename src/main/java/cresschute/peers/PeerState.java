package cresschute.peers;

/** The state of a peer; {@link PeerTable} says how it changes. */
public enum PeerState {
    /** It sends, but no complete cycle was received yet: counts may be missing. */
    JOINING("joining"),
    /** All of its counts are known, some of them old. */
    ALIVE("alive"),
    /** No message came for a short while; its last counts stay. */
    SUSPECT("suspect"),
    /** It stopped, or no message came for long; its counts are dropped. */
    ABSENT("absent"),
    /** Its counts exceeded what workers report: they are not used for a while. */
    DISTRUSTED("distrusted");

    private final String word;

    PeerState(String word) {
        this.word = word;
    }

    /** The word for it in logs. */
    public String word() {
        return word;
    }
}
