package cresschute.testbed.bodies;

/**
 * How one direction of a peer behaves.
 *
 * @param bytesAS bytes a second, 0 for as fast as it goes
 * @param stallAt byte at which it stands still for {@code stallMs}, or -1
 * @param resetAt byte at which it resets its connection, or -1
 */
public record LineSpeed(long bytesAS, long stallAt, long stallMs, long resetAt) {

    /** As fast as it goes. */
    public static final LineSpeed FULL = new LineSpeed(0, -1, 0, -1);

    /** At an even rate. */
    public static LineSpeed of(long bytesAS) {
        return new LineSpeed(bytesAS, -1, 0, -1);
    }

    /** The same, until it stands still once. */
    public LineSpeed stalling(long atByte, long forMs) {
        return new LineSpeed(bytesAS, atByte, forMs, resetAt);
    }

    /** The same, until it breaks. */
    public LineSpeed resetting(long atByte) {
        return new LineSpeed(bytesAS, stallAt, stallMs, atByte);
    }
}
