package cresschute.peers;

/** A datagram or message that changes nothing, with the reason. */
public final class RejectedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    private final RejectionReason reason;

    /** Without a stack trace, since the network decides how many there are. */
    public RejectedMessageException(RejectionReason refusal) {
        super(refusal.word(), null, false, false);
        this.reason = refusal;
    }

    /** The reason. */
    public RejectionReason reason() {
        return reason;
    }
}
