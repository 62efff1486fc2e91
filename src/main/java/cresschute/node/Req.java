package cresschute.node;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Future;

/** A client's req: owed one answer until closed, held until its fetches have ended and the module knows. */
public final class Req {
    final int id;
    final ReqContent content;
    final String className;
    final int requestClass;
    final long takenUs;
    long dueUs;
    final long giveUpUs;
    final ReqClient client;
    Future<?> overdue;
    int fetchesStarted;
    /** Where its first fetch went, or -1. */
    int firstBackend = -1;
    final Set<Fetch> out = new LinkedHashSet<>();
    /** The fetch whose long result is on its way to the client, or null, and what it goes by. */
    Fetch streaming;
    ResultStream result;
    int untold;
    /** Whether a fetch of it has ended that may have had its effect. */
    boolean mayHaveRun;
    boolean closed;
    boolean answered;

    Req(int id, ReqContent content, String className, int requestClass, long takenUs, long dueUs,
        long giveUpUs, ReqClient client) {
        this.id = id;
        this.content = content;
        this.className = className;
        this.requestClass = requestClass;
        this.takenUs = takenUs;
        this.dueUs = dueUs;
        this.giveUpUs = giveUpUs;
        this.client = client;
    }
}
