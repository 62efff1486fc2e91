package cresschute.testbed.bodies;

/**
 * The speed and the faults of one direction of a transfer.
 *
 * @param bytesPerS bytes per second, 0 for unlimited
 * @param stallAt byte at which the transfer stalls for {@code stallMs}, or -1
 * @param resetAt byte at which the connection is reset, or -1
 */
public record TransferProfile(long bytesPerS, long stallAt, long stallMs, long resetAt) {

    /** Unlimited speed and no faults. */
    public static final TransferProfile FULL = new TransferProfile(0, -1, 0, -1);

    /** Returns a profile with a constant rate and no faults. */
    public static TransferProfile of(long bytesPerS) {
        return new TransferProfile(bytesPerS, -1, 0, -1);
    }

    /** Returns this profile with one stall. */
    public TransferProfile stalling(long atByte, long forMs) {
        return new TransferProfile(bytesPerS, atByte, forMs, resetAt);
    }

    /** Returns this profile with a connection reset. */
    public TransferProfile resetting(long atByte) {
        return new TransferProfile(bytesPerS, stallAt, stallMs, atByte);
    }
}
