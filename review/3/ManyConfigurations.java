import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The configuration is replaced a number of times, then a class becomes one that must not run
 * twice. Each job of it is lost by its worker after it has started.
 */
final class ManyConfigurations {

    private static final int CHANGES = 24;
    private static final int CHANGE_MS = 1500;

    /** A file is in use 1.2 s after SIGHUP. */
    private static final int LAST_CHANGE_MS = 3000;

    private static final int REQUESTS = 10;
    private static final int RUN_MS = 200;

    private final Rig rig;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private ManyConfigurations(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> new ManyConfigurations(rig).run());
    }

    private int run() throws Exception {
        final List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            workers.add(new Worker(rig, "s-" + i, 1, this::handle));
        }
        final Config config = new Config(new Discovery(workers));
        final Rig.Node node = rig.startNode("n1", config::json);
        final String listen = "127.0.0.1:" + node.address().getPort();
        Thread.sleep(CHANGE_MS);
        final List<Config.JobClass> day = List.copyOf(config.classes);
        final List<Config.JobClass> night =
                day.stream().map(each -> each.withDeadline(each.deadlineUs() * 4 / 5)).toList();
        for (int i = 0; Rig.TROUBLE && i < CHANGES; i++) {
            config.classes.clear();
            config.classes.addAll(i % 2 == 0 ? night : day);
            Files.writeString(node.config(), config.json(listen));
            node.signal("HUP");
            rig.log("configuration " + (i + 1) + ": " + (i % 2 == 0 ? "night" : "day"));
            Thread.sleep(CHANGE_MS);
        }
        config.classes.clear();
        config.classes.addAll(night);
        config.classes.set(1, night.get(1).withEffect("side_effect"));
        Files.writeString(node.config(), config.json(listen));
        node.signal("HUP");
        rig.log("last configuration: balance-report must not run twice");
        Thread.sleep(LAST_CHANGE_MS);
        int answered = 0;
        try (Client client = new Client(node.address())) {
            for (int i = 0; i < REQUESTS; i++) {
                final String id = String.format("r%015x", i);
                rig.record("client sends " + id);
                client.send(Client.request("balance-report", id, 5000, null, "{}"));
                final Http.Message answer = client.read(6000);
                answered++;
                rig.log("client " + id + " answered " + answer.status());
                Thread.sleep(300);
            }
        }
        Thread.sleep(1000);
        rig.logTail(node, 4);
        final long twice = runs.values().stream().filter(each -> each.get() > 1).count();
        rig.log(answered + " answered, " + runs.size() + " ran, " + twice + " ran more than once");
        return answered < REQUESTS ? Rig.NOT_RUN : twice > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private void handle(Worker worker, Http.Message request, Worker.Connection connection)
            throws Exception {
        final String id = request.header("X-Request-Id");
        final int run = runs.computeIfAbsent(id, unseen -> new AtomicInteger()).incrementAndGet();
        rig.log(worker.id + " runs " + id + ", run " + run);
        connection.write(Worker.Connection.head() + connection.chunk(id, "started", ""));
        Thread.sleep(RUN_MS);
        if (run == 1) {
            connection.write(connection.chunk(id, "lost", "") + Worker.Connection.end());
            rig.record(worker.id + " loses " + id);
            return;
        }
        connection.write(connection.done(id));
    }
}
