package cresschute.dispatch;

/**
 * A class of requests.
 *
 * @param worth value of one request answered in time
 * @param aimUs an answer is in time within this plus {@code aimStretch} times the job's running time
 * @param deadlineUs when clients give up
 * @param repeatWindowUs keyed: how long repeats are dropped, from the first send that might have run
 * @param placement the only workers that it may be sent to
 * @param maxAttempts sends for one request at the most, within those that {@link Limits} allow
 */
public record RequestClass(double worth, long aimUs, double aimStretch, long deadlineUs, Effect effect,
    RepeatScope scope, long repeatWindowUs, Placement placement,
    int maxAttempts) {

    /** A class with no bound of its own on attempts. */
    public RequestClass(double worth, long aimUs, double aimStretch, long deadlineUs, Effect effect,
        RepeatScope scope, long repeatWindowUs, Placement placement) {
        this(worth, aimUs, aimStretch, deadlineUs, effect, scope, repeatWindowUs, placement,
            Integer.MAX_VALUE);
    }

    public RequestClass {
        Preconditions.require(maxAttempts >= 1, "class maxAttempts");
        Preconditions.require(worth >= 0, "class worth");
        Preconditions.require(aimUs > 0, "class aimUs");
        Preconditions.require(aimStretch >= 0, "class aimStretch");
        Preconditions.require(deadlineUs > 0, "class deadlineUs");
        Preconditions.require(effect != null, "class effect");
        Preconditions.require(scope != null, "class scope");
        Preconditions.require(repeatWindowUs >= 0, "class repeatWindowUs");
        Preconditions.require(placement != null, "class placement");
    }
}
