package cresschute.scale;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Dispatcher;
import cresschute.dispatch.Job;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import cresschute.node.AttemptCall;
import cresschute.node.AttemptListener;
import cresschute.node.EndpointList;
import cresschute.node.LoadQueryListener;
import cresschute.node.NodeConfig;
import cresschute.node.NodeTimeouts;
import cresschute.node.RateLimitedLog;
import cresschute.node.RequestContent;
import cresschute.node.RequestLifecycle;
import cresschute.node.ResponseListener;
import cresschute.node.ResultStream;
import cresschute.node.WorkerClient;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Bounds the memory that the request life cycle and its dispatcher hold, and the messages that they
 * send, at the planned size.
 */
class RequestLifecycleScaleTest implements WorkerClient {

    private static final long SEED = 15;
    private static final int MAX_BYTES_PER_REQUEST = 1_200;
    private static final int MAX_OBJECTS_PER_REQUEST = 18;

    /**
     * Names are kept for the life of the process, so that the late end of an attempt finds its
     * worker.
     */
    private static final int MAX_BYTES_PER_NAME = 350;

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final Deque<AttemptListener> inFlight = new ArrayDeque<>();
    private final List<CountingClient> clients = new ArrayList<>();
    private final DispatchSettings settings =
            PlannedSize.settings(PlannedSize.DISPATCHERS, PlannedSize.TENANTS);
    private final RateLimitedLog log =
            new RateLimitedLog(System.getLogger("test"), () -> this.nowUs);
    private long nowUs = 1_000 * PlannedSize.SECOND_US;
    private long version = 1;
    private int watches;
    private int loadQueries;
    private RequestLifecycle lifecycle;

    /** Counts the answers that one client receives. */
    private static final class CountingClient implements ResponseListener {

        private int count;

        @Override
        public void served(String result) {
            count++;
        }

        @Override
        public ResultStream resultBegins(String type, long length) {
            throw new IllegalStateException("no long results in this test");
        }

        @Override
        public void localReply(long retryAfterUs) {
            count++;
        }

        @Override
        public void failed() {
            count++;
        }
    }

    private void start(int workers) {
        loop.freezeTime();
        final InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        final EndpointList known =
                list(true, IntStream.range(0, workers).boxed().toList(), WorkerState.READY);
        final NodeConfig config =
                new NodeConfig(
                        "d-0",
                        nowhere,
                        nowhere,
                        SEED,
                        settings,
                        List.of("urgent", "usual", "once"),
                        zones(),
                        List.of("k0", "k1"),
                        new NodeTimeouts(250_000, 10_000_000, NodeTimeouts.DEFAULT_DRAIN_GRACE_US),
                        1_024,
                        known,
                        null,
                        null,
                        null);
        lifecycle =
                new RequestLifecycle(
                        config,
                        loop.eventLoop(),
                        () -> nowUs,
                        log,
                        actions -> new Dispatcher(settings, SEED, actions));
        lifecycle.start(this, () -> watches++, known);
        loop.runPendingTasks();
    }

    private static List<String> zones() {
        return IntStream.range(0, PlannedSize.ZONES).mapToObj(zone -> "z" + zone).toList();
    }

    private EndpointList list(boolean full, List<Integer> ids, WorkerState state) {
        return new EndpointList(
                version++,
                full,
                ids.stream()
                        .map(
                                id -> {
                                    final Worker worker = PlannedSize.worker(id, state, 0);
                                    return new EndpointList.Endpoint(
                                            "worker-" + id,
                                            new InetSocketAddress("127.0.0.1", 2),
                                            "z" + worker.zone(),
                                            "k" + worker.kind(),
                                            worker.cell() % PlannedSize.WORKERS,
                                            state,
                                            1,
                                            0);
                                })
                        .toList());
    }

    private DeepSize size() {
        return DeepSize.of(lifecycle, this, settings, loop, log);
    }

