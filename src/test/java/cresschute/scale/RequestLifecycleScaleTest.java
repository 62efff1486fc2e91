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

/** What the core and its module hold, and the messages that they send, at the planned size. */
class RequestLifecycleScaleTest implements WorkerClient {

    private static final long SEED = 15;
    private static final int MAX_BYTES_A_REQUEST = 1_200;
    private static final int MAX_OBJECTS_A_REQUEST = 18;

    /** Names stay for the life of the process, so that a late ending finds its worker. */
    private static final int MAX_BYTES_A_NAME = 350;

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final Deque<AttemptListener> out = new ArrayDeque<>();
    private final List<Answers> clients = new ArrayList<>();
    private final DispatchSettings settings =
            PlannedSize.settings(PlannedSize.DISPATCHERS, PlannedSize.TENANTS);
    private final RateLimitedLog log =
            new RateLimitedLog(System.getLogger("test"), () -> this.nowUs);
    private long nowUs = 1_000 * PlannedSize.SECOND_US;
    private long version = 1;
    private int watches;
    private int probes;
    private RequestLifecycle core;

    /** Counts what one client hears. */
    private static final class Answers implements ResponseListener {

        private int count;

        @Override
        public void served(String result) {
            count++;
        }

        @Override
        public ResultStream resultBegins(String type, long length) {
            throw new IllegalStateException("no long results here");
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
                        250_000,
                        10_000_000,
                        1_024,
                        known,
                        null,
                        null,
                        null);
        core =
                new RequestLifecycle(
                        config,
                        loop.eventLoop(),
                        () -> nowUs,
                        log,
                        actions -> new Dispatcher(settings, SEED, actions));
        core.start(this, () -> watches++, known);
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
        return DeepSize.of(core, this, settings, loop, log);
    }

    private void submit(int count) {
        for (int i = 0; i < count; i++) {
            final Answers client = new Answers();
            clients.add(client);
            core.submit(
                    new RequestContent("r" + clients.size(), "/job", null, new byte[0]),
                    new Job(PlannedSize.USUAL, 0, 1, 0, 0, false),
                    300 * PlannedSize.SECOND_US,
                    client);
        }
        loop.runPendingTasks();
    }

    private void pass(long us) {
        nowUs += us;
        loop.advanceTimeBy(us, TimeUnit.MICROSECONDS);
        loop.runScheduledPendingTasks();
        loop.runPendingTasks();
    }

    @Override
    public AttemptCall attempt(
            InetSocketAddress addr, RequestContent content, AttemptListener listener) {
        out.add(listener);
        return () -> Outcome.CANCELLED;
    }

    @Override
    public void queryLoad(InetSocketAddress addr, LoadQueryListener listener) {
        probes++;
        listener.loadQueryEnded(Outcome.SERVED, new LoadReport(10, -1, 0));
    }

    @Override
    public void closeIdle(InetSocketAddress addr) {
        throw new IllegalStateException("nothing is stated of drains here");
    }

    /**
     * Gangs of 128 up to all that run: each gets one answer, and nothing of them is held after it.
     */
    @Test
    void openRequestsAreHeldWithinABoundAndAnsweredOnce() {
        start(PlannedSize.WORKERS);
        final DeepSize idle = size();
        while (clients.size() < PlannedSize.RUNNING) {
            submit(PlannedSize.GANG);
        }
        final DeepSize full = size();
        assertThat(out).as("attempts out").hasSameSizeAs(clients);
        assertThat(core.unanswered()).as("answers owed").isEqualTo(clients.size());
        assertThat((double) (full.bytes() - idle.bytes()) / clients.size())
                .as("bytes a request")
                .isBetween(300.0, (double) MAX_BYTES_A_REQUEST);
        assertThat((double) (full.objects() - idle.objects()) / clients.size())
                .as("objects a request")
                .isLessThanOrEqualTo(MAX_OBJECTS_A_REQUEST);
        while (!out.isEmpty()) {
            out.poll().ended(Outcome.SERVED, new LoadReport(10, -1, 0), "done");
            loop.runPendingTasks();
        }
        assertThat(clients).as("answers of each client").allMatch(client -> client.count == 1);
        assertThat(core.unanswered()).as("answers owed").isZero();
        assertThat(size().objects()).as("objects after the last answer").isEqualTo(idle.objects());
    }

    /** 30 days of replacements under names that were never used before. */
    @Test
    void workersThatWereReplacedLeaveNoMoreThanTheirNames() {
        start(PlannedSize.WORKERS);
        final DeepSize before = size();
        final int replaced = 30 * 79;
        for (int i = 0; i < replaced; i++) {
            core.endpointListReceived(list(false, List.of(i), WorkerState.GONE));
            core.endpointListReceived(
                    list(false, List.of(PlannedSize.WORKERS + i), WorkerState.READY));
            pass(PlannedSize.SECOND_US);
        }
        assertThat((double) (size().bytes() - before.bytes()) / replaced)
                .as("bytes a name")
                .isLessThanOrEqualTo(MAX_BYTES_A_NAME);
    }

    /**
     * A change costs the core no call but the one that brought it; with no requests nobody is
     * probed.
     */
    @Test
    void changesOfTheListCauseNoMessages() {
        start(PlannedSize.WORKERS);
        pass(2 * PlannedSize.SECOND_US);
        final int asked = watches;
        assertThat(asked).as("calls for the list at the start").isEqualTo(1);
        for (int i = 0; i < 1_500; i++) {
            core.endpointListReceived(
                    list(
                            false,
                            List.of(i % PlannedSize.WORKERS),
                            i % 2 == 0 ? WorkerState.DRAINING : WorkerState.READY));
            pass(PlannedSize.SECOND_US / 10);
        }
        assertThat(watches - asked).as("calls for the list").isZero();
        assertThat(probes + out.size()).as("probes and attempts").isZero();
    }
}
