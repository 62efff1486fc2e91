package cresschute.node;

import cresschute.dispatch.Worker;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;

/** One attempt of a request at a worker. */
final class Attempt {
    final ClientRequest request;
    final int number;
    final int worker;
    final long sentUs;

    /** When its time is up, us. */
    final long deadlineUs;

    /** Where it goes, and the process that was listed there when it was sent. */
    final InetSocketAddress addr;

    final long processStartedUs;
    RequestListener.AttemptObserver watch;
    AttemptCall call;
    Future<?> giveUp;
    boolean ended;

    Attempt(
            ClientRequest request,
            int number,
            Worker worker,
            InetSocketAddress addr,
            long sentUs,
            long deadlineUs) {
        this.request = request;
        this.number = number;
        this.worker = worker.id();
        this.addr = addr;
        this.processStartedUs = worker.startedAtUs();
        this.sentUs = sentUs;
        this.deadlineUs = deadlineUs;
    }
}
