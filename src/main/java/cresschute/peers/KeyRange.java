package cresschute.peers;

/**
 * A range of worker keys in unsigned order; empty if the first key is above the last.
 *
 * @param first the first key, included
 * @param last the last key, included
 */
public record KeyRange(int first, int last) {

    /** The lowest key. */
    public static final int MIN_KEY = 0;

    /** The highest key: all bits set. */
    public static final int MAX_KEY = -1;

    /** The range without keys. */
    public static final KeyRange EMPTY = new KeyRange(MAX_KEY, MIN_KEY);

    /** Whether the range contains no key. */
    public boolean isEmpty() {
        return Integer.compareUnsigned(first, last) > 0;
    }

    /** Whether the range contains the key. */
    public boolean contains(int key) {
        return Integer.compareUnsigned(first, key) <= 0 && Integer.compareUnsigned(key, last) <= 0;
    }
}
