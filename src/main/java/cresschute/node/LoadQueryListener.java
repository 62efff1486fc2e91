package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;

/** Receives the end of one load query, exactly once. Called on the event loop. */
@FunctionalInterface
public interface LoadQueryListener {

    /**
     * The query has ended.
     *
     * @param outcome {@link Outcome#SERVED} if the worker answered
     * @param report its load, or {@link LoadReport#NONE}
     */
    void loadQueryEnded(Outcome outcome, LoadReport report);
}
