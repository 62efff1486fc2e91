package cresschute;

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

    Attempt(int number, Node node, long sentUs) {
        this.number = number;
        this.node = node;
        this.sentUs = sentUs;
        this.heardAtUs = sentUs;
    }
}
