package cresschute.peers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One dispatcher's part in the exchange: counts its own attempts, says when to send what, takes in
 * what others send, and gives workers' load. It has no clock, thread or socket: a driver calls it,
 * with a time that never runs backwards.
 */
public final class LoadExchange {

    /** Notified of what operators should know. */
    public interface Listener extends PeerLoadView.DistrustListener {

        /** Two listed workers have the same key: the load of both is asked by probe. */
        void keyCollision(String worker, String other);
    }

    private final WorkerKeys keys;
    private final InFlightCounts counts = new InFlightCounts();
    private final LoadGossiper announcer;
    private final PeerTable peers;
    private final PeerLoadView view;
    private final Map<Integer, String> refreshed = new LinkedHashMap<>();

    /** A dispatcher that starts now; {@code nowUs}, us of Unix time, is its incarnation. */
    public LoadExchange(ExchangeSettings settings, long nowUs, Listener listener) {
        keys = new WorkerKeys(listener::keyCollision);
        announcer = new LoadGossiper(settings, counts, nowUs);
        peers = new PeerTable(settings.name(), settings.peers(), nowUs);
        view = new PeerLoadView(keys, counts, peers, listener);
    }

    /** The list names this worker. */
    public void workerListed(String worker) {
        keys.list(worker);
    }

    /** An attempt at this worker began. */
    public void attemptStarted(String worker) {
        counts.attemptStarted(keys.list(worker));
    }

    /** An attempt at this worker ended. */
    public void attemptEnded(String worker) {
        counts.attemptEnded(keys.list(worker));
    }

    /**
     * The message that is due now, if one is, for every peer; to be asked a few times each 250 ms.
     */
    public Optional<LoadMessage> poll(long nowUs) {
        return announcer.poll(nowUs);
    }

    /** The last message, as this dispatcher stops. */
    public Optional<LoadMessage> leave(long nowUs) {
        return announcer.leave(nowUs);
    }

    /** Takes an authentic message in, or says why it changes nothing. */
    public void receive(long nowUs, LoadMessage message) throws RejectedMessageException {
        for (final int key : peers.receive(nowUs, message)) {
            keys.name(key).ifPresent(name -> refreshed.put(key, name));
        }
    }

    /**
     * Workers about which messages came since the last call and for which the view may answer.
     * Whoever chooses workers should learn their load anew by {@link #outstanding}.
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
     * Requests that all dispatchers have out at a worker, or empty where the worker has to be
     * asked.
     */
    public OptionalInt outstanding(long nowUs, String worker) {
        return view.outstanding(nowUs, worker);
    }

    /** A worker reports that it holds so many requests; a negative number says nothing. */
    public void loadReported(long nowUs, String worker, double outstanding) {
        view.loadReported(nowUs, worker, outstanding);
    }

    /** The other dispatchers. */
    public PeerTable peers() {
        return peers;
    }
}
