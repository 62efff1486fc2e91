package cresschute.node;

/**
 * Answers what is still owed when the process ends: a request that a worker has, or may have had,
 * fails unless its class may be repeated freely; what surely never ran is rejected. Owns no state.
 * Call from the event loop.
 */
final class ShutdownAnswers {

    private final LoopContext context;
    private final ActiveSettings settings;
    private final OpenRequests requests;

    /** Answers these requests by these settings. */
    ShutdownAnswers(LoopContext context, ActiveSettings settings, OpenRequests requests) {
        this.context = context;
        this.settings = settings;
        this.requests = requests;
    }

    /** Answers all that is owed after so many microseconds, and at once whatever is taken later. */
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
        if (isHarmlessToRepeat(request) && !request.hasLongResult()) {
            requests.rejectLocally(request);
        } else {
            requests.fail(request);
        }
    }

    private boolean isHarmlessToRepeat(ClientRequest request) {
        return settings.isSafe(request.requestClass())
                || (!request.mayHaveRun() && !request.isOnWire());
    }
}