    private void submit(int count) {
        for (int i = 0; i < count; i++) {
            final CountingClient client = new CountingClient();
            clients.add(client);
            lifecycle.submit(
                    new RequestContent("r" + clients.size(), "/job", null, new byte[0]),
                    new Job(PlannedSize.USUAL, 0, 1, 0, 0, false),
                    300 * PlannedSize.SECOND_US,
                    client);
        }
        loop.runPendingTasks();
    }

    private void advance(long us) {
        nowUs += us;
        loop.advanceTimeBy(us, TimeUnit.MICROSECONDS);
        loop.runScheduledPendingTasks();
        loop.runPendingTasks();
    }

    @Override
    public AttemptCall attempt(
            InetSocketAddress addr, RequestContent content, AttemptListener listener) {
        inFlight.add(listener);
        return () -> Outcome.CANCELLED;
    }

    @Override
    public void queryLoad(InetSocketAddress addr, LoadQueryListener listener) {
        loadQueries++;
        listener.loadQueryEnded(Outcome.SERVED, new LoadReport(10, -1, 0));
    }

    @Override
    public void closeIdle(InetSocketAddress addr) {
        throw new IllegalStateException("no connections are closed on drain in this test");
    }

    /**
     * Submits gangs of 128 up to the planned number of running requests: each request gets one
     * answer, and nothing of it is held afterwards.
     */
    @Test
    void boundsMemoryPerOpenRequestAndAnswersEachOnce() {
        start(PlannedSize.WORKERS);
        final DeepSize idle = size();
        while (clients.size() < PlannedSize.RUNNING) {
            submit(PlannedSize.GANG);
        }
        final DeepSize full = size();
        assertThat(inFlight).as("attempts in flight").hasSameSizeAs(clients);
        assertThat(lifecycle.unanswered()).as("unanswered requests").isEqualTo(clients.size());
        assertThat((double) (full.bytes() - idle.bytes()) / clients.size())
                .as("bytes per request")
                .isBetween(300.0, (double) MAX_BYTES_PER_REQUEST);
        assertThat((double) (full.objects() - idle.objects()) / clients.size())
                .as("objects per request")
                .isLessThanOrEqualTo(MAX_OBJECTS_PER_REQUEST);
        while (!inFlight.isEmpty()) {
            inFlight.poll().ended(Outcome.SERVED, new LoadReport(10, -1, 0), "done");
            loop.runPendingTasks();
        }
        assertThat(clients).as("answers of each client").allMatch(client -> client.count == 1);
        assertThat(lifecycle.unanswered()).as("unanswered requests").isZero();
        assertThat(size().objects()).as("objects after the last answer").isEqualTo(idle.objects());
    }

    /** Replaces workers as in 30 days, always under names that were never used before. */
    @Test
    void keepsOnlyNamesOfReplacedWorkers() {
        start(PlannedSize.WORKERS);
        final DeepSize before = size();
        final int replaced = 30 * 79;
        for (int i = 0; i < replaced; i++) {
            lifecycle.endpointListReceived(list(false, List.of(i), WorkerState.GONE));
            lifecycle.endpointListReceived(
                    list(false, List.of(PlannedSize.WORKERS + i), WorkerState.READY));
            advance(PlannedSize.SECOND_US);
        }
        assertThat((double) (size().bytes() - before.bytes()) / replaced)
                .as("bytes per name")
                .isLessThanOrEqualTo(MAX_BYTES_PER_NAME);
    }

    /**
     * A change of the list causes no call except the one that delivered it; without requests no
     * worker is queried.
     */
    @Test
    void listChangesCauseNoMessages() {
        start(PlannedSize.WORKERS);
        advance(2 * PlannedSize.SECOND_US);
        final int initialWatches = watches;
        assertThat(initialWatches).as("calls for the list at the start").isEqualTo(1);
        for (int i = 0; i < 1_500; i++) {
            lifecycle.endpointListReceived(
                    list(
                            false,
                            List.of(i % PlannedSize.WORKERS),
                            i % 2 == 0 ? WorkerState.DRAINING : WorkerState.READY));
            advance(PlannedSize.SECOND_US / 10);
        }
        assertThat(watches - initialWatches).as("calls for the list").isZero();
        assertThat(loadQueries + inFlight.size()).as("load queries and attempts").isZero();
    }
}
