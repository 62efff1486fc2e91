package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.Job;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The core alone, on a loop that is turned by hand. */
class RequestLifecycleTest implements ResponseListener {

    private static final Job JOB = new Job(0, 0, 1, 0, 0, false);
    private static final RequestContent CONTENT =
            new RequestContent("r1", "/check", null, new byte[0]);

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final List<String> heard = new ArrayList<>();
    private final List<AttemptListener> attempts = new ArrayList<>();
    private final List<Integer> givenUp = new ArrayList<>();
    private long nowUs = 1_000_000;
    private boolean moduleThrows;
    private int copies = 1;
    private boolean connectionsThrow;
    private long readPausedUs;
    private DispatcherActions actions;
    private RequestLifecycle core;

    @BeforeEach
    void start() throws Exception {
        final NodeConfig config;
        try (ServerSocket free = Peer.listen()) {
            config =
                    NodeConfig.parse(
                            TestNode.config(
                                    free,
                                    TestNode.list(1, true, TestNode.entry("s-1", free, "SERVING"))),
                            Map.of());
        }
        loop.freezeTime();
        core =
                new RequestLifecycle(
                        config,
                        loop.eventLoop(),
                        () -> nowUs,
                        new RateLimitedLog(System.getLogger("test"), () -> nowUs),
                        given -> {
                            actions = given;
                            return module();
                        });
        core.start(
                new WorkerClient() {
                    @Override
                    public AttemptCall attempt(
                            InetSocketAddress addr,
                            RequestContent content,
                            AttemptListener listener) {
                        attempts.add(listener);
                        if (connectionsThrow) {
                            throw new IllegalStateException("no connections");
                        }
                        final int number = attempts.size() - 1;
                        return () -> {
                            givenUp.add(number);
                            return Outcome.TIMED_OUT;
                        };
                    }

                    @Override
                    public void queryLoad(InetSocketAddress addr, LoadQueryListener listener) {
                        heard.add("probe");
                    }

                    @Override
                    public void closeIdle(InetSocketAddress addr) {
                        heard.add("closeIdle");
                    }
                },
                () -> heard.add("watch"),
                config.known());
        turn();
        heard.clear();
    }

