package cresschute.node;

/**
 * The times that a node keeps on its connections. A reload applies all of them at once. Immutable.
 *
 * @param connectUs the timeout for connecting to a worker, us
 * @param idleUs the time after which workers close an idle connection, us
 * @param drainGraceUs how long requests may still be sent to a worker after its drain counts as
 *     notified, us
 */
public record NodeTimeouts(long connectUs, long idleUs, long drainGraceUs) {

    /** The grace of a drain where the settings have none, us. */
    public static final long DEFAULT_DRAIN_GRACE_US = 400_000;
}
