package cresschute.node;

import cresschute.dispatch.Outcome;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.Predicate;

/**
 * A client's request. It is open until it is answered or its client leaves, and is kept until its
 * attempts have ended and the dispatcher has received all its events. Owns its attempts in flight,
 * the timer of its answer and the stream of its long result. It keeps its body while it is open.
 * {@link OpenRequests} creates and removes it. Call from the event loop.
 */
public final class ClientRequest {

    private static final int NO_WORKER = -1;

    private final OpenRequests requests;
    private final int id;
    private final String requestId;
    private final int requestClass;
    private final String className;
    private final Times times;
    private final Set<Attempt> attempts = new LinkedHashSet<>();

    /** The content to send to workers; null once the request is closed. */
    private RequestContent content;

    /** The receiver of the answer; null once the request is closed. */
    private ResponseListener client;

    private Future<?> timer;
    private int attemptsStarted;
    private int firstWorker = NO_WORKER;
    private int pendingEvents;
    private boolean mayHaveRun;
    private boolean answerDeadlineRemoved;
    private boolean closed;
    private boolean answered;

    /** The attempt whose long result is being passed on, or null, and the stream to the client. */
    private Attempt resultAttempt;

    private ResultStream result;

    /**
     * The times of a request, microseconds of the dispatcher's clock.
     *
     * @param submittedUs when it was submitted
     * @param dueUs when the client must have its answer
     * @param deadlineUs when its attempts end at the latest, so that the answer is in time
     */
    record Times(long submittedUs, long dueUs, long deadlineUs) {}

    /**
     * Creates a request that was just submitted.
     *
     * @param requests the owner, which removes the request once it is done
     * @param id its number, unique in this process
     * @param content the content to send to workers
     * @param requestClass the number of its class
     * @param className the name of its class
     * @param client receives its answer
     * @param times its times
     */
    ClientRequest(
            OpenRequests requests,
            int id,
            RequestContent content,
            int requestClass,
            String className,
            ResponseListener client,
            Times times) {
        this.requests = requests;
        this.id = id;
        this.requestId = content.requestId();
        this.content = content;
        this.requestClass = requestClass;
        this.className = className;
        this.client = client;
        this.times = times;
    }

    /** Its number, unique in this process. */
    int id() {
        return id;
    }

    /** The id that the client gave it. */
    String requestId() {
        return requestId;
    }

    /** The content to send to workers; null once the request is closed. */
    RequestContent content() {
        return content;
    }

    /** The number of its class. */
    int requestClass() {
        return requestClass;
    }

    /** The name of its class. */
    String className() {
        return className;
    }

    /** The receiver of its answer; null once the request is closed. */
    ResponseListener client() {
        return client;
    }

    /** When it was submitted, microseconds. */
    long submittedUs() {
        return times.submittedUs();
    }

    /** When its attempts end at the latest, microseconds. */
    long deadlineUs() {
        return times.deadlineUs();
    }

    // ---- Answer ----

    /** Returns true if the request was answered or its client has left. */
    boolean isClosed() {
        return closed;
    }

    /** Returns true if an answer was sent. */
    boolean isAnswered() {
        return answered;
    }

    /** Marks the request as answered, right before its only answer is sent. */
    void markAnswered() {
        answered = true;
    }

    /**
     * Marks the request as closed and cancels its timer. Its attempts may run on for long, so it
     * keeps neither its body nor the client's connection from now on.
     */
    void close() {
        closed = true;
        timer.cancel(false);
        content = null;
        client = null;
    }

    /** Sets the timer that limits the time to its answer, and cancels the previous one. */
    void setAnswerTimer(Future<?> newTimer) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = newTimer;
    }

    /**
     * Removes the time limit of its answer, because the first byte of its long result has met the
     * deadline.
     */
    void removeAnswerDeadline() {
        timer.cancel(false);
        answerDeadlineRemoved = true;
    }

    /** Returns true if an answer that ends at this time is late. */
    boolean isLate(long nowUs) {
        return !answerDeadlineRemoved && nowUs > times.dueUs();
    }

    // ---- Long result ----

    /** Returns true if its answer is a long result. */
    boolean hasLongResult() {
        return resultAttempt != null;
    }

    /** Sets the long result of this attempt as the answer. */
    void startLongResult(Attempt attempt, ResultStream stream) {
        resultAttempt = attempt;
        result = stream;
    }

    /** The stream of its long result, or null. */
    ResultStream result() {
        return result;
    }

    /** Stops reading its long result, if there is one. */
    void cancelResult() {
        if (resultAttempt != null) {
            resultAttempt.cancelCall();
        }
    }

    // ---- Attempts ----

    /** Assigns the number of its next attempt, counted from 0. */
    int nextAttemptNumber() {
        return attemptsStarted++;
    }

    /** The number of attempts that were assigned a number. */
    int attemptsStarted() {
        return attemptsStarted;
    }

    /** Records the start of an attempt. */
    void attemptStarted(Attempt attempt) {
        attempts.add(attempt);
        if (firstWorker == NO_WORKER) {
            firstWorker = attempt.worker();
        }
    }

    /** The worker that its first attempt went to, or empty before that. */
    OptionalInt firstWorker() {
        return firstWorker == NO_WORKER ? OptionalInt.empty() : OptionalInt.of(firstWorker);
    }

    /**
     * Records the end of an attempt.
     *
     * @param attempt the attempt
     * @param attemptMayHaveRun whether its job may have had its effect
     */
    void attemptEnded(Attempt attempt, boolean attemptMayHaveRun) {
        attempts.remove(attempt);
        mayHaveRun |= attemptMayHaveRun;
    }

    /** Returns true if an attempt has ended whose job may have had its effect. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns true if an attempt is in flight. */
    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** The attempts in flight now, in the order of their starts; a copy. */
    List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Returns true if a byte of any attempt in flight may be on the wire. */
    boolean isOnWire() {
        for (final Attempt attempt : attempts) {
            if (attempt.hasBegun()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Cancels the selected attempts that have no byte on the wire and therefore have not run.
     *
     * @param which selects the attempts
     * @param outcome how they end
     */
    void cancelUnsent(Predicate<Attempt> which, Outcome outcome) {
        for (final Attempt attempt : attempts()) {
            if (attempt.isUnsent() && which.test(attempt)) {
                attempt.cancel(outcome);
            }
        }
    }

    /** Cancels the attempts whose last byte is not written: nobody waits for their jobs. */
    void cancelPartlyWritten() {
        for (final Attempt attempt : attempts()) {
            if (attempt.isPartlyWritten()) {
                attempt.cancel(Outcome.CANCELLED);
            }
        }
    }

    // ---- Events ----

    /** Records that an event of this request is queued for the dispatcher. */
    void eventQueued() {
        pendingEvents++;
    }

    /**
     * Records that the dispatcher has received an event and that the actions of the turn have run.
     */
    void eventReported() {
        pendingEvents--;
        requests.forgetIfDone(this);
    }

    /**
     * Fails the request if it is open; called when the dispatcher threw an exception on its event.
     */
    void dispatcherFailed() {
        if (!closed) {
            requests.failUnanswered(this);
        }
    }

    /** Returns true if the request is closed and has no attempts and no queued events. */
    boolean isDone() {
        return closed && attempts.isEmpty() && pendingEvents == 0;
    }
}
