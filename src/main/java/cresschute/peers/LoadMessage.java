package cresschute.peers;

import java.util.List;

/**
 * What one dispatcher sends to all others: absolute numbers, so that a repeated message changes
 * nothing.
 *
 * <p>Beside the entries a message states a range of keys, of which the entries hold every one that
 * has open attempts: a receiver drops what it has in that range and the message leaves out. The
 * ranges of one cycle follow each other over all keys, so that a lost message is made up for within
 * the next whole cycle.
 *
 * @param sender hash of the sender's name
 * @param incarnation the sender's start time, us of Unix time; a later start has a higher one
 * @param sequence number of the message within the incarnation, from 1 on
 * @param cycle number of the refresh cycle within the incarnation, from 1 on
 * @param leaving whether the sender stops; nothing follows
 * @param range the keys of which all open ones are among the entries
 */
public record LoadMessage(
        int sender,
        long incarnation,
        long sequence,
        long cycle,
        boolean leaving,
        KeyRange range,
        List<Entry> entries) {

    /** The number of open attempts that the sender has at a worker. */
    public record Entry(int key, int count) {}

    /**
     * Keys from one to another, both included, in unsigned order; empty where the first is the
     * higher.
     */
    public record KeyRange(int first, int last) {

        /** The lowest key. */
        public static final int MIN_KEY = 0;

        /** The highest key. */
        public static final int MAX_KEY = -1;

        /** No key. */
        public static final KeyRange EMPTY = new KeyRange(MAX_KEY, MIN_KEY);

        /** Whether no key is in it. */
        public boolean isEmpty() {
            return Integer.compareUnsigned(first, last) > 0;
        }

        /** Whether the key is in it. */
        public boolean contains(int key) {
            return Integer.compareUnsigned(first, key) <= 0
                    && Integer.compareUnsigned(key, last) <= 0;
        }
    }

    public LoadMessage {
        entries = List.copyOf(entries);
    }
}
