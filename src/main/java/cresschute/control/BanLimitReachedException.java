package cresschute.control;

/** No further worker can be banned. The message names the limit and is the answer to the call. */
public final class BanLimitReachedException extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    /** Names the number of workers that can be banned at a time. */
    BanLimitReachedException(int maxBanned) {
        super(maxBanned + " workers are out; enable one first");
    }
}
