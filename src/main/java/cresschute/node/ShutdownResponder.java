package cresschute.node;

/**
 * Answers the requests that are still open when the process ends. A request is rejected if its
 * class is safe to retry, or if it certainly never ran and no byte of it is on the wire. All other
 * requests, and those whose answer is a long result, fail. Stateless; call on the event loop.
 */
final class ShutdownResponder {

    private final LoopContext context;
    private final ActiveSettings settings;
    private final OpenRequests requests;

    /** Creates a responder for these requests. */
    ShutdownResponder(LoopContext context, ActiveSettings settings, OpenRequests requests) {
        this.context = context;
        this.settings = settings;
        this.requests = requests;
    }

    /**
     * After this delay, microseconds, answers all open requests; requests accepted later are
     * answered immediately.
     */
    void answerAllAfter(long delayUs) {
        context.schedule(
                delayUs,
                () -> {
                    requests.rejectNew();
                    requests.all().forEach(this::answer);
                });
    }

    private void answer(ClientRequest request) {
        if (request.isClosed()) {
            return;
        }
        requests.reportClosed(request);
        request.cancelResult();
        if (isSafeToRetry(request) && !request.hasLongResult()) {
            requests.rejectLocally(request);
        } else {
            requests.fail(request);
        }
    }

    private boolean isSafeToRetry(ClientRequest request) {
        return settings.isSafe(request.requestClass())
                || (!request.mayHaveRun() && !request.isOnWire());
    }
}
