package cresschute.node;

import java.util.concurrent.Future;

/** One attempt of a req at a backend. */
final class Fetch {
    final Req req;
    final int number;
    final int backend;
    final long sentUs;
    CoreWatcher.FetchWatch watch;
    Backends.Call call;
    Future<?> giveUp;
    boolean ended;

    Fetch(Req req, int number, int backend, long sentUs) {
        this.req = req;
        this.number = number;
        this.backend = backend;
        this.sentUs = sentUs;
    }
}
