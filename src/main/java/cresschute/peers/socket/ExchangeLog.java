package cresschute.peers.socket;

import cresschute.logs.LogEvent;
import cresschute.peers.LoadExchange;
import cresschute.peers.PeerState;
import cresschute.peers.PeerTable;
import cresschute.peers.RejectionReason;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** The log lines of the exchange; what the network can cause in numbers is logged now and then. */
public final class ExchangeLog implements LoadExchange.Listener {

    private static final Logger LOG = System.getLogger("cresschute.peers");

    /** The shortest time between two lines of one refusal, us. */
    static final long REFUSAL_INTERVAL_US = 60_000_000;

    /** How often the figures are logged, us. */
    static final long STATUS_INTERVAL_US = 60_000_000;

    private static final class Count {
        private long count;
        private long loggedUs;
    }

    private final String node;
    private final Map<RejectionReason, Count> refusals = new EnumMap<>(RejectionReason.class);
    private final Count failures = new Count();
    private Map<Integer, PeerState> states = new HashMap<>();
    private final Map<Integer, InetSocketAddress> addresses = new HashMap<>();
    private Boolean complete;
    private long statusUs;
    private long sentMessages;
    private long sentBytes;
    private long takenMessages;

    /** A log of the exchange of the node with this name. */
    public ExchangeLog(String node) {
        this.node = node;
    }

    /** Datagrams refused for this reason so far. */
    public long refused(RejectionReason refusal) {
        final Count counted = refusals.get(refusal);
        return counted == null ? 0 : counted.count;
    }

    private long refusedInAll() {
        return refusals.values().stream().mapToLong(each -> each.count).sum();
    }

    void refused(long nowUs, RejectionReason refusal, InetSocketAddress from) {
        final Count counted = refusals.computeIfAbsent(refusal, unseen -> new Count());
        if (isDue(counted, nowUs)) {
            LogEvent.of(
                            "peer_message_refused",
                            "message from "
                                    + text(from)
                                    + " refused: "
                                    + refusal.word()
                                    + " ("
                                    + counted.count
                                    + " so far)")
                    .with("reason", refusal.word())
                    .with("from", text(from))
                    .with("count", counted.count)
                    .log(LOG, Level.WARNING);
        }
    }

    /** The socket itself failed. */
    void failed(long nowUs, String what, Throwable cause) {
        if (isDue(failures, nowUs)) {
            LogEvent.of(
                            "peer_socket_failed",
                            what + ": " + cause.getMessage() + " (" + failures.count + " so far)")
                    .with("detail", String.valueOf(cause.getMessage()))
                    .with("count", failures.count)
                    .log(LOG, Level.WARNING);
        }
    }

    /** Counts one more; whether it is to be logged. */
    private static boolean isDue(Count counted, long nowUs) {
        counted.count++;
        if (counted.count > 1 && nowUs - counted.loggedUs < REFUSAL_INTERVAL_US) {
            return false;
        }
        counted.loggedUs = nowUs;
        return true;
    }

    void sent(long bytes) {
        sentMessages++;
        sentBytes += bytes;
    }

    void taken(int sender, InetSocketAddress from) {
        takenMessages++;
        addresses.put(sender, from);
    }

    /** Logs what has changed since the last look. */
    void look(long nowUs, PeerTable peers) {
        final Map<Integer, PeerState> now = peers.states(nowUs);
        now.forEach(
                (sender, state) -> {
                    if (states.get(sender) != state) {
                        peerState(sender, states.get(sender), state);
                    }
                });
        states = now;
        addresses.keySet().retainAll(now.keySet());
        final boolean isComplete = peers.isComplete(nowUs);
        if (complete == null || complete != isComplete) {
            complete = isComplete;
            LogEvent.of(
                            "peer_view",
                            isComplete
                                    ? "peers' counts are whole: workers are not probed"
                                    : "peers' counts are not whole: workers are probed")
                    .with("complete", isComplete)
                    .with("missing", peers.missing())
                    .log(LOG, Level.INFO);
        }
        if (nowUs - statusUs >= STATUS_INTERVAL_US) {
            status(nowUs, peers);
        }
    }

    private void peerState(int sender, PeerState before, PeerState state) {
        LogEvent.of("peer_state", "peer " + name(sender) + " is " + state.word())
                .with("peer", name(sender))
                .with("address", text(addresses.get(sender)))
                .with("state", state.word())
                .with("before", before == null ? "missing" : before.word())
                .log(
                        LOG,
                        state == PeerState.ALIVE || state == PeerState.JOINING
                                ? Level.INFO
                                : Level.WARNING);
    }

    private void status(long nowUs, PeerTable peers) {
        statusUs = nowUs;
        LogEvent.of(
                        "peer_status",
                        "node "
                                + node
                                + ": "
                                + sentMessages
                                + " messages and "
                                + sentBytes
                                + " bytes sent, "
                                + takenMessages
                                + " messages taken, "
                                + refusedInAll()
                                + " refused, "
                                + peers.missing()
                                + " peers missing")
                .with("messages_sent", sentMessages)
                .with("bytes_sent", sentBytes)
                .with("messages_taken", takenMessages)
                .with("refused", refusedInAll())
                .with("missing", peers.missing())
                .log(LOG, Level.INFO);
    }

    @Override
    public void keyCollision(String worker, String other) {
        LogEvent.of(
                        "worker_key_collision",
                        "workers "
                                + worker
                                + " and "
                                + other
                                + " have the same key: both are probed")
                .with("worker", worker)
                .with("other", other)
                .log(LOG, Level.WARNING);
    }

    @Override
    public void distrusted(int sender, long forUs) {
        LogEvent.of(
                        "peer_distrusted",
                        "peer "
                                + name(sender)
                                + " states more than workers report; "
                                + "distrusted for "
                                + forUs / 1_000_000
                                + " s")
                .with("peer", name(sender))
                .with("address", text(addresses.get(sender)))
                .with("seconds", forUs / 1_000_000)
                .log(LOG, Level.WARNING);
    }

    /** A peer as logs name it: the hash of its name. */
    private static String name(int sender) {
        return String.format("%08x", sender);
    }

    static String text(InetSocketAddress address) {
        return address == null
                ? ""
                : address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
