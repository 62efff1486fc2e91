package cresschute.testbed;

import com.sun.management.ThreadMXBean;
import com.sun.tools.attach.AttachNotSupportedException;
import com.sun.tools.attach.VirtualMachine;
import java.io.BufferedReader;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.management.MBeanServerConnection;
import javax.management.remote.JMXConnector;
import javax.management.remote.JMXConnectorFactory;
import javax.management.remote.JMXServiceURL;

/** A node in a separate process, whose memory is measured from outside. */
public final class NodeProcess implements AutoCloseable {

    /**
     * Memory in use: by objects (after a collection where one was requested) and by direct buffers,
     * bytes.
     */
    public record Memory(long heap, long direct) {}

    /** The maximum time until a node listens, s. */
    private static final long MAX_START_S = 60;

    private final Process process;
    private final InetSocketAddress address;
    private final JMXConnector connector;
    private final MemoryMXBean heap;
    private final BufferPoolMXBean direct;
    private final ThreadMXBean threads;

    /** Starts the node and returns when it listens. */
    public NodeProcess(Path script, List<String> options) throws IOException {
        final List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        // With this setting, Netty allocates its direct memory through the JDK, which counts it.
        command.add("-Dio.netty.maxDirectMemory=0");
        command.addAll(options);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "cresschute.cli.Main",
                        "serve",
                        "--settings",
                        script.toString()));
        process = new ProcessBuilder(command).start();
        // A blocked read cannot be interrupted. A node that does not listen in time is killed,
        // which ends the read.
        final CompletableFuture<Void> listening = new CompletableFuture<>();
        listening
                .orTimeout(MAX_START_S, TimeUnit.SECONDS)
                .whenComplete(
                        (done, late) -> {
                            if (late != null) {
                                process.destroyForcibly();
                            }
                        });
        final Matcher reported =
                Pattern.compile("listens on /127\\.0\\.0\\.1:([0-9]+)").matcher("");
        final BufferedReader log = process.errorReader();
        String line = log.readLine();
        final StringBuilder seen = new StringBuilder();
        while (line != null && !reported.reset(line).find()) {
            seen.append(line).append('\n');
            line = log.readLine();
        }
        listening.complete(null);
        if (line == null) {
            throw new IOException("the node did not start: " + seen);
        }
        address = new InetSocketAddress("127.0.0.1", Integer.parseInt(reported.group(1)));
        // Drains the log, so that the node never blocks on writing to it.
        final Thread reader = new Thread(() -> log.lines().forEach(later -> {}), "lab-node-log");
        reader.setDaemon(true);
        reader.start();
        try {
            final VirtualMachine virtualMachine =
                    VirtualMachine.attach(Long.toString(process.pid()));
            final String at = virtualMachine.startLocalManagementAgent();
            virtualMachine.detach();
            connector = connect(at);
        } catch (AttachNotSupportedException e) {
            process.destroyForcibly();
            throw new IOException(
                    "cannot attach to the node to measure its memory: " + e.getMessage(), e);
        }
        final MBeanServerConnection beans = connector.getMBeanServerConnection();
        heap = ManagementFactory.getPlatformMXBean(beans, MemoryMXBean.class);
        threads =
                ManagementFactory.newPlatformMXBeanProxy(
                        beans, ManagementFactory.THREAD_MXBEAN_NAME, ThreadMXBean.class);
        direct =
                ManagementFactory.getPlatformMXBeans(beans, BufferPoolMXBean.class).stream()
                        .filter(each -> each.getName().equals("direct"))
                        .findFirst()
                        .orElseThrow();
    }

    @SuppressWarnings("BanJNDI") // The URL is that of the process started here.
    private static JMXConnector connect(String url) throws IOException {
        return JMXConnectorFactory.connect(new JMXServiceURL(url));
    }

    /** The address on which the node listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Memory in use now, including unreachable objects. */
    public Memory memory() {
        return new Memory(heap.getHeapMemoryUsage().getUsed(), direct.getMemoryUsed());
    }

    /** Memory in use right after a collection, so that unreachable objects are not counted. */
    public Memory memoryHeld() {
        heap.gc();
        return memory();
    }

    /** Bytes that the live threads of the node have allocated so far. */
    public long allocated() {
        long sum = 0;
        for (final long each : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
            sum += Math.max(0, each);
        }
        return sum;
    }

    /** CPU time that the node has used, ns. */
    public long cpuNs() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos();
    }

    @Override
    public void close() throws IOException {
        try {
            connector.close();
        } finally {
            process.destroyForcibly();
        }
    }
}
