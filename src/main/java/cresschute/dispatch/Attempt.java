package cresschute.dispatch;

/** One send that has not ended. */
final class Attempt {
    final int number;
    final WorkerInstance node;
    final long sentUs;
    long startReportedAtUs;
    double fractionDoneAtStartReport;
    long lastProgressUs;
    boolean late;
    boolean silent;
    boolean still;

    /**
     * Notes a word of its progress: it is heard, and the first tells when it began and how far it
     * got.
     */
    void heard(long nowUs, double fractionDone) {
        lastProgressUs = nowUs;
        still = false;
        if (startReportedAtUs == 0) {
            startReportedAtUs = nowUs;
            fractionDoneAtStartReport = fractionDone;
        }
    }

    Attempt(int number, WorkerInstance node, long sentUs) {
        this.number = number;
        this.node = node;
        this.sentUs = sentUs;
        this.lastProgressUs = sentUs;
    }
}
