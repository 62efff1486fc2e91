package cresschute.peers;

/** Why a datagram or message is rejected. */
public enum RejectionReason {

    /** Shorter than a message without entries. */
    TOO_SHORT("too_short"),
    /** Longer than a message may be. */
    TOO_LONG("too_long"),
    /** It has another version of the protocol. */
    OTHER_VERSION("other_version"),
    /** Its authentication code does not match: forged, damaged, or made with another key. */
    NOT_AUTHENTIC("not_authentic"),
    /** Authentic, but not in the format of a message. */
    MALFORMED("malformed"),
    /**
     * Its sender has this dispatcher's own name: two dispatchers share the name, or an own datagram
     * was returned.
     */
    OWN_NAME("own_name"),
    /** There are more senders than peers. */
    TOO_MANY_SENDERS("too_many_senders"),
    /** It belongs to an incarnation older than the newest one received. */
    OLD_INCARNATION("old_incarnation"),
    /**
     * It is not newer than the newest message received: a duplicate, reordered or replayed message.
     */
    OLD_SEQUENCE("old_sequence"),
    /** With it, its sender would have counts for more workers than an endpoint list can contain. */
    TOO_MANY_ENTRIES("too_many_entries");

    private final String word;

    RejectionReason(String word) {
        this.word = word;
    }

    /** The name of the reason in logs. */
    public String word() {
        return word;
    }
}
