package cresschute.node;

import cresschute.dispatch.Outcome;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.Predicate;

/**
 * A client's request. It is owed one answer until it is closed, and is kept until its attempts have
 * ended and the dispatcher has been notified of all that happened to it. Owns its attempts in
 * flight, the timer of its answer and the stream of its long result. {@link OpenRequests} creates
 * and forgets it. Call from the event loop.
 */
public final class ClientRequest {

    private static final int NO_WORKER = -1;

    private final OpenRequests requests;
    private final int id;
    private final RequestContent content;
    private final int requestClass;
    private final String className;
    private final ResponseListener client;
    private final Times times;
    private final Set<Attempt> attempts = new LinkedHashSet<>();
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
     * @param submittedUs when it was taken
     * @param dueUs when the client must have its answer
     * @param deadlineUs when its attempts end, so that the answer is in time
     */
    record Times(long submittedUs, long dueUs, long deadlineUs) {}

    /**
     * A request that was just taken.
     *
     * @param requests keeps it
     * @param id its number, unique in this process
     * @param content what is sent to workers
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
        return content.requestId();
    }

    /** What is sent to workers. */
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

    /** Receives its answer. */
    ResponseListener client() {
        return client;
    }

    /** When it was taken, microseconds. */
    long submittedUs() {
        return times.submittedUs();
    }

    /** When its attempts end, microseconds. */
    long deadlineUs() {
        return times.deadlineUs();
    }

    // ---- Answer ----

    /** Whether nothing is owed any more: it is answered, or its client has left. */
    boolean isClosed() {
        return closed;
    }

    /** Whether an answer was sent. */
    boolean isAnswered() {
        return answered;
    }

    /** Notes that its one answer is being sent. */
    void markAnswered() {
        answered = true;
    }

    /** Notes that nothing is owed any more, and stops its timer. */
    void close() {
        closed = true;
        timer.cancel(false);
    }

    /** Replaces the timer that guards its answer; the earlier one is cancelled. */
    void setAnswerTimer(Future<?> newTimer) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = newTimer;
    }

    /** The first byte of its long result met the deadline: the end of its answer is not bounded. */
    void removeAnswerDeadline() {
        timer.cancel(false);
        answerDeadlineRemoved = true;
    }

    /** Whether an answer that ends at this time is late. */
    boolean isLate(long nowUs) {
        return !answerDeadlineRemoved && nowUs > times.dueUs();
    }

    // ---- Long result ----

    /** Whether a long result is its answer. */
    boolean hasLongResult() {
        return resultAttempt != null;
    }

    /** From now on the long result of this attempt is its answer. */
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

    /** Takes the number of its next attempt, counted from 0. */
    int nextAttemptNumber() {
        return attemptsStarted++;
    }

    /** How many attempts were numbered. */
    int attemptsStarted() {
        return attemptsStarted;
    }

    /** An attempt starts. */
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
     * An attempt has ended.
     *
     * @param attempt the attempt
     * @param attemptMayHaveRun whether its job may have had its effect
     */
    void attemptEnded(Attempt attempt, boolean attemptMayHaveRun) {
        attempts.remove(attempt);
        mayHaveRun |= attemptMayHaveRun;
    }

    /** Whether an attempt has ended whose job may have had its effect. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether an attempt is in flight. */
    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** The attempts in flight now, in the order of their starts; a copy. */
    List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Whether a byte of any attempt in flight may be on the wire. */
    boolean isOnWire() {
        for (final Attempt attempt : attempts) {
            if (attempt.hasBegun()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Ends those attempts of which no byte can be on the wire: they surely never ran.
     *
     * @param which the attempts to end
     * @param outcome how they end
     */
    void cancelUnsent(Predicate<Attempt> which, Outcome outcome) {
        for (final Attempt attempt : attempts()) {
            if (attempt.isUnsent() && which.test(attempt)) {
                attempt.cancel(outcome);
            }
        }
    }

    // ---- Events ----

    /** An event about it waits for the dispatcher's turn. */
    void eventQueued() {
        pendingEvents++;
    }

    /** The dispatcher was notified of an event and the turn's actions are carried out. */
    void eventReported() {
        pendingEvents--;
        requests.forgetIfDone(this);
    }

    /** The dispatcher threw on an event about it. */
    void dispatcherFailed() {
        if (!closed) {
            requests.failUnanswered(this);
        }
    }

    /** Whether nothing more can happen to it. */
    boolean isDone() {
        return closed && attempts.isEmpty() && pendingEvents == 0;
    }
}
