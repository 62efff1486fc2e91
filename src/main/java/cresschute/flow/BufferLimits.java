package cresschute.flow;

/**
 * The limits of a {@link BufferBudget}; all but the divisor are in bytes.
 *
 * @param totalBytes maximum of all bodies together
 * @param windowBytes bytes that a body owns from its reservation until it is closed
 * @param maxBorrowedBytes maximum of one body beyond its window
 * @param borrowDivisor a body may borrow at most the free bytes divided by this; 1 or more
 * @param maxWindowBytesPerClient maximum of the windows of one client's bodies together
 */
public record BufferLimits(
        long totalBytes,
        long windowBytes,
        long maxBorrowedBytes,
        long borrowDivisor,
        long maxWindowBytesPerClient) {

    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if they do not allow a single window, a limit is negative,
     *     or the divisor is below 1
     */
    public BufferLimits {
        if (windowBytes <= 0
                || totalBytes < windowBytes
                || maxBorrowedBytes < 0
                || borrowDivisor < 1
                || maxWindowBytesPerClient < windowBytes) {
            throw new IllegalArgumentException(
                    "a budget of "
                            + totalBytes
                            + " bytes, "
                            + maxWindowBytesPerClient
                            + " per client, divisor "
                            + borrowDivisor
                            + ", borrowed "
                            + maxBorrowedBytes
                            + ", does not hold a window of "
                            + windowBytes);
        }
    }
}
