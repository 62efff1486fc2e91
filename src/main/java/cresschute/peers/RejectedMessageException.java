package cresschute.peers;

/** A datagram or message was rejected and changes nothing. */
public final class RejectedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    private final RejectionReason reason;

    /** Creates it without a stack trace: the network decides how many there are. */
    public RejectedMessageException(RejectionReason reason) {
        super(reason.word(), null, false, false);
        this.reason = reason;
    }

    /** Why it was rejected. */
    public RejectionReason reason() {
        return reason;
    }
}
