package cresschute.peers;

/** A datagram or message was rejected and changes nothing. */
public final class RejectedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    private final RejectionReason reason;

    /**
     * Creates an exception without a stack trace, because the network can cause any number of them.
     */
    public RejectedMessageException(RejectionReason reason) {
        super(reason.word(), null, false, false);
        this.reason = reason;
    }

    /** The reason of the rejection. */
    public RejectionReason reason() {
        return reason;
    }
}
