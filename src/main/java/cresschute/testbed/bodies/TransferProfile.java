package cresschute.testbed.bodies;

/**
 * How one direction of a peer behaves.
 *
 * @param bytesPerS bytes a second, 0 for as fast as it goes
 * @param stallAt byte at which it stands still for {@code stallMs}, or -1
 * @param resetAt byte at which it resets its connection, or -1
 */
public record TransferProfile(long bytesPerS, long stallAt, long stallMs, long resetAt) {

    /** As fast as it goes. */
    public static final TransferProfile FULL = new TransferProfile(0, -1, 0, -1);

    /** At an even rate. */
    public static TransferProfile of(long bytesPerS) {
        return new TransferProfile(bytesPerS, -1, 0, -1);
    }

    /** The same, until it stands still once. */
    public TransferProfile stalling(long atByte, long forMs) {
        return new TransferProfile(bytesPerS, atByte, forMs, resetAt);
    }

    /** The same, until it breaks. */
    public TransferProfile resetting(long atByte) {
        return new TransferProfile(bytesPerS, stallAt, stallMs, atByte);
    }
}
