package cresschute.dispatch;

/** What the weight of a worker in the endpoint list means. */
public enum WeightSource {
    /** Nothing. */
    NONE,
    /** Its nominal size. */
    NOMINAL,
    /** A rough guess of its size. */
    ROUGH,
    /** Its size over one plus the requests in flight per core, at the time of the list. */
    LIVE
}
