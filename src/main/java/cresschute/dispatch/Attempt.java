package cresschute.dispatch;

/** One send that has not ended. */
final class Attempt {
    final int number;
    final Node node;
    final long sentUs;
    long toldAtUs;
    double toldShare;
    long heardAtUs;
    boolean late;
    boolean silent;
    boolean still;

    /** Notes a word of its progress: it is heard, and the first tells when it began and how far it got. */
    void heard(long nowUs, double shareDone) {
        heardAtUs = nowUs;
        still = false;
        if (toldAtUs == 0) {
            toldAtUs = nowUs;
            toldShare = shareDone;
        }
    }

    Attempt(int number, Node node, long sentUs) {
        this.number = number;
        this.node = node;
        this.sentUs = sentUs;
        this.heardAtUs = sentUs;
    }
}
