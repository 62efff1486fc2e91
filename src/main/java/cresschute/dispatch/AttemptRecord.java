package cresschute.dispatch;

/** One attempt of a request at a worker, from its send to its end. */
final class AttemptRecord {

    /**
     * Value of {@link #startReportedAtUs} before the first progress report; the dispatcher's clock
     * is always above it.
     */
    private static final long NOT_REPORTED = 0;

    private final int number;
    private final WorkerInstance worker;
    private final long sentUs;
    private long startReportedAtUs = NOT_REPORTED;
    private double fractionDoneAtStartReport;
    private long lastProgressUs;
    private boolean late;
    private boolean unresponsive;
    private boolean stalled;

    AttemptRecord(int number, WorkerInstance worker, long sentUs) {
        this.number = number;
        this.worker = worker;
        this.sentUs = sentUs;
        this.lastProgressUs = sentUs;
    }

    /** Number of this attempt within its request, from 0. */
    int number() {
        return number;
    }

    WorkerInstance worker() {
        return worker;
    }

    long sentUs() {
        return sentUs;
    }

    /**
     * Records a progress report. The first one also sets the start time of the job.
     *
     * @param fractionDone fraction of the job that is done, from 0 to 1
     */
    void progressReported(long nowUs, double fractionDone) {
        lastProgressUs = nowUs;
        stalled = false;
        if (startReportedAtUs == NOT_REPORTED) {
            startReportedAtUs = nowUs;
            fractionDoneAtStartReport = fractionDone;
        }
    }

    boolean hasReportedStart() {
        return startReportedAtUs != NOT_REPORTED;
    }

    /** Time of the first progress report, us; valid only if {@link #hasReportedStart}. */
    long startReportedAtUs() {
        return startReportedAtUs;
    }

    /** Fraction of the job that was done at the first progress report. */
    double fractionDoneAtStartReport() {
        return fractionDoneAtStartReport;
    }

    /** Time of the last progress report, us; the send time before the first report. */
    long lastProgressUs() {
        return lastProgressUs;
    }

    /** Returns whether the attempt was counted as late before its end. */
    boolean isLate() {
        return late;
    }

    void markLate() {
        late = true;
    }

    /** Returns whether this attempt caused its worker to be marked unresponsive for the class. */
    boolean isUnresponsive() {
        return unresponsive;
    }

    void markUnresponsive() {
        unresponsive = true;
    }

    /** Returns whether a check found that the attempt's progress reports have stopped. */
    boolean isStalled() {
        return stalled;
    }

    void markStalled() {
        stalled = true;
    }
}
