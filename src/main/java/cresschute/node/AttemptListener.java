package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;

/**
 * Receives the events of one attempt. Its end is reported exactly once, by {@link #ended} or by
 * {@link #resultBegins}, unless {@link AttemptCall#abort} ended the attempt. All calls are on the
 * event loop.
 */
public interface AttemptListener {

    /**
     * Called once the connection is established and before the first byte is written. Do not call
     * it while a client's connection is being read, as it may read that connection itself.
     *
     * @return whether the first byte may be written; the attempt has ended if not
     */
    default boolean mayBegin() {
        return true;
    }

    /**
     * Returns the time until the attempt's deadline. Called when the request head is written,
     * because the connection may be established long after the worker was selected.
     *
     * @return microseconds; 0 once the deadline has passed
     */
    long remainingUs();

    /**
     * The job has started, or reports progress.
     *
     * @param fractionDone the completed fraction of the job, 0 to 1; 0 at its start
     */
    void progressed(double fractionDone);

    /**
     * The job begins to produce a long result. Unless this method returns null, this is the end of
     * the attempt, and only {@link #resultEnded} follows. If it returns null, {@link #ended}
     * follows.
     *
     * @param type the content type that the worker states, or null
     * @param length its length in bytes, or -1 if unknown
     * @param report the worker's load report
     * @return the stream to the client; {@link ResultStream#DISCARDING} if the client has left,
     *     null if the request allows no long result
     */
    ResultStream resultBegins(String type, long length, LoadReport report);

    /**
     * A long result has ended.
     *
     * @param complete whether all of it was received
     */
    void resultEnded(boolean complete);

    /**
     * The attempt has ended.
     *
     * @param outcome how it ended
     * @param report the worker's load report, or {@link LoadReport#NONE}
     * @param result what the worker returned if the outcome is {@link Outcome#SERVED}, else null
     */
    void ended(Outcome outcome, LoadReport report, String result);
}
