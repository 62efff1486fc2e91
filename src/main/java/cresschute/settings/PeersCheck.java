package cresschute.settings;

import cresschute.settings.script.Position;
import cresschute.settings.script.Values;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/** Checks the {@code peers} block: its own fields and their consistency with other blocks. */
final class PeersCheck {

    /**
     * Minimum send rate per peer, bytes per second: enough for a message without entries plus a few
     * entries every second.
     */
    private static final long MIN_BYTES_PER_S_PER_PEER = 100;

    private final BlockDeclarations blocks;
    private final List<Problem> problems;
    private final UnaryOperator<String> keyFileProblem;

    /**
     * Creates a check that adds the problems it finds to the given list.
     *
     * @param keyFileProblem checks the key file at a path; returns what is wrong with it, or null
     *     if nothing is
     */
    PeersCheck(
            BlockDeclarations blocks,
            List<Problem> problems,
            UnaryOperator<String> keyFileProblem) {
        this.blocks = blocks;
        this.problems = problems;
        this.keyFileProblem = keyFileProblem;
    }

    void check(BlockDeclaration peers) {
        checkAddresses(peers, peers.get(PeersSchema.PEERS_ADDRESSES));
        checkRate(peers);
        checkKey(peers);
        checkOtherBlocks(peers);
    }

    private void checkRate(BlockDeclaration peers) {
        final int count = peers.get(PeersSchema.PEERS_ADDRESSES).size();
        final long bytesPerS = peers.get(PeersSchema.PEERS_BYTES_PER_SECOND);
        if (bytesPerS < MIN_BYTES_PER_S_PER_PEER * count) {
            addProblem(
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

    private void checkKey(BlockDeclaration peers) {
        final String file = peers.get(PeersSchema.PEERS_KEY_FILE);
        final String problem = keyFileProblem.apply(file);
        if (problem != null) {
            addProblem(
                    peers.at(PeersSchema.PEERS_KEY_FILE),
                    "peers: key_file "
                            + Values.quoted(file)
                            + " "
                            + problem
                            + "; it must hold at least "
                            + SettingsFile.MIN_KEY_BYTES
                            + " bytes");
        }
    }

    private void checkOtherBlocks(BlockDeclaration peers) {
        if (!blocks.single(NodeSchema.LIMITS).get(NodeSchema.LOAD_QUERIES)
                || !blocks.single(WorkerSchema.REPORTS).get(WorkerSchema.REPORTS_LOAD)) {
            addProblem(
                    peers.at(),
                    "peers: needs limits(probes = True) and reports(load = True); workers are"
                            + " queried for load while the peers' counts are incomplete");
        }
        final int count = peers.get(PeersSchema.PEERS_ADDRESSES).size();
        final long dispatchers = blocks.single(NodeSchema.NODE).get(NodeSchema.DISPATCHERS);
        if (dispatchers != count + 1) {
            addProblem(
                    peers.at(PeersSchema.PEERS_ADDRESSES),
                    "peers: addresses names "
                            + count
                            + " peers, but node has dispatchers = "
                            + dispatchers
                            + "; with this one there are "
                            + (count + 1));
        }
    }

    private void checkAddresses(BlockDeclaration peers, List<InetSocketAddress> addresses) {
        final Position at = peers.at(PeersSchema.PEERS_ADDRESSES);
        if (addresses.isEmpty()) {
            addProblem(
                    at,
                    "peers: addresses is empty; omit the block if there are no other dispatchers");
        }
        final InetSocketAddress own = peers.get(PeersSchema.PEERS_LISTEN);
        if (addresses.contains(own)) {
            addProblem(
                    at,
                    "peers: addresses has "
                            + Values.quoted(IpAddress.format(own))
                            + ", which is this dispatcher's own listen; list only the other"
                            + " dispatchers");
        }
        final Set<InetSocketAddress> seen = new HashSet<>();
        for (final InetSocketAddress each : addresses) {
            if (!seen.add(each)) {
                addProblem(
                        at,
                        "peers: addresses has " + Values.quoted(IpAddress.format(each)) + " twice");
            }
        }
        if (own.getPort() == 0 || addresses.stream().anyMatch(each -> each.getPort() == 0)) {
            addProblem(
                    peers.at(),
                    "peers: port 0 is not allowed; the other dispatchers need a fixed port");
        }
    }

    private void addProblem(Position at, String message) {
        problems.add(new Problem(at, message));
    }
}
