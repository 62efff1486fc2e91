package cresschute.testbed;

import com.google.gson.annotations.SerializedName;

/**
 * Something that the client side, the worker side or discovery of a fleet saw. Times are
 * microseconds of the fleet's one clock. What the node believes is not among them: they are what it
 * is judged by.
 */
public sealed interface Observation {

    /** When it was seen. */
    long us();

    /**
     * A client has written the last byte of a request.
     *
     * @param origin the id of the first try, the same in all retries of it
     * @param workUs running time at a worker of speed 1
     */
    record RequestSent(
            @SerializedName("us") long us,
            @SerializedName("id") String id,
            @SerializedName("origin") String origin,
            @SerializedName("className") String className,
            @SerializedName("key") String key,
            @SerializedName("workUs") long workUs,
            @SerializedName("slots") double slots,
            @SerializedName("deadlineUs") long deadlineUs)
            implements Observation {}

    /** A client has read the last byte of an answer. */
    record RequestAnswered(
            @SerializedName("us") long us,
            @SerializedName("id") String id,
            @SerializedName("status") int status,
            @SerializedName("body") String body)
            implements Observation {}

    /** A connection ended before the answer to a request that was written to it. */
    record RequestLost(@SerializedName("us") long us, @SerializedName("id") String id)
            implements Observation {}

    /** A client has stopped waiting long after the deadline; no answer had come. */
    record RequestUnanswered(@SerializedName("us") long us, @SerializedName("id") String id)
            implements Observation {}

    /** An answer came where none was owed. */
    record UnexpectedAnswer(@SerializedName("us") long us, @SerializedName("what") String what)
            implements Observation {}

    /** The run ended while a client was waiting, before its time was up. */
    record RequestUnfinished(@SerializedName("us") long us, @SerializedName("id") String id)
            implements Observation {}

    /**
     * A worker has read the last byte of a request.
     *
     * @param firstByteUs when its first byte came
     * @param work what it adds to the worker's load: slots times microseconds at speed 1
     */
    record AttemptReceived(
            @SerializedName("us") long us,
            @SerializedName("firstByteUs") long firstByteUs,
            @SerializedName("worker") String worker,
            @SerializedName("cell") int cell,
            @SerializedName("id") String id,
            @SerializedName("key") String key,
            @SerializedName("work") double work)
            implements Observation {}

    /** A worker turned a request away and will never run it. */
    record AttemptRejected(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("id") String id)
            implements Observation {}

    /** A job has started to run. */
    record RunStarted(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("id") String id)
            implements Observation {}

    /** A job is done: this is the one result that may be answered for the request. */
    record RunDone(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("id") String id,
            @SerializedName("result") String result)
            implements Observation {}

    /**
     * The effect of a job took place: at its end, once for each run, and never for a repeat that is
     * dropped.
     */
    record EffectApplied(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("id") String id,
            @SerializedName("key") String key)
            implements Observation {}

    /** A worker was started; {@code capacity} is what it can do when warm, in slots times speed. */
    record WorkerBooted(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("capacity") double capacity)
            implements Observation {}

    /** A worker was sent too much after its start and has fallen over for good. */
    record WorkerOverloaded(@SerializedName("us") long us, @SerializedName("worker") String worker)
            implements Observation {}

    /** Discovery has written this to the node. */
    record WorkerListed(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("state") String state,
            @SerializedName("startedMs") long startedMs)
            implements Observation {}

    /** The node has confirmed that an operator drains this worker, or that it does no longer. */
    record OperatorDrained(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("start") boolean start)
            implements Observation {}
}
