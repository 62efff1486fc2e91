package cresschute.peers.socket;

import cresschute.logs.LogEvent;
import cresschute.peers.ExchangeListener;
import cresschute.peers.PeerState;
import cresschute.peers.PeerTable;
import cresschute.peers.RejectionReason;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Logs the events of the exchange that operators should know of. Lines that the network can cause
 * in any number are rate-limited and contain a count. Used on the event loop.
 */
public final class ExchangeLog implements ExchangeListener {

    private static final Logger LOG = System.getLogger("cresschute.peers");

    /** The shortest time between two lines of one kind that the network causes, microseconds. */
    static final long MIN_INTERVAL_US = 60_000_000;

    /** Time between two status lines, microseconds. */
    static final long STATUS_INTERVAL_US = 60_000_000;

    /** Counts occurrences and decides which of them to log. */
    private static final class RateLimitedCount {
        private long count;
        private long lastLoggedUs;

        /** Counts an occurrence; returns whether to log it. */
        private boolean increment(long nowUs) {
            count++;
            if (count > 1 && nowUs - lastLoggedUs < MIN_INTERVAL_US) {
                return false;
            }
            lastLoggedUs = nowUs;
            return true;
        }

        private long count() {
            return count;
        }
    }

    private final String node;
    private final Map<RejectionReason, RateLimitedCount> rejections =
            new EnumMap<>(RejectionReason.class);
    private final RateLimitedCount failures = new RateLimitedCount();
    private Map<Integer, PeerState> states = new HashMap<>();
    private final Map<Integer, InetSocketAddress> addresses = new HashMap<>();
    private Optional<Boolean> complete = Optional.empty();
    private long lastStatusUs;
    private long sentMessages;
    private long sentBytes;
    private long receivedMessages;

    /**
     * Creates a log.
     *
     * @param node name of this node
     */
    public ExchangeLog(String node) {
        this.node = node;
    }

    /** Datagrams rejected for this reason so far. */
    public long rejected(RejectionReason reason) {
        final RateLimitedCount counted = rejections.get(reason);
        return counted == null ? 0 : counted.count();
    }

    private long totalRejected() {
        return rejections.values().stream().mapToLong(each -> each.count()).sum();
    }

    /** Counts and logs a rejected datagram. */
    void rejected(long nowUs, RejectionReason reason, InetSocketAddress from) {
        final RateLimitedCount counted =
                rejections.computeIfAbsent(reason, unseen -> new RateLimitedCount());
        if (counted.increment(nowUs)) {
            LogEvent.of(
                            "peer_message_refused",
                            "message from "
                                    + text(from)
                                    + " rejected: "
                                    + reason.word()
                                    + " ("
                                    + counted.count()
                                    + " so far)")
                    .with("reason", reason.word())
                    .with("from", text(from))
                    .with("count", counted.count())
                    .log(LOG, Level.WARNING);
        }
    }

    /** Logs that the socket failed to send or receive. */
    void socketFailed(long nowUs, String failure, Throwable cause) {
        if (failures.increment(nowUs)) {
            LogEvent.of(
                            "peer_socket_failed",
                            failure
                                    + ": "
                                    + cause.getMessage()
                                    + " ("
                                    + failures.count()
                                    + " so far)")
                    .with("detail", String.valueOf(cause.getMessage()))
                    .with("count", failures.count())
                    .log(LOG, Level.WARNING);
        }
    }

    /**
     * Counts a sent message.
     *
     * @param bytes bytes sent to all peers together, headers included
     */
    void messageSent(long bytes) {
        sentMessages++;
        sentBytes += bytes;
    }

    /** Counts an accepted message and remembers its sender's address. */
    void messageReceived(int sender, InetSocketAddress from) {
        receivedMessages++;
        addresses.put(sender, from);
    }

    /**
     * Logs changes of the peers' states and of the completeness since the last call, and the status
     * once a minute.
     */
    void logChanges(long nowUs, PeerTable peers) {
        final Map<Integer, PeerState> now = peers.states(nowUs);
        now.forEach(
                (sender, state) -> {
                    if (states.get(sender) != state) {
                        logState(sender, states.get(sender), state);
                    }
                });
        states = now;
        addresses.keySet().retainAll(now.keySet());
        final boolean isComplete = peers.isComplete(nowUs);
        if (!complete.equals(Optional.of(isComplete))) {
            complete = Optional.of(isComplete);
            LogEvent.of(
                            "peer_view",
                            isComplete
                                    ? "peers' counts are complete: workers are not queried for load"
                                    : "peers' counts are not complete: workers are queried for"
                                            + " load")
                    .with("complete", isComplete)
                    .with("missing", peers.missing())
                    .log(LOG, Level.INFO);
        }
        if (nowUs - lastStatusUs >= STATUS_INTERVAL_US) {
            logStatus(nowUs, peers);
        }
    }

    private void logState(int sender, PeerState before, PeerState state) {
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

    private void logStatus(long nowUs, PeerTable peers) {
        lastStatusUs = nowUs;
        LogEvent.of(
                        "peer_status",
                        "node "
                                + node
                                + ": "
                                + sentMessages
                                + " messages and "
                                + sentBytes
                                + " bytes sent, "
                                + receivedMessages
                                + " messages received, "
                                + totalRejected()
                                + " rejected, "
                                + peers.missing()
                                + " peers missing")
                .with("messages_sent", sentMessages)
                .with("bytes_sent", sentBytes)
                .with("messages_taken", receivedMessages)
                .with("refused", totalRejected())
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
                                + " have the same key: both are queried for load")
                .with("worker", worker)
                .with("other", other)
                .log(LOG, Level.WARNING);
    }

    @Override
    public void distrusted(int sender, long durationUs) {
        LogEvent.of(
                        "peer_distrusted",
                        "peer "
                                + name(sender)
                                + " claims more requests than workers report; its counts are"
                                + " ignored for "
                                + durationUs / 1_000_000
                                + " s")
                .with("peer", name(sender))
                .with("address", text(addresses.get(sender)))
                .with("seconds", durationUs / 1_000_000)
                .log(LOG, Level.WARNING);
    }

    /** The name of a peer in logs: the hash of its name. */
    private static String name(int sender) {
        return String.format("%08x", sender);
    }

    /** Formats an address for logs; empty for null. */
    static String text(InetSocketAddress address) {
        return address == null
                ? ""
                : address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
