package cresschute.peers;

/** A datagram or message that changes nothing, with the reason. */
public final class RefusedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    private final Refusal refusal;

    /** Without a stack trace, since the network decides how many there are. */
    public RefusedMessageException(Refusal refusal) {
        super(refusal.word(), null, false, false);
        this.refusal = refusal;
    }

    /** The reason. */
    public Refusal refusal() {
        return refusal;
    }
}
