package cresschute.settings;

import cresschute.settings.script.Position;
import cresschute.settings.script.Values;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/** Checks the block on the exchange with the other dispatchers, by itself and against others. */
final class PeersCheck {

    /** Lower bound of the traffic to one peer: a message without entries, and a few entries. */
    private static final long MIN_BYTES_PER_S_PER_PEER = 100;

    private final StatedBlocks blocks;
    private final List<Problem> problems;
    private final UnaryOperator<String> keyProblem;

    /**
     * A check that adds to the problems.
     *
     * @param keyProblem what is wrong with a key file, by its path; null where nothing is
     */
    PeersCheck(StatedBlocks blocks, List<Problem> problems, UnaryOperator<String> keyProblem) {
        this.blocks = blocks;
        this.problems = problems;
        this.keyProblem = keyProblem;
    }

    void check(Statement peers) {
        checkAddresses(peers, peers.get(PeersSchema.PEERS_ADDRESSES));
        checkRate(peers);
        checkKey(peers);
        checkOtherBlocks(peers);
    }

    private void checkRate(Statement peers) {
        final int count = peers.get(PeersSchema.PEERS_ADDRESSES).size();
        final long bytesPerS = peers.get(PeersSchema.PEERS_BYTES_PER_SECOND);
        if (bytesPerS < MIN_BYTES_PER_S_PER_PEER * count) {
            problem(
                    peers.at(PeersSchema.PEERS_BYTES_PER_SECOND),
                    "peers: bytes_per_second "
                            + bytesPerS
                            + " is below "
                            + MIN_BYTES_PER_S_PER_PEER
                            + " for each of "
                            + count
                            + " peers, which is "
                            + MIN_BYTES_PER_S_PER_PEER * count);
        }
    }

    private void checkKey(Statement peers) {
        final String file = peers.get(PeersSchema.PEERS_KEY_FILE);
        final String fault = keyProblem.apply(file);
        if (fault != null) {
            problem(
                    peers.at(PeersSchema.PEERS_KEY_FILE),
                    "peers: key_file "
                            + Values.quoted(file)
                            + " "
                            + fault
                            + "; it must hold at least "
                            + SettingsFile.MIN_KEY_BYTES
                            + " bytes");
        }
    }

    private void checkOtherBlocks(Statement peers) {
        if (!blocks.single(NodeSchema.LIMITS).get(NodeSchema.LOAD_QUERIES)
                || !blocks.single(WorkerSchema.REPORTS).get(WorkerSchema.REPORTS_LOAD)) {
            problem(
                    peers.at(),
                    "peers: needs limits(probes = True) and reports(load = True); a worker is "
                            + "asked itself wherever the peers' counts are not whole");
        }
        final int count = peers.get(PeersSchema.PEERS_ADDRESSES).size();
        final long dispatchers = blocks.single(NodeSchema.NODE).get(NodeSchema.DISPATCHERS);
        if (dispatchers != count + 1) {
            problem(
                    peers.at(PeersSchema.PEERS_ADDRESSES),
                    "peers: addresses names "
                            + count
                            + " peers, but node has dispatchers = "
                            + dispatchers
                            + "; with this one there are "
                            + (count + 1));
        }
    }

    private void checkAddresses(Statement peers, List<InetSocketAddress> addresses) {
        final Position at = peers.at(PeersSchema.PEERS_ADDRESSES);
        if (addresses.isEmpty()) {
            problem(at, "peers: addresses is empty; leave the block out where there are no peers");
        }
        final InetSocketAddress own = peers.get(PeersSchema.PEERS_LISTEN);
        if (addresses.contains(own)) {
            problem(
                    at,
                    "peers: addresses has "
                            + Values.quoted(IpAddress.format(own))
                            + ", which is this dispatcher's own listen; only the others belong"
                            + " there");
        }
        final Set<InetSocketAddress> seen = new HashSet<>();
        for (final InetSocketAddress each : addresses) {
            if (!seen.add(each)) {
                problem(
                        at,
                        "peers: addresses has " + Values.quoted(IpAddress.format(each)) + " twice");
            }
        }
        if (own.getPort() == 0 || addresses.stream().anyMatch(each -> each.getPort() == 0)) {
            problem(peers.at(), "peers: port 0 is no port that others could send to");
        }
    }

    private void problem(Position at, String message) {
        problems.add(new Problem(at, message));
    }
}
