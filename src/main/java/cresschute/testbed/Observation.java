package cresschute.testbed;

/**
 * Something that the client side, the worker side or the director of a fleet saw. Times are microseconds of
 * the fleet's one clock. What the node believes is not among them: they are what it is judged by.
 */
public sealed interface Observation {

    /** When it was seen. */
    long us();

    /**
     * A client has written the last byte of a req.
     *
     * @param origin the id of the first try, the same in all retries of it
     * @param workUs running time at a worker of speed 1
     */
    record ReqSent(long us, String id, String origin, String className, String key, long workUs,
        double slots, long deadlineUs) implements Observation {}

    /** A client has read the last byte of an answer. */
    record ReqAnswered(long us, String id, int status, String body) implements Observation {}

    /** A connection ended before the answer to a req that was written to it. */
    record ReqLost(long us, String id) implements Observation {}

    /** A client has stopped waiting long after the deadline; no answer had come. */
    record ReqUnanswered(long us, String id) implements Observation {}

    /** An answer came where none was owed. */
    record AnswerTooMany(long us, String what) implements Observation {}

    /** The run ended while a client was waiting, before its time was up. */
    record ReqUnfinished(long us, String id) implements Observation {}

    /**
     * A worker has read the last byte of a req.
     *
     * @param firstByteUs when its first byte came
     * @param work what it adds to the worker's load: slots times microseconds at speed 1
     */
    record SendCame(long us, long firstByteUs, String worker, int cell, String id, String key, double work)
        implements
            Observation {}

    /** A worker turned a req away and will never run it. */
    record SendTurnedAway(long us, String worker, String id) implements Observation {}

    /** A job has started to run. */
    record RunStarted(long us, String worker, String id) implements Observation {}

    /** A job is done: this is the one result that may be answered for the req. */
    record RunDone(long us, String worker, String id, String result) implements Observation {}

    /**
     * The effect of a job took place: at its end, once for each run, and never for a repeat that is dropped.
     */
    record EffectMade(long us, String worker, String id, String key) implements Observation {}

    /** A worker was started; {@code capacity} is what it can do when warm, in slots times speed. */
    record WorkerBooted(long us, String worker, double capacity) implements Observation {}

    /** A worker was sent too much after its start and has fallen over for good. */
    record WorkerFell(long us, String worker) implements Observation {}

    /** The director has written this to the node. */
    record WorkerTold(long us, String worker, String state, long startedMs) implements Observation {}

    /** The node has confirmed that an operator drains this worker, or that it does no longer. */
    record OperatorDrained(long us, String worker, boolean start) implements Observation {}
}
