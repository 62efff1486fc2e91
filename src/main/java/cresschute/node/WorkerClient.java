package cresschute.node;

import java.net.InetSocketAddress;

/** Sends attempts and load queries to workers. Calls and callbacks are on the event loop. */
public interface WorkerClient {

    /**
     * Starts an attempt.
     *
     * @param address where the worker listens
     * @param content the request
     * @param listener receives the attempt's events and its end
     * @return the attempt in flight
     */
    AttemptCall attempt(
            InetSocketAddress address, RequestContent content, AttemptListener listener);

    /**
     * Queries a worker for a load report, which also shows whether it responds.
     *
     * @param address where the worker listens
     * @param listener receives the end of the query
     */
    void queryLoad(InetSocketAddress address, LoadQueryListener listener);

    /**
     * Closes the idle connections to a worker.
     *
     * @param address where the worker listens
     */
    void closeIdle(InetSocketAddress address);
}
