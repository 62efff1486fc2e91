package cresschute.dispatch;

/**
 * The stated behaviour of a worker that has just started: sent more than {@code overloadFactor} times its
 * capacity of the moment for {@code tipAfterUs}, it falls over.
 */
public record ColdStart(double fromShare, long warmWithinUs, double overloadFactor, long tipAfterUs) {

    /** Slack for chance in the bound of a cold worker: roots of the stated jobs, and jobs besides. */
    private static final double CHANCE_SLACK = 2;

    public ColdStart {
        Preconditions.require(fromShare > 0 && fromShare <= 1, "coldStart fromShare");
        Preconditions.require(warmWithinUs >= 0, "coldStart warmWithinUs");
        Preconditions.require(overloadFactor > 0, "coldStart overloadFactor");
        Preconditions.require(tipAfterUs >= 0, "coldStart tipAfterUs");
    }

    /**
     * Jobs of mean work within {@code tipAfterUs} beyond which a cold worker falls, with the slack for
     * chance.
     *
     * @param stated how many of them {@code overloadFactor} times its capacity of the moment are
     */
    public double jobsBorne(double stated) {
        return stated + CHANCE_SLACK * (Math.sqrt(stated) + 1);
    }
}
