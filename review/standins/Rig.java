import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Starts nodes with the command of the deploy file, writes the record of a case and ends every
 * process that it started. Arguments of a case: the repository's root, the folder of the case.
 */
final class Rig implements AutoCloseable {

    /** Exit codes; the script makes 1 of {@link #BROKEN}, as Java itself exits with 1 on errors. */
    static final int HELD = 0;

    static final int BROKEN = 10;
    static final int NOT_RUN = 2;

    /** False if the case runs without its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START_NS = System.nanoTime();

    final Path root;
    final Path folder;
    private final BufferedWriter record;
    private final List<Process> processes = new ArrayList<>();

    Rig(String[] args) throws IOException {
        root = Path.of(args[0]);
        record = Files.newBufferedWriter(Path.of(args[1], "record.txt"));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        log("trouble: " + (TROUBLE ? "on" : "off"));
    }

    /** A case; returns the exit code. */
    interface Case {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case and exits with its code. */
    static void main(String[] args, Case body) {
        int code = NOT_RUN;
        try (Rig rig = new Rig(args)) {
            try {
                code = body.run(rig);
            } catch (Exception | AssertionError e) {
                rig.log("the case could not run: " + e);
                e.printStackTrace();
            }
            rig.log(
                    code == HELD
                            ? "result: the rule held"
                            : code == BROKEN ? "result: the rule was broken" : "result: not run");
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NS);
    }

    /** Prints a line and writes it to the record, with the time since the start of the case. */
    void log(String line) {
        System.out.println(record(line));
    }

    /** Writes a line to the record, with the time since the start of the case; returns the line. */
    synchronized String record(String line) {
        final String text = String.format("%8.3f %s", nowMs() / 1000.0, line);
        try {
            record.write(text);
            record.newLine();
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return text;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** A node: its process and the address for clients. */
    record Node(Process process, InetSocketAddress address, Path config, Path log) {

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }
    }

    /**
     * Starts a node as the platform does and waits until it is ready.
     *
     * @param config makes the text of the configuration file, given the node's listen address
     */
    Node startNode(String name, java.util.function.Function<String, String> config)
            throws Exception {
        final int port = freePort();
        final String listen = "127.0.0.1:" + port;
        final Path file = folder.resolve(name + ".json");
        Files.writeString(file, config.apply(listen));
        final Path tmp = Files.createDirectories(folder.resolve(name + "-tmp"));
        final Path log = folder.resolve(name + ".log");
        final ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.directory(root.toFile());
        final Map<String, String> environment = builder.environment();
        environment.put("BALANCER_NAME", name);
        environment.put("BALANCER_LISTEN", listen);
        environment.put("BALANCER_CONFIG", file.toString());
        environment.put("TMPDIR", tmp.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        builder.redirectInput(new File("/dev/null"));
        final Process process = builder.start();
        processes.add(process);
        final Node node =
                new Node(process, new InetSocketAddress("127.0.0.1", port), file, log);
        final long end = nowMs() + 30_000;
        while (!isReady(node)) {
            if (!process.isAlive() || nowMs() > end) {
                throw new IOException("the node is not ready: " + Files.readString(log));
            }
            Thread.sleep(50);
        }
        log("node " + name + " is ready, pid " + process.pid());
        return node;
    }

    private String runCommand() throws IOException {
        for (final String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no run command");
    }

    private static boolean isReady(Node node) {
        try (Socket socket = new Socket()) {
            socket.connect(node.address(), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(
                            "GET /health/ready HTTP/1.1\r\nHost: node\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            return Http.readResponse(socket.getInputStream()).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Copies the last lines of a node's log to the record. */
    void logTail(Node node, int lines) throws IOException {
        final List<String> all = Files.readAllLines(node.log());
        for (final String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
            log("  node: " + line);
        }
    }

    private void endProcesses() {
        for (final Process process : processes) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (final Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
        }
    }

    /** Reads from a stream until its end, and drops the bytes. */
    static void drain(InputStream in) {
        final byte[] bytes = new byte[8192];
        try {
            while (in.read(bytes) >= 0) {
                continue;
            }
        } catch (IOException e) {
            return;
        }
    }
}
