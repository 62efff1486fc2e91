package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import java.net.InetSocketAddress;

/** The way to the workers. All calls and all callbacks are on the loop. */
public interface WorkerClient {

    /** Starts an attempt, which reports to its listener and ends there once. */
    AttemptCall attempt(InetSocketAddress addr, RequestContent content, AttemptListener listener);

    /** Asks for a sign of life and a load report; told once. */
    void probe(InetSocketAddress addr, LoadQueryListener listener);

    /** Closes the connections there that nothing is using. */
    void closeIdle(InetSocketAddress addr);

    /** An attempt that is out. */
    interface AttemptCall {

        /**
         * Stops waiting and closes the connection; tells how the attempt ended by that, and reports
         * no end.
         */
        Outcome giveUp();

        /**
         * Whether a byte of it may be on the wire; before that, giving it up takes nothing back.
         */
        default boolean hasBegun() {
            return true;
        }
    }

    /** Who hears of an attempt. */
    interface AttemptListener {

        /**
         * Whether its first byte may go out now that a new connection is up; it has ended where
         * not. Not to be asked from within the reading of a client's connection.
         */
        default boolean mayBegin() {
            return true;
        }

        /**
         * What is left of the attempt's time, us; 0 where it is over. Asked when the head is
         * written and not before: the connection may come up long after the attempt was chosen.
         */
        long remainingUs();

        /** The job has started (share 0), or how much of it is done. */
        void progressed(double fractionDone);

        /**
         * The job makes a long result, and the end of the attempt is told by this: what follows is
         * its result alone. {@link ResultStream#NOWHERE} where nobody wants it any more, null where
         * none is expected.
         */
        ResultStream resultBegins(String type, long length, LoadReport report);

        /** The end of a long result. */
        void resultEnded(boolean whole);

        /** The end; {@code result} is there where the outcome is served. */
        void ended(Outcome outcome, LoadReport report, String result);
    }

    /** Who hears of a probe. */
    @FunctionalInterface
    interface LoadQueryListener {

        /** The end of it. */
        void probed(Outcome outcome, LoadReport report);
    }
}
