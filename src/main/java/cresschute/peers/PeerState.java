package cresschute.peers;

import java.util.Locale;

/** What is known of another dispatcher; {@link PeerTable} says how it changes. */
public enum PeerState {
    /** Sends, but was not received for a whole cycle yet: numbers may be missing. */
    JOINING,
    /** All of its open numbers are known, some while old. */
    ALIVE,
    /** No message for a short while: its last numbers stay. */
    SUSPECT,
    /** Stopped, or no message for long: its numbers are dropped. */
    ABSENT,
    /** Its numbers exceeded what workers report: nothing is concluded from them for a while. */
    DISTRUSTED;

    /** The word in logs. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
