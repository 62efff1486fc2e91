package cresschute.testbed.capacity;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks that the machine has the resources for an experiment, before any process starts. */
final class Preflight {

    private static final int OTHER_DESCRIPTORS = 300;

    /**
     * Factor for connections that one side has closed and the other has not noticed yet: more than
     * can be open at a time.
     */
    private static final double CLOSING_CONNECTIONS_FACTOR = 1.5;

    private static final int MAX_WORKER_PROCESSES = 4;
    private static final double MIN_DISPATCHER_MB = 200;
    private static final double STUB_MB = 200;
    private static final double KB_PER_REQUEST = 80;
    private static final double KB_PER_MB = 1_024;
    private static final Pattern DESCRIPTORS =
            Pattern.compile("Max open files\\s+\\S+\\s+([0-9]+)");
    private static final Pattern AVAILABLE = Pattern.compile("MemAvailable:\\s+([0-9]+) kB");

    private Preflight() {}

    /**
     * Checks descriptors, memory and ports.
     *
     * @throws MachineLimitException if the machine lacks one of them
     */
    static void check(CapacityPlan plan) throws IOException {
        checkDescriptors(plan, descriptorLimit());
        checkMemory(plan, number(AVAILABLE, "/proc/meminfo", Long.MAX_VALUE) / KB_PER_MB);
        // Read by lines: the kernel returns such a file only to one read, which must be large
        // enough.
        checkPorts(
                plan, Files.readAllLines(Path.of("/proc/sys/net/ipv4/ip_local_port_range")).get(0));
    }

    private static long number(Pattern pattern, String file, long defaultValue) throws IOException {
        final Matcher found = pattern.matcher(Files.readString(Path.of(file)));
        return found.find() ? Long.parseLong(found.group(1)) : defaultValue;
    }

    /** The hard limit of descriptors of a process. */
    static long descriptorLimit() throws IOException {
        return number(DESCRIPTORS, "/proc/self/limits", Long.MAX_VALUE);
    }

    /**
     * The number of processes to spread the stub workers over, so that none runs out of
     * descriptors.
     */
    static int workerProcesses(CapacityPlan plan, long limit) {
        return (int)
                Math.ceil(
                        workerDescriptors(plan) / (double) Math.max(1, limit - OTHER_DESCRIPTORS));
    }

    /** Descriptors of all workers: a listener each, and the connections of all dispatchers. */
    private static double workerDescriptors(CapacityPlan plan) {
        return plan.workers()
                + CLOSING_CONNECTIONS_FACTOR
                        * plan.dispatchers()
                        * DispatcherProcess.workerConnections(plan);
    }

    static void checkDescriptors(CapacityPlan plan, long limit) {
        final long clientDescriptors =
                OTHER_DESCRIPTORS
                        + (long) plan.dispatchers() * DispatcherProcess.workerConnections(plan);
        final long workerDescriptors =
                OTHER_DESCRIPTORS
                        + (long) Math.ceil(workerDescriptors(plan) / MAX_WORKER_PROCESSES);
        final long needed =
                Math.max(
                        Math.max(workerDescriptors, clientDescriptors),
                        DispatcherProcess.descriptors(plan));
        if (needed > limit) {
            throw new MachineLimitException(
                    "descriptors: one process needs "
                            + needed
                            + ", the hard limit (ulimit -Hn) is "
                            + limit
                            + "; raise it, or lower --running or --workers");
        }
    }

    static void checkMemory(CapacityPlan plan, double availableMb) {
        final double needed =
                plan.dispatchers() * Math.max(MIN_DISPATCHER_MB, plan.memoryMb())
                        + 3 * STUB_MB
                        + plan.running() * KB_PER_REQUEST / KB_PER_MB;
        if (needed > availableMb) {
            throw new MachineLimitException(
                    "memory: "
                            + Math.round(needed)
                            + " MB are needed, "
                            + Math.round(availableMb)
                            + " MB are available");
        }
    }

    /**
     * Checks the local ports: clients reach a dispatcher from one address, one port a connection.
     */
    static void checkPorts(CapacityPlan plan, String range) throws IOException {
        final String[] bounds = range.strip().split("\\s+");
        final long availablePorts = Long.parseLong(bounds[1]) - Long.parseLong(bounds[0]) + 1;
        final long needed = DispatcherProcess.descriptors(plan);
        if (needed > availablePorts) {
            throw new MachineLimitException(
                    "ports: up to "
                            + needed
                            + " connections to one dispatcher, "
                            + availablePorts
                            + " local ports (net.ipv4.ip_local_port_range)");
        }
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.20.0.1"))) {
            if (socket.getLocalPort() == 0) {
                throw new MachineLimitException("ports: no port is free on 127.20.0.1");
            }
        } catch (IOException e) {
            throw new MachineLimitException(
                    "ports: cannot listen on 127.20.0.1: " + e.getMessage());
        }
    }
}
