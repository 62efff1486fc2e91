package cresschute.node;

import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.Job;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.RequestClass;
import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The requests of this process. Each is submitted, answered exactly once unless its client leaves,
 * closed, and removed once its attempts have ended and the dispatcher has received all its events.
 * Owns the open requests, their ids and the number of unanswered requests. Lives as long as the
 * node; call from the event loop.
 */
final class OpenRequests {

    private static final long US_PER_MS = 1_000;

    /** The shortest time for which the id of an ended request is known, microseconds. */
    private static final long MIN_EFFECT_US = 60_000_000;

    private static final Logger LOG = System.getLogger("cresschute.requests");

    private final LoopContext context;
    private final ActiveSettings settings;
    private final Map<Integer, ClientRequest> open = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();
    private final RequestIds endedIds;
    private int lastId;
    private int unanswered;
    private boolean rejectsNew;

    /**
     * Creates an empty set of requests, which are handled under these settings.
     *
     * @param endedIds the ids of ended requests whose effect must not be repeated
     */
    OpenRequests(LoopContext context, ActiveSettings settings, RequestIds endedIds) {
        this.endedIds = endedIds;
        this.context = context;
        this.settings = settings;
    }

    /** An open request by its number, or null. */
    ClientRequest find(int id) {
        return open.get(id);
    }

    /** The open requests now; a copy. */
    List<ClientRequest> all() {
        return List.copyOf(open.values());
    }

    /**
     * Returns true if a request with this client-assigned id is unanswered or has attempts in
     * flight, or if it has ended and may have had an effect that must not be repeated.
     */
    boolean isOpen(String requestId) {
        return openIds.contains(requestId) || endedIds.contains(requestId, context.nowUs());
    }

    /** The numbers of the classes of these requests. */
    Set<Integer> classesInUse() {
        final Set<Integer> numbers = new HashSet<>();
        open.values().forEach(each -> numbers.add(each.requestClass()));
        return numbers;
    }

    /** The number of unanswered requests. */
    int unanswered() {
        return unanswered;
    }

    /** Rejects all requests that are submitted from now on. */
    void rejectNew() {
        rejectsNew = true;
    }

    /**
     * Submits a request and notifies the dispatcher.
     *
     * @param content the content to send to workers
     * @param job its description for the dispatcher
     * @param waitUs how long its client waits, microseconds
     * @param client receives its one answer
     * @return the request
     */
    ClientRequest submit(RequestContent content, Job job, long waitUs, ResponseListener client) {
        final long nowUs = context.nowUs();
        final long deadlineUs = nowUs + Math.max(0, waitUs - RequestLifecycle.ANSWER_MARGIN_US);
        final ClientRequest request =
                new ClientRequest(
                        this,
                        ++lastId,
                        content,
                        job.requestClass(),
                        settings.className(job.requestClass()),
                        client,
                        new ClientRequest.Times(nowUs, nowUs + waitUs, deadlineUs));
        open.put(request.id(), request);
        openIds.add(content.requestId());
        unanswered++;
        context.listener().requestSubmitted(nowUs, request.requestClass());
        request.setAnswerTimer(
                context.schedule(waitUs + RequestLifecycle.OVERDUE_US, () -> failOverdue(request)));
        if (rejectsNew) {
            rejectLocally(request);
            return request;
        }
        context.turn()
                .enqueue(
                        request,
                        now ->
                                context.dispatcher()
                                        .requestArrived(now, request.id(), job, deadlineUs));
        return request;
    }

    /**
     * Fails a request that the dispatcher has not answered in time, so that every request is
     * answered.
     */
    private void failOverdue(ClientRequest request) {
        failUnanswered(request);
        context.invariant().check(false, "request overdue");
    }

    /**
     * Fails a request that the dispatcher did not answer, and notifies the dispatcher that the
     * request is closed.
     */
    void failUnanswered(ClientRequest request) {
        reportClosed(request);
        request.cancelResult();
        fail(request);
    }

    /**
     * Closes a request whose client has left. An attempt that has a byte on the wire continues; one
     * whose connection is still being established is cancelled.
     */
    void clientLeft(ClientRequest request) {
        if (!request.isClosed()) {
            request.cancelResult();
            reportClosed(request);
            close(request);
            notifyEnded(request, RequestListener.Answer.LEFT, 0);
        }
    }

    /** Queues an event that notifies the dispatcher that a request is closed. */
    void reportClosed(ClientRequest request) {
        context.turn().enqueue(request, now -> context.dispatcher().clientLeft(now, request.id()));
    }

    // ---- Answers ----

    /**
     * Answers with a worker's result.
     *
     * @param ranUs how long the job ran, microseconds
     */
    void serve(ClientRequest request, String result, long ranUs) {
        answer(
                request,
                RequestListener.Answer.SERVED,
                ranUs,
                () -> request.client().served(result));
    }

