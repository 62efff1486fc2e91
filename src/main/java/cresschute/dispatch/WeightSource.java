package cresschute.dispatch;

/**
 * Meaning of a worker's weight. {@code LIVE} is its size over one plus the requests held by a core.
 */
public enum WeightSource {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE
}
