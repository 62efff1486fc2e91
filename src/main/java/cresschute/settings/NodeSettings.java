package cresschute.settings;

import cresschute.dispatch.DispatchSettings;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Typed settings of a node, from a settings script that passed all checks.
 *
 * @param seed seed of the random number generator, or null for a new seed at each start
 * @param dispatch settings of the dispatcher; its zones, kinds and classes are indexes into the
 *     lists of names here
 * @param classes names of the request classes
 * @param zones names of the zones
 * @param kinds names of the kinds of worker
 * @param workers the fixed worker list, or the initial list if a discovery service is configured
 * @param discovery address of the discovery service, or null if the worker list is fixed
 * @param maxFileDescriptors maximum number of open file descriptors of the process
 * @param logFormat {@code text} or {@code json}
 * @param logLevel {@code debug}, {@code info}, {@code warning} or {@code error}
 * @param controlSocket path of the control socket, or null if consoles cannot connect
 * @param stateFolder path of the folder for stored state, or null if no state is stored
 * @param bodies memory limits of streamed bodies, or null if no class allows streaming
 * @param peers the other dispatchers, or null if no in-flight counts are exchanged
 * @param formattedScript the settings in force as a script, defaults included
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
     * Settings of the gossip exchange with the other dispatchers.
     *
     * @param listen UDP address on which this dispatcher receives datagrams
     * @param addresses UDP addresses of the other dispatchers
     * @param keyFile path of the file with the key that all dispatchers share
     * @param bytesPerS maximum send rate of this dispatcher, bytes per second
     */
    public record Peers(
            InetSocketAddress listen,
            List<InetSocketAddress> addresses,
            String keyFile,
            long bytesPerS) {}

    /**
     * Memory limits of streamed bodies, in bytes.
     *
     * @param classes limits of each request class, in the order of the classes
     */
    public record Bodies(
            long budgetBytes,
            long windowBytes,
            long maxLentBytes,
            long maxSpoolBytes,
            long maxPerClientBytes,
            List<ClassBodies> classes) {}

    /**
     * Body limits of one request class.
     *
     * @param maxBodyBytes longest request body, bytes
     * @param minRateBytesPerS lowest transfer rate, bytes per second, measured over {@code stallUs}
     * @param stallUs longest time without a byte transferred, microseconds
     * @param streamsResults whether workers may stream results
     * @param deadlineToFirstByte whether the deadline of a streamed result applies to its first
     *     byte rather than its last
     */
    public record ClassBodies(
            long maxBodyBytes,
            long minRateBytesPerS,
            long stallUs,
            boolean streamsResults,
            boolean deadlineToFirstByte) {}

    /** One worker of the list. */
    public record WorkerEntry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            double weight) {}
}
