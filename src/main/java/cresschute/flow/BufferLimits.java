package cresschute.flow;

/**
 * The limits of a {@link BufferBudget}, all in bytes but the divisor.
 *
 * @param totalBytes what all bodies together may hold at a time
 * @param windowBytes what a body owns from its reservation until its close
 * @param maxBorrowedBytes what one body may hold beyond its window
 * @param borrowDivisor a body borrows no more than the free bytes divided by this; 1 or above
 * @param maxWindowBytesPerClient windows of one client's bodies together
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
     * @throws IllegalArgumentException if they do not allow a single window, or are negative
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
