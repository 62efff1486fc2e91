package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * One small site on loopback: discovery, workers, clients and the node. Settings are those of the
 * protocol's example (nairobi-noms), unless a case says otherwise.
 */
final class Site implements AutoCloseable {
    static final String SAFE_CLASSES =
            "{\"name\":\"status-check\",\"idempotency\":\"pure\",\"group\":\"all\",\"keyTtlUs\":5000000,"
                    + "\"goalTimeUs\":400000,\"deadlineUs\":10000000,\"lateWorth\":0.0,\"stream\":false,\"worth\":2.0},"
                    + "{\"name\":\"balance-report\",\"idempotency\":\"pure\",\"group\":\"all\",\"keyTtlUs\":5000000,"
                    + "\"goalTimeUs\":1500000,\"deadlineUs\":25000000,\"lateWorth\":0.0,\"stream\":false,\"worth\":1.0},";
    static final String KEYED_CLASS =
            "{\"name\":\"submit-nom\",\"idempotency\":\"token\",\"group\":\"cell\",\"keyTtlUs\":40000000,"
                    + "\"goalTimeUs\":4000000,\"deadlineUs\":25000000,\"lateWorth\":0.0,\"stream\":false,\"worth\":5.0}";

    /** The class of nominations on days whose settings mark it as unsafe to repeat. */
    static final String UNSAFE_CLASS = KEYED_CLASS.replace("\"token\"", "\"side_effect\"");

    final Record record;
    final Random random;
    final boolean trouble;
    final Path root;
    final Path work;
    final Path tmp;
    final Path config;
    final Discovery discovery;
    final List<Worker> workers = new ArrayList<>();
    final String listen = "127.0.0.1:" + freePort();
    final String management = "127.0.0.1:" + freePort();
    Client client;
    Node node;

    /** Thrown where a case cannot run. */
    @SuppressWarnings("serial")
    static final class CannotRun extends Exception {
        CannotRun(String why) {
            super(why);
        }
    }

    /** A case: sets the site up, makes its trouble, and judges. */
    interface Case {
        /** Returns whether the rule held. */
        boolean run(Site site) throws Exception;
    }

    Site(Path root, Path folder, long seed, boolean trouble) throws IOException {
        this.root = root;
        this.trouble = trouble;
        random = new Random(seed);
        record = new Record(folder.resolve("record.txt"));
        record.add("seed %d, TROUBLE=%d", seed, trouble ? 1 : 0);
        work = Files.createTempDirectory("review");
        tmp = Files.createDirectory(work.resolve("tmp"));
        config = work.resolve("config.json");
        discovery = new Discovery(record);
    }

    /** Runs a case and ends the process: 0 the rule held, 3 it was broken, 2 the case could not run. */
    static void main(String[] args, Case test) {
        int status = 2;
        try (Site site = new Site(Path.of(args[0]), Path.of(args[1]), Long.parseLong(args[2]),
                !"0".equals(System.getenv("TROUBLE")))) {
            try {
                status = test.run(site) ? 0 : 3;
                site.record.add("%s", status == 0 ? "THE RULE HELD" : "THE RULE WAS BROKEN");
                System.out.println(status == 0 ? "the rule held" : "the rule was broken");
            } catch (Exception e) {
                site.record.add("the case could not run: %s", e);
                System.out.println("the case could not run: " + e);
                e.printStackTrace(System.out);
            }
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Calls the node's management address, and returns its answer; null for none. */
    String call(String address, String line) throws IOException {
        try (Client.Connection connection = new Client(address, record).connect()) {
            connection.socket.setSoTimeout(2_000);
            connection.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            final String answer = Http.line(connection.in);
            record.add("operator calls %s: %s", line, answer);
            return answer;
        }
    }

    /** Adds a worker that serves, and started long ago. */
    Worker add(Worker worker) {
        workers.add(worker);
        discovery.set(worker, "SERVING", 0);
        return worker;
    }

    /** Writes the node's configuration; {@code mode} is {@code ask} or {@code push}. */
    void writeConfig(String classes, String mode) throws IOException {
        Files.writeString(config, "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\""
                + discovery.address() + "\",\"seed\":\"" + Long.toHexString(random.nextLong() | 1L) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + discovery.list() + ",\"settings\":{\"balancers\":1,"
                + "\"callers\":{\"marksRetry\":false},\"classes\":[" + classes + "],"
                + "\"extra\":{\"classKind\":[-1,-1,-1],\"classPriority\":[0,0,1],\"classStretch\":[2.5,2.5,2.0],"
                + "\"memoryUnit\":\"a worker has one unit for each slot\",\"notes\":\"1 it has started, 2 share done\","
                + "\"progressUs\":1000000,\"queueOrder\":\"fifo\",\"reportX0\":\"free_slots\","
                + "\"reportX1\":\"free_memory\",\"tellsStart\":true},\"family\":\"jobs\","
                + "\"goal\":{\"whole\":0.65,\"worstClass\":0.2,\"worstTenant\":0.0,\"worstWindow\":0.15},"
                + "\"hostTypes\":[\"big-5core\",\"std-4core\"],\"limits\":{\"cancelling\":true,"
                + "\"connIdleUs\":10000000,\"connectTimeoutUs\":250000,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":30000,"
                + "\"maxAttempts\":5,\"maxOpen\":40000,\"maxRetryAfterUs\":2000000,\"parallelTries\":true,"
                + "\"peerMessages\":false,\"probing\":true,\"retryAfter\":true,\"streamsPerConn\":1},"
                + "\"me\":0,\"membershipMode\":\"" + mode + "\",\"myZone\":0,\"overShareWorth\":0.1,"
                + "\"prices\":{\"connection\":0.0,\"crossZone\":0.0,\"handshake\":0.0,\"lateFail\":0.03,"
                + "\"membershipMode\":0.0,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.0039,\"waste\":0.03},"
                + "\"report\":{\"fields\":[\"backlog\",\"x0\"],\"how\":\"inline\"},\"roundUs\":5000,"
                + "\"rules\":{\"answerSlackUs\":20000,\"askWithinUs\":10000000,\"coldFrom\":0.32,"
                + "\"drainGraceUs\":400000,\"overloadFactor\":3.0,\"tipAfterUs\":1000000,\"warmWithinUs\":8800000},"
                + "\"tenants\":[],\"tier\":0,\"tiers\":[\"nom-workers\"],\"weightSource\":\"nominal\","
                + "\"worthBy\":\"request\",\"zones\":[\"nbo-dc1\"]}}");
    }

    Node newNode(Map<String, String> more) throws IOException {
        final Map<String, String> environment = new HashMap<>(Map.of("BALANCER_NAME", "n1",
                "BALANCER_LISTEN", listen, "BALANCER_DISCOVERY", discovery.address()));
        environment.putAll(more);
        return new Node(root, config, tmp, environment, record);
    }

    /** Starts the node and waits until it is ready. */
    void start(Map<String, String> more) throws Exception {
        node = newNode(more);
        client = new Client(listen, record);
        if (!client.awaitReady(30)) {
            throw new CannotRun("the node is not ready after 30 s");
        }
        record.add("node: ready");
    }

    @Override
    public void close() throws IOException {
        if (node != null) {
            node.close();
        }
        record.close();
        Files.walkFileTree(work, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws IOException {
                Files.delete(file);
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult postVisitDirectory(Path folder, IOException e) throws IOException {
                Files.delete(folder);
                return FileVisitResult.CONTINUE;
            }
        });
    }
}
