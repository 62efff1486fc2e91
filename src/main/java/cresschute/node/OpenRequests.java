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
 * The requests of this process: each is taken, answered exactly once unless its client leaves,
 * closed, and forgotten once its attempts have ended and the dispatcher knows all of it. Owns the
 * open requests, their ids and the count of answers that are owed. Lives as long as the node; call
 * from the event loop.
 */
final class OpenRequests {

    private static final long US_PER_MS = 1_000;
    private static final Logger LOG = System.getLogger("cresschute.requests");

    private final LoopContext context;
    private final ActiveSettings settings;
    private final Map<Integer, ClientRequest> open = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();
    private int lastId;
    private int unanswered;
    private boolean rejectsNew;

    /** No requests yet, which are taken by these settings. */
    OpenRequests(LoopContext context, ActiveSettings settings) {
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
     * Whether a request under this id of its client's is owed an answer or has attempts in flight.
     */
    boolean isOpen(String requestId) {
        return openIds.contains(requestId);
    }

    /** Requests that are owed an answer. */
    int unanswered() {
        return unanswered;
    }

    /** Rejects whatever is taken from now on. */
    void rejectNew() {
        rejectsNew = true;
    }

    /**
     * Takes a request and notifies the dispatcher.
     *
     * @param content what is sent to workers
     * @param job what the dispatcher knows of it
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

    /** No request stays without an answer, whatever the dispatcher does with it. */
    private void failOverdue(ClientRequest request) {
        failUnanswered(request);
        context.invariant().check(false, "request overdue");
    }

    /**
     * Fails a request that the dispatcher did not answer, and notifies it that nothing is owed any
     * more.
     */
    void failUnanswered(ClientRequest request) {
        reportClosed(request);
        request.cancelResult();
        fail(request);
    }

    /**
     * The client of a request has left: nothing is owed any more. An attempt that has a byte on the
     * wire runs on; one whose connection is still coming up is cancelled.
     */
    void clientLeft(ClientRequest request) {
        if (!request.isClosed()) {
            request.cancelResult();
            reportClosed(request);
            close(request);
            notifyEnded(request, RequestListener.Answer.LEFT, 0);
        }
    }

    /** Gathers for the dispatcher that a request is owed nothing any more. */
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

    /** Rejects; a retry does no harm. Advice of 0 microseconds is none. */
    void reject(ClientRequest request, long retryAfterUs) {
        answer(
                request,
                RequestListener.Answer.REJECTED,
                0,
                () -> request.client().localReply(retryAfterUs));
    }

    /** Rejects with the node's own advice. */
    void rejectLocally(ClientRequest request) {
        reject(request, settings.retryAfterUs());
    }

    /** Fails: it may or may not have run. */
    void fail(ClientRequest request) {
        answer(request, RequestListener.Answer.FAILED, 0, request.client()::failed);
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
     * Answers a request that cannot be sent again, in place of the dispatcher: further attempts
     * would end one by one, each counted as a failure of a worker that saw nothing of it.
     */
    void answerUnreplayable(ClientRequest request) {
        if (request.mayHaveRun()) {
            fail(request);
        } else {
            rejectLocally(request);
        }
    }

    /** The one place where a client gets its answer. */
    private void answer(
            ClientRequest request, RequestListener.Answer answer, long ranUs, Runnable send) {
        if (request.isClosed()) {
            // The client may have left in the same turn; a second answer may not happen.
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
        // Checked once it is written: late is better than never.
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
        // A connection that comes up later must not send for a client that is answered or has left.
        request.cancelUnsent(attempt -> true, Outcome.CANCELLED);
    }

    /**
     * Forgets a request to which nothing more can happen. An event that the dispatcher does not
     * know yet keeps it: the dispatcher may still act for it.
     */
    void forgetIfDone(ClientRequest request) {
        if (request.isDone()) {
            open.remove(request.id());
            openIds.remove(request.requestId());
        }
    }

    /**
     * The cells in which open keyed requests must be repeated, as their first attempt went there.
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
