package cresschute.dispatch;

import java.util.Locale;

/** Whether the first byte of an attempt may be written now, and if not, why. */
public enum SendDecision {
    /** It may be written. */
    ALLOWED,
    /** The request needs no answer any more, or the dispatcher does not know the attempt. */
    REQUEST_CLOSED,
    /** The request's deadline has passed. */
    DEADLINE_PASSED,
    /** An earlier attempt may have run, and its deduplication window has passed. */
    WINDOW_PASSED,
    /** An earlier attempt of an unsafe request may have run, or may yet. */
    MAY_HAVE_RUN,
    /** The worker takes no new work, has another address or was restarted. */
    WORKER_CHANGED;

    /** The name in logs. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
