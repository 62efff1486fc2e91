package cresschute.settings;

import cresschute.dispatch.DispatchSettings;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The typed settings of a script that passed all checks.
 *
 * @param seed for random choices, or null for a new one at each start
 * @param dispatch the settings of the dispatcher; its zones, kinds and classes are indexes of the
 *     names here
 * @param classes the classes' names
 * @param zones the zones' names
 * @param kinds the names of the kinds of worker
 * @param workers the fixed list, or with discovery the list to begin with
 * @param discovery where the discovery service listens, or null where the list is fixed
 * @param maxFileDescriptors file descriptors that the process may hold
 * @param logFormat {@code text} or {@code json}
 * @param logLevel {@code debug}, {@code info}, {@code warning} or {@code error}
 * @param controlSocket the control socket's file, or null
 * @param stateFolder the folder for state, or null
 * @param bodies memory for streamed bodies, or null where no class allows any
 * @param peers the other dispatchers, or null where no counts are exchanged
 * @param formattedScript the settings in force as a script of their own, with all that holds
 *     without being stated
 */
public record NodeSettings(
        String name,
        InetSocketAddress listen,
        Long seed,
        DispatchSettings dispatch,
        List<String> classes,
        List<String> zones,
        List<String> kinds,
        List<WorkerEntry> workers,
        InetSocketAddress discovery,
        long connectTimeoutUs,
        long idleTimeoutUs,
        int maxFileDescriptors,
        String logFormat,
        String logLevel,
        String controlSocket,
        String stateFolder,
        Bodies bodies,
        Peers peers,
        String formattedScript) {

    /**
     * The exchange with the other dispatchers.
     *
     * @param listen where this one takes their datagrams
     * @param addresses where each of them listens
     * @param keyFile the file of the key that all of them share
     * @param bytesPerS bytes a second that this one sends at the most
     */
    public record Peers(
            InetSocketAddress listen,
            List<InetSocketAddress> addresses,
            String keyFile,
            long bytesPerS) {}

    /**
     * Memory for streamed bodies, all in bytes.
     *
     * @param classes what each class allows, in their order
     */
    public record Bodies(
            long budgetBytes,
            long windowBytes,
            long maxLentBytes,
            long maxSpoolBytes,
            long maxPerClientBytes,
            List<ClassBodies> classes) {}

    /**
     * What a class allows of bodies.
     *
     * @param maxBodyBytes bytes
     * @param minRateBytesPerS bytes a second, over the longest stall
     * @param stallUs the longest time without a byte
     * @param streamsResults whether a result may come as it is made
     * @param deadlineToFirstByte whether the deadline of such a result counts to its first byte
     */
    public record ClassBodies(
            long maxBodyBytes,
            long minRateBytesPerS,
            long stallUs,
            boolean streamsResults,
            boolean deadlineToFirstByte) {}

    /** A worker of the list. */
    public record WorkerEntry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            double weight) {}
}