    /** Rejects a request; a retry does no harm. A Retry-After of 0 microseconds is omitted. */
    void reject(ClientRequest request, long retryAfterUs) {
        answer(
                request,
                RequestListener.Answer.REJECTED,
                0,
                () -> request.client().localReply(retryAfterUs));
    }

    /** Rejects a request with the node's own Retry-After. */
    void rejectLocally(ClientRequest request) {
        reject(request, settings.retryAfterUs());
    }

    /** Fails a request, which may have run. */
    void fail(ClientRequest request) {
        answer(request, RequestListener.Answer.FAILED, 0, () -> request.client().failed());
    }

    /** Ends the long result that is the answer of an open request. */
    void finishResult(ClientRequest request, boolean complete) {
        final ResultStream result = request.result();
        answer(
                request,
                complete ? RequestListener.Answer.SERVED : RequestListener.Answer.FAILED,
                0,
                () -> result.finish(complete));
    }

    /**
     * Answers a request that cannot be sent again, without consulting the dispatcher. Otherwise the
     * dispatcher could choose further workers one by one, and each of these attempts would end as
     * cancelled before a byte is sent.
     */
    void answerUnreplayable(ClientRequest request) {
        if (request.mayHaveRun()) {
            fail(request);
        } else {
            rejectLocally(request);
        }
    }

    /** Sends a client its answer; the only method that does so. */
    private void answer(
            ClientRequest request, RequestListener.Answer answer, long ranUs, Runnable send) {
        if (request.isClosed()) {
            // The client may have left in the same turn; a second answer must not happen.
            context.invariant().check(!request.isAnswered(), "second answer");
            return;
        }
        request.markAnswered();
        try {
            send.run();
        } finally {
            close(request);
        }
        notifyEnded(request, answer, ranUs);
        if (LOG.isLoggable(Level.DEBUG)) {
            logAnswer(request, answer);
        }
        // Checked after the answer is written, because a late answer is better than none.
        context.invariant().check(!request.isLate(context.nowUs()), "late answer");
    }

    private void logAnswer(ClientRequest request, RequestListener.Answer answer) {
        final String word = answer.wireName();
        LogEvent.of("request_answered", "request " + request.requestId() + " answered: " + word)
                .with("request", request.requestId())
                .with("class", request.className())
                .with("outcome", word)
                .with("attempts", request.attemptsStarted())
                .with("ms", (context.nowUs() - request.submittedUs()) / US_PER_MS)
                .log(LOG, Level.DEBUG);
    }

    private void notifyEnded(ClientRequest request, RequestListener.Answer answer, long ranUs) {
        final long nowUs = context.nowUs();
        context.listener()
                .requestEnded(
                        nowUs,
                        request.requestClass(),
                        answer,
                        request.attemptsStarted(),
                        nowUs - request.submittedUs(),
                        ranUs);
    }

    private void close(ClientRequest request) {
        request.close();
        forgetIfDone(request);
        unanswered--;
        // A connection that is established later must not send the request of a client that is
        // answered or has left.
        request.cancelUnsent(attempt -> true, Outcome.CANCELLED);
        request.cancelPartlyWritten();
    }

    /**
     * Removes a request that is done. A request with an event that the dispatcher has not received
     * is kept, because the dispatcher may still act on it.
     */
    void forgetIfDone(ClientRequest request) {
        if (request.isDone()) {
            open.remove(request.id());
            openIds.remove(request.requestId());
            rememberEffect(request);
        }
    }

    /** Called right before an attempt of a request is written. */
    void sending(ClientRequest request) {
        if (!settings.isSafe(request.requestClass())) {
            endedIds.sending(request.requestId());
        }
    }

    /** Keeps the id of a request whose effect must not be repeated while it may last. */
    private void rememberEffect(ClientRequest request) {
        final RequestClass requestClass = settings.requestClass(request.requestClass());
        if (!request.mayHaveRun() || requestClass.idempotency() == Idempotency.SAFE) {
            return;
        }
        final long nowUs = context.nowUs();
        final long lastsUs =
                Math.max(
                        MIN_EFFECT_US,
                        Math.max(requestClass.deadlineUs(), requestClass.deduplicationWindowUs()));
        endedIds.add(request.requestId(), nowUs + lastsUs, nowUs);
    }

    /**
     * The cells in which open keyed requests must be repeated, because their first attempt went
     * there.
     *
     * @param registry the workers
     */
    Set<Integer> boundCells(WorkerRegistry registry) {
        final Set<Integer> cells = new HashSet<>();
        for (final ClientRequest request : open.values()) {
            final RequestClass requestClass = settings.requestClass(request.requestClass());
            if (!request.isClosed()
                    && requestClass.idempotency() == Idempotency.KEYED
                    && requestClass.deduplicationScope() == DeduplicationScope.CELL) {
                request.firstWorker()
                        .ifPresent(worker -> cells.add(registry.listed().get(worker).cell()));
            }
        }
        return cells;
    }
}
