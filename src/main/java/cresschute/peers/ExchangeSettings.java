package cresschute.peers;

/**
 * Settings of one dispatcher's gossip exchange.
 *
 * @param name this dispatcher's name, unique among the dispatchers of the site
 * @param peers number of other dispatchers, 1 or more
 * @param bytesPerS maximum bytes per second sent to all peers together, headers of IP and UDP
 *     included; at least {@link #MIN_BYTES_PER_S_PER_PEER} for each peer
 * @param refreshUs length of a refresh cycle, in which every count above 0 is sent, microseconds
 */
public record ExchangeSettings(String name, int peers, long bytesPerS, long refreshUs) {

    /** Default of {@link #refreshUs}, microseconds. */
    public static final long DEFAULT_REFRESH_US = 60_000_000;

    /** Default of {@link #bytesPerS}. */
    public static final long DEFAULT_BYTES_PER_S = 3_000;

    /**
     * Minimum bytes per second for each peer: enough for a message without entries plus a few
     * entries.
     */
    public static final long MIN_BYTES_PER_S_PER_PEER = 100;

    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException if a number is out of its bounds
     */
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
