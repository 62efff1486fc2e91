package cresschute.peers;

import java.util.List;

/**
 * A gossip message: what one dispatcher sends to all others. It states absolute counts, so that
 * receiving it twice changes nothing.
 *
 * <p>Beside its entries a message covers a range of keys, in which it states every worker with
 * attempts in flight: a receiver drops what it has in that range and the message leaves out. The
 * ranges of one refresh cycle follow each other over all keys, so that the next complete cycle
 * repairs whatever a lost message would have changed.
 *
 * @param sender hash of the sender's name
 * @param incarnation the sender's start time, microseconds of Unix time: the incarnation of a later
 *     process is higher
 * @param sequence sequence number within the incarnation, from 1 on
 * @param cycle number of the refresh cycle within the incarnation, from 1 on
 * @param leaving whether the sender stops; nothing follows
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
