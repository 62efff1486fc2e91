package cresschute.node;

import java.util.concurrent.Future;

/** A client's req: owed one answer until closed, held until its last fetch has ended. */
public final class Req {
    final int id;
    final ReqContent content;
    final long dueUs;
    final ReqClient client;
    Future<?> overdue;
    int fetchesStarted;
    int fetchesOut;
    boolean closed;
    boolean answered;

    Req(int id, ReqContent content, long dueUs, ReqClient client) {
        this.id = id;
        this.content = content;
        this.dueUs = dueUs;
        this.client = client;
    }
}
