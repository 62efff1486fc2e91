package cresschute.peers;

/**
 * What the exchange of one dispatcher goes by.
 *
 * @param name this dispatcher's name, which no other has
 * @param peers how many other dispatchers there are
 * @param bytesPerS bytes a second to all peers together, with the heads of IP and UDP
 * @param refreshUs the time of a cycle, in which every open number is stated, us
 */
public record ExchangeSettings(String name, int peers, long bytesPerS, long refreshUs) {

    /** A cycle, where nothing else is stated, us. */
    public static final long DEFAULT_REFRESH_US = 60_000_000;

    /** Bytes a second, where nothing else is stated. */
    public static final long DEFAULT_BYTES_PER_S = 3_000;

    /**
     * What a peer costs at the least, bytes a second: one message without entries, and room for a
     * few.
     */
    public static final long MIN_BYTES_PER_S_PER_PEER = 100;

    public ExchangeSettings {
        if (peers < 1 || refreshUs <= 0 || bytesPerS < MIN_BYTES_PER_S_PER_PEER * peers) {
            throw new IllegalArgumentException(
                    "peers "
                            + peers
                            + ", bytes per second "
                            + bytesPerS
                            + ", refresh "
                            + refreshUs
                            + " us");
        }
    }
}
