package cresschute.peers;

/** A datagram or message that changes nothing, with the reason. */
public final class RejectedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    private final RejectionReason refusal;

    /** Without a stack trace, since the network decides how many there are. */
    public RejectedMessageException(RejectionReason refusal) {
        super(refusal.word(), null, false, false);
        this.refusal = refusal;
    }

    /** The reason. */
    public RejectionReason refusal() {
        return refusal;
    }
}
