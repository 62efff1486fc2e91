package cresschute.node;

import cresschute.dispatch.Worker;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;

/** One attempt of a req at a backend. */
final class Fetch {
    final Req req;
    final int number;
    final int backend;
    final long sentUs;
    /** When its time is up, us. */
    final long deadlineUs;
    /** Where it goes, and the process that was listed there when it was sent. */
    final InetSocketAddress addr;
    final long processStartedUs;
    CoreWatcher.FetchWatch watch;
    Backends.Call call;
    Future<?> giveUp;
    boolean ended;

    Fetch(Req req, int number, Worker backend, InetSocketAddress addr, long sentUs, long deadlineUs) {
        this.req = req;
        this.number = number;
        this.backend = backend.id();
        this.addr = addr;
        this.processStartedUs = backend.startedAtUs();
        this.sentUs = sentUs;
        this.deadlineUs = deadlineUs;
    }
}
