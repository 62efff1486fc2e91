package cresschute.peers;

import java.util.List;

/**
 * A gossip message, which one dispatcher sends to all others. It contains absolute counts, so that
 * receiving it twice changes nothing.
 *
 * <p>A message also covers a range of keys, in which it contains every worker with attempts in
 * flight: a receiver drops its counts in that range for workers that the message does not contain.
 * The ranges of one refresh cycle are consecutive and cover all keys, so that the next complete
 * cycle repairs the effect of a lost message.
 *
 * @param sender hash of the sender's name
 * @param incarnation the sender's start time, microseconds of Unix time: the incarnation of a later
 *     process is higher
 * @param sequence sequence number within the incarnation, from 1 on
 * @param cycle number of the refresh cycle within the incarnation, from 1 on
 * @param leaving whether the sender stops; it sends no further message
 * @param range the keys that the message covers
 * @param entries counts, in any order
 */
public record LoadMessage(
        int sender,
        long incarnation,
        long sequence,
        long cycle,
        boolean leaving,
        KeyRange range,
        List<LoadEntry> entries) {

    /** Copies the entries. */
    public LoadMessage {
        entries = List.copyOf(entries);
    }
}
