package cresschute.node;

/** The client's side of a req, kept by the front that took it: exactly one of these is called, once. */
public interface ReqClient {

    /** Served with the result that a backend made for it. */
    void served(String result);

    /** A synthetic answer: refused, a retry does no harm. Advice of 0 is none. */
    void syntheticAnswer(long retryAfterUs);

    /** Failed: it may or may not have run. */
    void failed();
}
