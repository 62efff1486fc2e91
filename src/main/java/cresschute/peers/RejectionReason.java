package cresschute.peers;

import java.util.Locale;

/** Why a datagram or message changes nothing. */
public enum RejectionReason {

    /** Shorter than a message without entries. */
    TOO_SHORT,
    /** Longer than a message may be. */
    TOO_LONG,
    /** Of another version of the protocol. */
    OTHER_VERSION,
    /** Its code does not fit its bytes and the key: forged, damaged, or made with another key. */
    NOT_AUTHENTIC,
    /** Authentic, but its bytes do not follow the format. */
    MALFORMED,
    /**
     * Under this dispatcher's own name: two dispatchers share one, or an own datagram came back.
     */
    OWN_NAME,
    /** From more senders than there are peers. */
    TOO_MANY_SENDERS,
    /** Of a run of the sender before the newest one received. */
    OLD_INCARNATION,
    /** Not newer than the newest message received: a duplicate, overtaken or replayed. */
    OLD_SEQUENCE,
    /** Its sender would state more workers than a list can hold. */
    TOO_MANY_ENTRIES;

    /** The word in logs. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
