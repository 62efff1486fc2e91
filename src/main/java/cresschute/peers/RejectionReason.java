package cresschute.peers;

/** Why a datagram or message is rejected. */
public enum RejectionReason {

    /** Shorter than a message without entries. */
    TOO_SHORT("too_short"),
    /** Longer than a message may be. */
    TOO_LONG("too_long"),
    /** Of another version of the protocol. */
    OTHER_VERSION("other_version"),
    /** Its authentication code does not match: forged, damaged, or made with another key. */
    NOT_AUTHENTIC("not_authentic"),
    /** Authentic, but not in the format of a message. */
    MALFORMED("malformed"),
    /** Under this dispatcher's own name: two have the same one, or an own datagram came back. */
    OWN_NAME("own_name"),
    /** There are more senders than peers. */
    TOO_MANY_SENDERS("too_many_senders"),
    /** Of an incarnation before the newest one received. */
    OLD_INCARNATION("old_incarnation"),
    /** Not newer than the newest message received: a duplicate, reordered or replayed. */
    OLD_SEQUENCE("old_sequence"),
    /** Its sender would state more workers than an endpoint list can hold. */
    TOO_MANY_ENTRIES("too_many_entries");

    private final String word;

    RejectionReason(String word) {
        this.word = word;
    }

    /** The word for it in logs. */
    public String word() {
        return word;
    }
}
