package cresschute.testbed;

import com.google.gson.annotations.SerializedName;

/**
 * An event that the clients, the workers or discovery of a fleet observed. Times are in
 * microseconds of the single clock of the fleet. The state of the node is not recorded, because the
 * observations are what the node is checked against.
 */
public sealed interface Observation {

    /** The time of the observation, us. */
    long us();

    /**
     * A client has written the last byte of a request.
     *
     * @param origin the id of the first attempt, the same in all its retries
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

    /** A client has read the last byte of a response. */
    record RequestAnswered(
            @SerializedName("us") long us,
            @SerializedName("id") String id,
            @SerializedName("status") int status,
            @SerializedName("body") String body)
            implements Observation {}

    /** A connection ended before the response to a request that was written to it. */
    record RequestLost(@SerializedName("us") long us, @SerializedName("id") String id)
            implements Observation {}

    /** A client has given up waiting, long after the deadline and without a response. */
    record RequestUnanswered(@SerializedName("us") long us, @SerializedName("id") String id)
            implements Observation {}

    /** A response arrived that no request was waiting for. */
    record UnexpectedAnswer(@SerializedName("us") long us, @SerializedName("what") String what)
            implements Observation {}

    /** The run ended while a client was waiting, before its time limit. */
    record RequestUnfinished(@SerializedName("us") long us, @SerializedName("id") String id)
            implements Observation {}

    /**
     * A worker has read the last byte of a request.
     *
     * @param firstByteUs when the first byte of the request arrived
     * @param work what the request adds to the load of the worker: slots times microseconds at
     *     speed 1
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

    /** A worker rejected a request and will never run it. */
    record AttemptRejected(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("id") String id)
            implements Observation {}

    /** A job has started. */
    record RunStarted(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("id") String id)
            implements Observation {}

    /** A job has completed. Its result is the only one that may be returned for the request. */
    record RunDone(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("id") String id,
            @SerializedName("result") String result)
            implements Observation {}

    /**
     * The effect of a job took place: at its end, once for each run, and never for a dropped
     * duplicate.
     */
    record EffectApplied(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("id") String id,
            @SerializedName("key") String key)
            implements Observation {}

    /**
     * A worker process has started; {@code capacity} is its capacity when warm, in slots times
     * speed.
     */
    record WorkerBooted(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("capacity") double capacity)
            implements Observation {}

    /** A worker was sent too much after its start and has crashed permanently. */
    record WorkerOverloaded(@SerializedName("us") long us, @SerializedName("worker") String worker)
            implements Observation {}

    /** Discovery has sent this state of a worker to the node. */
    record WorkerListed(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("state") String state,
            @SerializedName("startedMs") long startedMs)
            implements Observation {}

    /**
     * The node has confirmed that an operator drains this worker ({@code start}) or no longer
     * drains it.
     */
    record OperatorDrained(
            @SerializedName("us") long us,
            @SerializedName("worker") String worker,
            @SerializedName("start") boolean start)
            implements Observation {}
}
