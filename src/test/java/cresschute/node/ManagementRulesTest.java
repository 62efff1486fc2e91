package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the management calls of the platform's operators over real sockets. */
@Timeout(30)
class ManagementRulesTest {

    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: api\r\n\r\n";

    @TempDir Path shared;

    private static String done(String id) {
        return "{\"id\":\"" + id + "\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"yes\"}\n";
    }

    /** Returns the next endpoint list event of the dispatcher, or null if none comes. */
    private static String listEvent(TestNode node) throws InterruptedException {
        for (String event = node.event(); event != null; event = node.event()) {
            if (event.startsWith("listed")) {
                return event;
            }
        }
        return null;
    }

    @Test
    void answersEachCallWithOneLine() throws Exception {
        try (TestNode node = new TestNode(shared, null)) {
            assertThat(node.call("ready")).isEqualTo("200 ready");
            assertThat(node.call("what")).startsWith("400 no call is named what");
            assertThat(node.call("disable-server"))
                    .startsWith("400 disable-server takes one worker id");
            assertThat(node.call("disable-server s-9"))
                    .startsWith("400 no list has named a worker s-9");
            assertThat(node.call("enable-server s-9"))
                    .startsWith("400 no list has named a worker s-9");
            assertThat(node.call("x".repeat(600)))
                    .startsWith("400 a call has 512 characters at most");
        }
    }

    @Test
    void answersOtherCallersWhileIncompleteAndSilentOnesWait() throws Exception {
        try (TestNode node = new TestNode(shared, null);
                Peer silent = Peer.connect(node.server.managementAddress());
                Peer incomplete =
                        Peer.connect(node.server.managementAddress()).write("disable-ser")) {
            assertThat(node.call("ready")).isEqualTo("200 ready");
            assertThat(incomplete.readLine()).startsWith("400 incomplete call");
            assertThat(incomplete.isClosedByOther()).isTrue();
            assertThat(silent.readLine()).isNull();
        }
    }

    @Test
    void banLastsUntilEnabledAndRepeatedCallsHaveNoEffect() throws Exception {
        try (TestNode node = new TestNode(shared, null)) {
            assertThat(node.call("disable-server s-1")).startsWith("200 s-1 is out");
            assertThat(listEvent(node)).isEqualTo("listed CHANGES 0DRAINING7000");
            assertThat(node.call("disable-server s-1")).startsWith("200 s-1 is out");
            assertThat(node.call("enable-server s-1")).startsWith("200 s-1 is in again");
            assertThat(listEvent(node)).isEqualTo("listed CHANGES 0READY7000");
            assertThat(node.call("enable-server s-1")).startsWith("200 s-1 is in again");
        }
    }

    @Test
    void bothProcessesOfAnUpgradeShareBans() throws Exception {
        try (TestNode old = new TestNode(shared, null)) {
            assertThat(old.call("disable-server s-1")).startsWith("200");
            try (TestNode next = new TestNode(shared, null)) {
                // The new process starts with the ban applied to the list in its configuration.
                assertThat(next.events.poll(8, TimeUnit.SECONDS))
                        .isEqualTo("listed CACHED 0DRAINING7000");
                assertThat(next.call("enable-server s-1")).startsWith("200");
                // The old process reads the change from the file that both share.
                assertThat(listEvent(old)).isEqualTo("listed CHANGES 0DRAINING7000");
                assertThat(listEvent(old)).isEqualTo("listed CHANGES 0READY7000");
            }
        }
        try (Stream<Path> files = Files.list(shared)) {
            assertThat(files).isNotEmpty();
        }
    }

    /** An operator must be able to ban a worker even if the disk is full. */
    @Test
    void banThatCannotBeStoredTakesEffectAndIsAnswered() throws Exception {
        // A folder in place of the temporary file makes the write fail, even for root.
        Files.createDirectory(shared.resolve("cresschute-operators.new"));
        try (TestNode node = new TestNode(shared, null)) {
            assertThat(node.call("disable-server s-1")).startsWith("200 s-1 is out");
            assertThat(listEvent(node)).isEqualTo("listed CHANGES 0DRAINING7000");
        }
    }

    @Test
    void drainedNodeIsNotReadyAndClosesItsConnectionsUntilResumed() throws Exception {
        try (TestNode node = new TestNode(shared, null);
                Peer idle = node.client();
                Peer busy = node.client()) {
            assertThat(idle.write(READY).read()).startsWith("HTTP/1.1 200");
            busy.write(request("r1", "", ""));
            final Peer worker = node.worker();
            worker.read();
            assertThat(node.call("drain")).startsWith("200 draining");
            assertThat(node.call("ready")).startsWith("400 not ready: drained");
            try (Peer asks = node.client()) {
                assertThat(asks.write(READY).read()).startsWith("HTTP/1.1 503");
            }
            // The idle connection is closed immediately, the busy one after its response, which
            // contains "connection: close".
            assertThat(idle.readToEnd()).isNotNull().isEmpty();
            worker.write(answer("200 OK", "", done("r1")));
            assertThat(busy.read())
                    .startsWith("HTTP/1.1 200")
                    .contains("\r\nconnection: close\r\n");
            assertThat(busy.isClosedByOther()).isTrue();
            assertThat(node.call("resume")).startsWith("200 resumed");
            assertThat(node.call("ready")).isEqualTo("200 ready");
            try (Peer after = node.client()) {
                assertThat(after.write(READY).read())
                        .startsWith("HTTP/1.1 200")
                        .doesNotContain("close");
            }
        }
    }
}
