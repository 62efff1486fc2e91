package cresschute.node;

/**
 * Divides the file descriptors of the process among the parts of the node, so that no part can use
 * up the descriptors of another. Immutable.
 *
 * @param clientConnections connections from clients at a time
 * @param workerConnections connections to workers at a time
 * @param managementCalls calls of the platform's operators at a time; 0 without a management
 *     listener
 */
public record DescriptorBudget(int clientConnections, int workerConnections, int managementCalls) {

    /**
     * Descriptors outside the quotas. An idle process uses 22 of them: standard streams, files of
     * the JVM, class path, selector and listeners. The others are for the connection to discovery
     * and a previous one that is being closed, for the file of the operators' state, and for
     * connections that one read of a listener accepts before others are closed in their favor: 16
     * from clients and one call.
     */
    static final int RESERVED_DESCRIPTORS = 48;

    /** Maximum number of concurrent operators' calls. */
    static final int MAX_MANAGEMENT_CALLS = 32;

    /** Under a small limit, operators' calls may use one in this many descriptors. */
    private static final int MANAGEMENT_CALLS_DIVISOR = 8;

    /** The clients' fraction of all connections. */
    private static final double CLIENT_FRACTION = 0.55;

    /** Minimum number of connections under any limit: one client and one worker. */
    private static final int MIN_CONNECTIONS = 2;

    /**
     * Computes the quotas under a limit.
     *
     * @param descriptors how many descriptors the process may hold
     * @param hasManagement whether the node has a management listener
     */
    static DescriptorBudget of(int descriptors, boolean hasManagement) {
        final int available = Math.max(MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS);
        final int managementCalls =
                hasManagement
                        ? Math.max(
                                1,
                                Math.min(
                                        MAX_MANAGEMENT_CALLS, available / MANAGEMENT_CALLS_DIVISOR))
                        : 0;
        final int connections = Math.max(MIN_CONNECTIONS, available - managementCalls);
        final int clientConnections = (int) (connections * CLIENT_FRACTION);
        return new DescriptorBudget(
                clientConnections, connections - clientConnections, managementCalls);
    }
}
