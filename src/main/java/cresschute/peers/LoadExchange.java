package cresschute.peers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One dispatcher's endpoint of the gossip protocol by which the dispatchers of a site learn each
 * other's attempts in flight. It counts its own attempts, decides when to send which message,
 * receives the messages of the others, and tells how many requests a worker has from all
 * dispatchers.
 *
 * <p>Life cycle: created at the start of the process, whose time is its incarnation; polled a few
 * times each 250 ms; {@link #leave} sends the last message. Not thread-safe, and without clock,
 * thread or socket: a driver makes all calls on one thread, with a time in microseconds that never
 * goes backwards.
 */
public final class LoadExchange {

    private final WorkerKeys keys;
    private final InFlightCounts counts = new InFlightCounts();
    private final LoadGossiper gossiper;
    private final PeerTable peers;
    private final PeerLoadView view;

    /**
     * Names by key of listed workers whose counts were received since the last {@link
     * #takeRefreshed}, in the order of the first receipt.
     */
    private final Map<Integer, String> refreshed = new LinkedHashMap<>();

    /**
     * Creates the exchange of a dispatcher that starts now.
     *
     * @param nowUs its incarnation, microseconds of Unix time
     */
    public LoadExchange(ExchangeSettings settings, long nowUs, ExchangeListener listener) {
        keys = new WorkerKeys(listener::keyCollision);
        gossiper = new LoadGossiper(settings, counts, nowUs);
        peers = new PeerTable(settings.name(), settings.peers(), nowUs);
        view = new PeerLoadView(keys, counts, peers, listener);
    }

    /** The endpoint list contains this worker. */
    public void workerListed(String worker) {
        keys.register(worker);
    }

    /** An attempt at this worker started. */
    public void attemptStarted(String worker) {
        counts.attemptStarted(keys.register(worker));
    }

    /** An attempt at this worker ended. */
    public void attemptEnded(String worker) {
        counts.attemptEnded(keys.register(worker));
    }

    /** Returns the message to send to every peer now; empty if none is due. */
    public Optional<LoadMessage> poll(long nowUs) {
        return gossiper.poll(nowUs);
    }

    /**
     * Returns the last message, which announces that this dispatcher stops; empty if it exceeds the
     * available byte budget now.
     */
    public Optional<LoadMessage> leave(long nowUs) {
        return gossiper.leave(nowUs);
    }

    /**
     * Receives an authentic message.
     *
     * @throws RejectedMessageException if the message is rejected and changes nothing, with the
     *     reason
     */
    public void receive(long nowUs, LoadMessage message) throws RejectedMessageException {
        for (final int key : peers.receive(nowUs, message)) {
            keys.nameOf(key).ifPresent(name -> refreshed.put(key, name));
        }
    }

    /**
     * Returns the workers whose counts were received since the last call and for which the view may
     * answer. A driver then reads their load with {@link #outstanding}.
     */
    public List<String> takeRefreshed(long nowUs) {
        final List<String> names = new ArrayList<>();
        refreshed.forEach(
                (key, name) -> {
                    if (view.answersFor(nowUs, key)) {
                        names.add(name);
                    }
                });
        refreshed.clear();
        return names;
    }

    /**
     * Returns the number of requests that all dispatchers have in flight at a worker; empty if the
     * worker's load has to be queried.
     */
    public OptionalInt outstanding(long nowUs, String worker) {
        return view.outstanding(nowUs, worker);
    }

    /**
     * Handles a worker's load report.
     *
     * @param outstanding number of requests at the worker; negative if the report does not contain
     *     it
     */
    public void loadReported(long nowUs, String worker, double outstanding) {
        view.loadReported(nowUs, worker, outstanding);
    }

    /** The other dispatchers. */
    public PeerTable peers() {
        return peers;
    }
}
