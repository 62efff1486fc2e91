package cresschute.control;

/**
 * Thrown when the maximum number of workers is banned already. The message names the limit and is
 * sent as the answer to the call.
 */
public final class BanLimitReachedException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the maximum number of banned workers. */
    BanLimitReachedException(int maxBanned) {
        super(maxBanned + " workers are out; enable one first");
    }
}