    /**
     * Notes calls by name, request and outcome; sends each request, and again whatever ended
     * unserved.
     */
    private DispatcherEvents module() {
        return (DispatcherEvents)
                Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {DispatcherEvents.class},
                        (proxy, method, args) -> {
                            if (moduleThrows) {
                                throw new IllegalStateException("the module is broken");
                            }
                            final boolean end = method.getName().equals("attemptEnded");
                            heard.add(
                                    method.getName()
                                            + (end
                                                    ? " " + args[2] + " " + args[4] + " " + args[6]
                                                    : ""));
                            if (method.getName().equals("requestArrived")) {
                                for (int copy = 0; copy < copies; copy++) {
                                    actions.send((Integer) args[1], 0, Long.MAX_VALUE);
                                }
                            } else if (end && args[4] == Outcome.FULL) {
                                actions.send((Integer) args[1], 0, Long.MAX_VALUE);
                            }
                            return null;
                        });
    }

    private void turn() {
        loop.runPendingTasks();
    }

    private void pass(long us) {
        nowUs += us;
        loop.advanceTimeBy(us, TimeUnit.MICROSECONDS);
        loop.runScheduledPendingTasks();
        turn();
    }

    private ClientRequest take() {
        final ClientRequest request = core.take(CONTENT, JOB, 100_000, this);
        turn();
        return request;
    }

    @Override
    public long readPausedUs() {
        return readPausedUs;
    }

    @Override
    public ResultStream resultBegins(String type, long length) {
        heard.add("streams " + type + " " + length);
        return whole -> heard.add(whole ? "whole" : "broken");
    }

    @Override
    public void served(String result) {
        heard.add("served " + result);
    }

    @Override
    public void localReply(long retryAfterUs) {
        heard.add("refused " + retryAfterUs);
    }

    @Override
    public void failed() {
        heard.add("failed");
    }

    @Test
    void handsOverAllThatIsReadyBeforeItActs() {
        core.take(CONTENT, JOB, 100_000, this);
        core.discoveryFailed();
        assertThat(heard).isEmpty();
        turn();
        assertThat(heard).containsExactly("requestArrived", "endpointListChanged");
        assertThat(attempts).hasSize(1);
    }

    /**
     * Once, the request was forgotten before the module heard of it, and the unsent second send got
     * number 0.
     */
    @Test
    void numbersTheSendThatCrossesAClientsLeaving() {
        final ClientRequest request = take();
        attempts.get(0).ended(Outcome.FULL, LoadReport.NONE, null);
        core.clientLeft(request);
        turn();
        assertThat(heard)
                .containsExactly(
                        "requestArrived",
                        "attemptEnded 0 FULL true",
                        "clientLeft",
                        "attemptEnded 1 NOT_SENT true");
        assertThat(attempts).hasSize(1);
    }

    @Test
    void givesUpAttemptInTimeForTheAnswer() {
        take();
        pass(100_000 - RequestLifecycle.ANSWER_MARGIN_US);
        assertThat(heard).containsExactly("requestArrived", "attemptEnded 0 TIMED_OUT false");
    }

    @Test
    void answersServedAtOnceAndOnce() {
        take();
        attempts.get(0).ended(Outcome.SERVED, LoadReport.NONE, "yes");
        actions.fail(1);
        turn();
        assertThat(heard)
                .containsExactly("requestArrived", "served yes", "attemptEnded 0 SERVED true");
        assertThat(core.unanswered()).isZero();
    }

    /**
     * zone+vast: a copy that waited in a queue ran on there for nobody once the other had answered.
     */
    @Test
    void givesUpTheOtherCopiesOnceOneServesWithoutBlame() {
        copies = 3;
        take();
        assertThat(attempts).hasSize(3);
        attempts.get(1).ended(Outcome.SERVED, LoadReport.NONE, "yes");
        turn();
        assertThat(givenUp).containsExactlyInAnyOrder(0, 2);
        assertThat(heard)
                .containsOnlyOnce("served yes")
                .contains(
                        "attemptEnded 1 SERVED true",
                        "attemptEnded 0 CANCELLED true",
                        "attemptEnded 2 CANCELLED true");
        assertThat(core.unanswered()).isZero();
    }

    /** A hedge went out however long its client had not been read. */
    @Test
    void beginsNoHedgeWhileItsClientIsNotRead() {
        take();
        readPausedUs = RequestLifecycle.MAX_READ_PAUSE_US + 1;
        actions.send(1, 0, Long.MAX_VALUE);
        core.discoveryFailed();
        turn();
        assertThat(attempts).hasSize(1);
        assertThat(heard)
                .containsExactly(
                        "requestArrived", "endpointListChanged", "attemptEnded 1 CANCELLED false");
        attempts.get(0).ended(Outcome.SERVED, LoadReport.NONE, "yes");
        assertThat(heard).contains("served yes");
    }

    @Test
    void beginsNoHedgeOnANewConnectionWhileItsClientIsNotRead() {
        copies = 2;
        take();
        assertThat(attempts.get(1).mayBegin()).isTrue();
        readPausedUs = RequestLifecycle.MAX_READ_PAUSE_US + 1;
        assertThat(attempts.get(1).mayBegin()).isFalse();
        turn();
        assertThat(givenUp).containsExactly(1);
        assertThat(heard).containsExactly("requestArrived", "attemptEnded 1 CANCELLED false");
    }

    @Test
    void failsRequestThatTheModuleForgets() {
        take();
        pass(100_000 + RequestLifecycle.OVERDUE_US);
        assertThat(heard).containsOnlyOnce("failed").containsSubsequence("failed", "clientLeft");
        assertThat(core.invariant().total()).isPositive();
    }

    @Test
    void failsRequestOnWhichTheModuleThrows() {
        moduleThrows = true;
        assertThatThrownBy(this::take).hasMessageContaining("module failed");
        assertThat(heard).containsExactly("failed");
        assertThat(core.unanswered()).isZero();
    }

    @Test
    void endsAttemptThatCannotBeStarted() {
        connectionsThrow = true;
        take();
        turn();
        assertThat(heard).containsExactly("requestArrived", "attemptEnded 0 CONNECT_FAILED false");
    }

    @Test
    void countsASecondEndOfAnAttempt() {
        take();
        attempts.get(0).ended(Outcome.BROKEN, LoadReport.NONE, null);
        assertThatThrownBy(() -> attempts.get(0).ended(Outcome.ERROR, LoadReport.NONE, null))
                .hasMessageContaining("attempt ended twice");
    }

    /** A keyed request that has been sent binds the cell that it went to, until it is answered. */
    @Test
    void keyedRequestBindsItsCellWhileItIsOpen() {
        take();
        assertThat(core.boundCells()).isEmpty();
        core.take(
                new RequestContent("r2", "/file", "key", new byte[0]),
                new Job(1, 0, 1, 0, 0, false),
                100_000,
                this);
        turn();
        assertThat(core.boundCells()).containsExactly(0);
        attempts.get(1).ended(Outcome.SERVED, LoadReport.NONE, "yes");
        assertThat(core.boundCells()).isEmpty();
    }
}
