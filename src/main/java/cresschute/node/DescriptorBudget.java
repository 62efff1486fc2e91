package cresschute.node;

/**
 * How a node divides the file descriptors that its process may hold, so that none of its parts can
 * take what another one needs.
 *
 * @param clientConnections connections from clients at a time
 * @param workerConnections connections to workers at a time
 * @param managementCalls calls of the platform's operators at a time; 0 where there is no
 *     management listener
 */
record DescriptorBudget(int clientConnections, int workerConnections, int managementCalls) {

    /**
     * Descriptors that are in none of the shares. Of these a process holds 22 at rest: its standard
     * streams, the JVM's files, the class path, the selector and the listeners. The others are for
     * the connection to discovery and an old one of it that is being closed, for the file of the
     * operators' state, and for connections that are accepted in one reading of a listener before
     * any is closed for them: 16 of clients and one caller.
     */
    static final int RESERVED_DESCRIPTORS = 48;

    /** The most calls of operators that are held at a time. */
    static final int MAX_MANAGEMENT_CALLS = 32;

    /**
     * Under a small limit, calls of operators may take one in so many of the descriptors to share.
     */
    private static final int MANAGEMENT_CALLS_DIVISOR = 8;

    /**
     * Clients' part of the rest: up to a third of all carry open requests, and so may the attempts.
     */
    private static final double CLIENT_FRACTION = 0.55;

    /** A client and a worker, where a limit leaves nothing to share. */
    private static final int MIN_CONNECTIONS = 2;

    /** The shares under a limit of the process's descriptors. */
    static DescriptorBudget of(int descriptors, boolean hasManagement) {
        final int shared = Math.max(MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS);
        final int callers =
                hasManagement
                        ? Math.max(
                                1,
                                Math.min(MAX_MANAGEMENT_CALLS, shared / MANAGEMENT_CALLS_DIVISOR))
                        : 0;
        final int connections = Math.max(MIN_CONNECTIONS, shared - callers);
        final int clients = (int) (connections * CLIENT_FRACTION);
        return new DescriptorBudget(clients, connections - clients, callers);
    }
}
