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

/** The request life cycle alone, on an event loop that is run by hand. */
class RequestLifecycleTest implements ResponseListener {

    private static final Job JOB = new Job(0, 0, 1, 0, 0, false);
    private static final RequestContent CONTENT =
            new RequestContent("r1", "/check", null, new byte[0]);

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final List<String> events = new ArrayList<>();
    private final List<AttemptListener> attempts = new ArrayList<>();
    private final List<Integer> givenUp = new ArrayList<>();
    private long nowUs = 1_000_000;
    private boolean dispatcherThrows;
    private int sendsPerRequest = 1;
    private boolean connectionsThrow;
    private long readPausedUs;
    private DispatcherActions actions;
    private RequestLifecycle lifecycle;

    @BeforeEach
    void start() throws Exception {
        final NodeConfig config;
        try (ServerSocket free = Peer.listen()) {
            config =
                    NodeConfigParser.parse(
                            TestNode.config(
                                    free,
                                    TestNode.list(1, true, TestNode.entry("s-1", free, "SERVING"))),
                            Map.of());
        }
        loop.freezeTime();
        lifecycle =
                new RequestLifecycle(
                        config,
                        loop.eventLoop(),
                        () -> nowUs,
                        new RateLimitedLog(System.getLogger("test"), () -> nowUs),
                        given -> {
                            actions = given;
                            return dispatcher();
                        });
        lifecycle.start(
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
                        events.add("probe");
                    }

                    @Override
                    public void closeIdle(InetSocketAddress addr) {
                        events.add("closeIdle");
                    }
                },
                () -> events.add("watch"),
                config.initialEndpoints());
        turn();
        events.clear();
    }

    /**
     * A dispatcher that records its events; it sends each request, and again what a worker rejected
     * as full.
     */
    private DispatcherEvents dispatcher() {
        return (DispatcherEvents)
                Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {DispatcherEvents.class},
                        (proxy, method, args) -> {
                            if (dispatcherThrows) {
                                throw new IllegalStateException("the dispatcher is broken");
                            }
                            final boolean end = method.getName().equals("attemptEnded");
                            events.add(
                                    method.getName()
                                            + (end
                                                    ? " " + args[2] + " " + args[4] + " " + args[6]
                                                    : ""));
                            if (method.getName().equals("requestArrived")) {
                                for (int send = 0; send < sendsPerRequest; send++) {
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

    private ClientRequest submit() {
        final ClientRequest request = lifecycle.submit(CONTENT, JOB, 100_000, this);
        turn();
        return request;
    }

    @Override
    public long readPausedUs() {
        return readPausedUs;
    }

    @Override
    public ResultStream resultBegins(String type, long length) {
        events.add("streams " + type + " " + length);
        return whole -> events.add(whole ? "whole" : "broken");
    }

    @Override
    public void served(String result) {
        events.add("served " + result);
    }

    @Override
    public void localReply(long retryAfterUs) {
        events.add("refused " + retryAfterUs);
    }

    @Override
    public void failed() {
        events.add("failed");
    }

    @Test
    void reportsAllEventsBeforeItActs() {
        lifecycle.submit(CONTENT, JOB, 100_000, this);
        lifecycle.discoveryFailed();
        assertThat(events).isEmpty();
        turn();
        assertThat(events).containsExactly("requestArrived", "endpointListChanged");
        assertThat(attempts).hasSize(1);
    }

    /** A request is kept until the dispatcher knows its end, so that its sends stay numbered. */
    @Test
    void numbersASendThatCrossesTheClientsLeaving() {
        final ClientRequest request = submit();
        attempts.get(0).ended(Outcome.FULL, LoadReport.NONE, null);
        lifecycle.clientLeft(request);
        turn();
        assertThat(events)
                .containsExactly(
                        "requestArrived",
                        "attemptEnded 0 FULL true",
                        "clientLeft",
                        "attemptEnded 1 NOT_SENT true");
        assertThat(attempts).hasSize(1);
    }

    @Test
    void givesUpAttemptInTimeForTheAnswer() {
        submit();
        pass(100_000 - RequestLifecycle.ANSWER_MARGIN_US);
        assertThat(events).containsExactly("requestArrived", "attemptEnded 0 TIMED_OUT false");
    }

    @Test
    void answersServedAtOnceAndOnlyOnce() {
        submit();
        attempts.get(0).ended(Outcome.SERVED, LoadReport.NONE, "yes");
        actions.fail(1);
        turn();
        assertThat(events)
                .containsExactly("requestArrived", "served yes", "attemptEnded 0 SERVED true");
        assertThat(lifecycle.unanswered()).isZero();
    }

    /** The others may wait in their workers' queues; their end is no failure of the workers. */
    @Test
    void cancelsTheOtherAttemptsOnceOneServes() {
        sendsPerRequest = 3;
        submit();
        assertThat(attempts).hasSize(3);
        attempts.get(1).ended(Outcome.SERVED, LoadReport.NONE, "yes");
        turn();
        assertThat(givenUp).containsExactlyInAnyOrder(0, 2);
        assertThat(events)
                .containsOnlyOnce("served yes")
                .contains(
                        "attemptEnded 1 SERVED true",
                        "attemptEnded 0 CANCELLED true",
                        "attemptEnded 2 CANCELLED true");
        assertThat(lifecycle.unanswered()).isZero();
    }

    /** Its client may have left unseen. */
    @Test
    void beginsNoHedgeWhileItsClientIsNotRead() {
        submit();
        readPausedUs = RequestLifecycle.MAX_READ_PAUSE_US + 1;
        actions.send(1, 0, Long.MAX_VALUE);
        lifecycle.discoveryFailed();
        turn();
        assertThat(attempts).hasSize(1);
        assertThat(events)
                .containsExactly(
                        "requestArrived", "endpointListChanged", "attemptEnded 1 CANCELLED false");
        attempts.get(0).ended(Outcome.SERVED, LoadReport.NONE, "yes");
        assertThat(events).contains("served yes");
    }

    @Test
    void beginsNoHedgeOnANewConnectionWhileItsClientIsNotRead() {
        sendsPerRequest = 2;
        submit();
        assertThat(attempts.get(1).mayBegin()).isTrue();
        readPausedUs = RequestLifecycle.MAX_READ_PAUSE_US + 1;
        assertThat(attempts.get(1).mayBegin()).isFalse();
        turn();
        assertThat(givenUp).containsExactly(1);
        assertThat(events).containsExactly("requestArrived", "attemptEnded 1 CANCELLED false");
    }

    @Test
    void failsRequestThatTheDispatcherForgets() {
        submit();
        pass(100_000 + RequestLifecycle.OVERDUE_US);
        assertThat(events).containsOnlyOnce("failed").containsSubsequence("failed", "clientLeft");
        assertThat(lifecycle.invariant().total()).isPositive();
    }

    @Test
    void failsRequestOnWhichTheDispatcherThrows() {
        dispatcherThrows = true;
        assertThatThrownBy(this::submit).hasMessageContaining("module failed");
        assertThat(events).containsExactly("failed");
        assertThat(lifecycle.unanswered()).isZero();
    }

    @Test
    void endsAttemptThatCannotBeStarted() {
        connectionsThrow = true;
        submit();
        turn();
        assertThat(events).containsExactly("requestArrived", "attemptEnded 0 CONNECT_FAILED false");
    }

    @Test
    void countsASecondEndOfAnAttempt() {
        submit();
        attempts.get(0).ended(Outcome.BROKEN, LoadReport.NONE, null);
        assertThatThrownBy(() -> attempts.get(0).ended(Outcome.ERROR, LoadReport.NONE, null))
                .hasMessageContaining("attempt ended twice");
    }

    /** A keyed request that has been sent binds the cell that it went to, until it is answered. */
    @Test
    void keyedRequestBindsItsCellWhileItIsOpen() {
        submit();
        assertThat(lifecycle.boundCells()).isEmpty();
        lifecycle.submit(
                new RequestContent("r2", "/file", "key", new byte[0]),
                new Job(1, 0, 1, 0, 0, false),
                100_000,
                this);
        turn();
        assertThat(lifecycle.boundCells()).containsExactly(0);
        attempts.get(1).ended(Outcome.SERVED, LoadReport.NONE, "yes");
        assertThat(lifecycle.boundCells()).isEmpty();
    }
}
