package cresschute.node;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Future;

/**
 * A client's request: owed one answer until closed, held until its attempts have ended and the
 * module knows.
 */
public final class ClientRequest {
    final int id;
    final RequestContent content;
    final String className;
    final int requestClass;
    final long takenUs;
    long dueUs;
    final long deadlineUs;
    final ResponseListener client;
    Future<?> overdue;
    int attemptsStarted;

    /** Where its first attempt went, or -1. */
    int firstWorker = -1;

    final Set<Attempt> out = new LinkedHashSet<>();

    /** The attempt whose long result is on its way to the client, or null, and what it goes by. */
    Attempt streaming;

    ResultStream result;
    int pendingEvents;

    /** Whether an attempt of it has ended that may have had its effect. */
    boolean mayHaveRun;

    boolean closed;
    boolean answered;

    ClientRequest(
            int id,
            RequestContent content,
            String className,
            int requestClass,
            long takenUs,
            long dueUs,
            long deadlineUs,
            ResponseListener client) {
        this.id = id;
        this.content = content;
        this.className = className;
        this.requestClass = requestClass;
        this.takenUs = takenUs;
        this.dueUs = dueUs;
        this.deadlineUs = deadlineUs;
        this.client = client;
    }
}
