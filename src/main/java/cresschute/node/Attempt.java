package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;

/**
 * One attempt to serve a request at a worker; it ends exactly once. Owns its call, its timeout and
 * its observer, and passes the events of the call to {@link AttemptController}. Call from the event
 * loop.
 */
final class Attempt implements AttemptListener {

    private final AttemptController controller;
    private final ClientRequest request;
    private final int number;
    private final int worker;
    private final InetSocketAddress address;
    private final long workerStartedUs;
    private final long startedUs;
    private final long deadlineUs;
    private RequestListener.AttemptObserver observer = RequestListener.AttemptObserver.NONE;
    private AttemptCall call;
    private Future<?> timeout;
    private boolean ended;

    /**
     * Creates an attempt that has not started.
     *
     * @param controller receives its events
     * @param request the request, which assigns the attempt's number
     * @param target the worker as listed now
     * @param address where the worker listens now
     * @param startedUs the time now, microseconds
     * @param deadlineUs when the attempt times out, microseconds
     */
    Attempt(
            AttemptController controller,
            ClientRequest request,
            Worker target,
            InetSocketAddress address,
            long startedUs,
            long deadlineUs) {
        this.controller = controller;
        this.request = request;
        this.number = request.nextAttemptNumber();
        this.worker = target.id();
        this.address = address;
        this.workerStartedUs = target.startedAtUs();
        this.startedUs = startedUs;
        this.deadlineUs = deadlineUs;
    }

    /** Its request. */
    ClientRequest request() {
        return request;
    }

    /** Its number among the attempts of its request, counted from 0. */
    int number() {
        return number;
    }

    /** The number of its worker. */
    int worker() {
        return worker;
    }

    /** When it started, microseconds. */
    long startedUs() {
        return startedUs;
    }

    /**
     * Returns true if the attempt is for the listed worker process: same start time and address.
     */
    boolean targets(Worker listed, InetSocketAddress listedAddress) {
        return listed.startedAtUs() == workerStartedUs && listedAddress.equals(address);
    }

    /** Sets the observer; call before {@link #start}. */
    void setObserver(RequestListener.AttemptObserver newObserver) {
        observer = newObserver;
    }

    /** Its observer. */
    RequestListener.AttemptObserver observer() {
        return observer;
    }

    /** Sets the timer that ends it at its deadline. */
    void setTimeout(Future<?> newTimeout) {
        timeout = newTimeout;
    }

    /** Starts the call; events may come before this returns. */
    void start(WorkerClient workers) {
        call = workers.attempt(address, request.content(), this);
    }

    /**
     * Returns true if a byte of the attempt may be on the wire. Call only after {@link #start} has
     * returned.
     */
    boolean hasBegun() {
        return call.hasBegun();
    }

    /** Returns true if the attempt is in flight and no byte of it can be on the wire. */
    boolean isUnsent() {
        return !ended && call != null && !call.hasBegun();
    }

    /**
     * Returns true if the attempt is in flight, and its last byte is not written although its first
     * one is: its job cannot have run.
     */
    boolean isPartlyWritten() {
        return !ended && call != null && call.isPartlyWritten();
    }

    /** Returns true if the attempt has ended. */
    boolean isEnded() {
        return ended;
    }

    /** Marks the attempt as ended and cancels its timeout. */
    void markEnded() {
        ended = true;
        timeout.cancel(false);
    }

    /**
     * Cancels the call without reporting the end of the attempt.
     *
     * @return the outcome that follows from the cancellation
     */
    Outcome cancelCall() {
        return call.abort();
    }

    /** Cancels the call and ends the attempt with this outcome. */
    void cancel(Outcome outcome) {
        call.abort();
        controller.end(this, outcome, LoadReport.NONE, null);
    }

    /**
     * Cancels the call at the attempt's deadline and ends the attempt with the outcome that follows
     * from the cancellation.
     */
    void timeOut() {
        controller.end(this, call.abort(), LoadReport.NONE, null);
    }

    // ---- Events of the call ----

    @Override
    public boolean mayBegin() {
        return controller.mayBegin(this);
    }

    @Override
    public long remainingUs() {
        return Math.max(0, deadlineUs - controller.nowUs());
    }

    @Override
    public void progressed(double fractionDone) {
        controller.progressed(this, fractionDone);
    }

    @Override
    public ResultStream resultBegins(String type, long length, LoadReport report) {
        return controller.resultBegins(this, type, length, report);
    }

    @Override
    public void resultEnded(boolean complete) {
        controller.resultEnded(this, complete);
    }

    @Override
    public void ended(Outcome outcome, LoadReport report, String result) {
        controller.end(this, outcome, report, result);
    }
}
