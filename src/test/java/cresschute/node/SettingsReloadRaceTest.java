package cresschute.node;

import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests events that race with a reload of the settings. See docs/results/crossings.md. */
@Timeout(30)
class SettingsReloadRaceTest extends RaceFixture {

    /**
     * A request whose head is read under the old settings and whose last byte arrives under the new
     * ones is handled by the new settings.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    gone    | "name":"file"       | "name":"other"      | 404
                    shorter | "deadlineUs":5000000 | "deadlineUs":4000000 | requested 3 class 3
                    """)
    void appliesSettingsInForceAtLastByteOfRequest(
            String scenario, String from, String to, String expected) throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer first = node.client();
                Peer second = node.client();
                Peer client = node.client()) {
            openRequestOfEachClass(node, first, second);
            client.write(
                    "POST /file HTTP/1.1\r\nX-Request-Id: r1\r\nIdempotency-Key: k\r\n"
                            + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            assertThat(client.read()).as(scenario).startsWith("HTTP/1.1 100");
            final String text = node.configText().replace(from, to);
            node.server.reload(() -> NodeConfigParser.parse(text, java.util.Map.of()));
            assertThat(node.event()).startsWith("settings changed");
            client.write("body");
            if (expected.startsWith("requested")) {
                assertThat(node.event()).startsWith(expected);
            } else {
                assertThat(client.read()).startsWith("HTTP/1.1 " + expected);
            }
        }
    }

    /** Keeps both numbers in use, so that a changed class gets another one. */
    private static void openRequestOfEachClass(TestNode node, Peer first, Peer second)
            throws Exception {
        first.write("POST /check HTTP/1.1\r\nX-Request-Id: c1\r\nContent-Length: 0\r\n\r\n");
        assertThat(node.event()).isEqualTo("requested 1 class 0 key 0");
        second.write(
                "POST /file HTTP/1.1\r\nX-Request-Id: f1\r\nIdempotency-Key: f\r\n"
                        + "Content-Length: 0\r\n\r\n");
        assertThat(node.event()).isEqualTo("requested 2 class 1 key 0");
    }

    /**
     * Two requests on one connection each use the settings in force when they were accepted; the
     * second one inherits no key or deadline from the first.
     */
    @Test
    void usesNoFieldOfPreviousRequestOnConnection() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer first = node.client();
                Peer second = node.client();
                Peer client = node.client()) {
            openRequestOfEachClass(node, first, second);
            client.write(
                    "POST /file?obj=2a HTTP/1.1\r\nX-Request-Id: r1\r\nIdempotency-Key: k\r\n"
                            + "X-Deadline: 900m\r\nContent-Length: 4\r\n\r\nbody");
            assertThat(node.event()).isEqualTo("requested 3 class 1 key 42");
            final String text =
                    node.configText()
                            .replace("\"idempotency\":\"pure\"", "\"idempotency\":\"side_effect\"");
            node.server.reload(() -> NodeConfigParser.parse(text, java.util.Map.of()));
            assertThat(node.event()).startsWith("settings changed");
            client.write("POST /check HTTP/1.1\r\nX-Request-Id: r2\r\nContent-Length: 0\r\n\r\n");
            assertThat(node.event()).isEqualTo("requested 4 class 2 key 0");
            node.act(actions -> actions.send(4, 0, Long.MAX_VALUE));
            assertThat(node.worker().read())
                    .doesNotContainIgnoringCase("Idempotency-Key")
                    .endsWith("\r\n\r\n")
                    .containsPattern("(?i)X-Deadline: 4[0-9]{6}u\r\n");
        }
    }

    /**
     * Regression: every request was counted against the first tenant's share, regardless of its own
     * tenant.
     */
    @Test
    void countsEachRequestAgainstItsOwnTenant() throws Exception {
        try (TestNode node = TestNode.configured(WITH_TENANTS, SEND_NOTHING);
                Peer client = node.client()) {
            client.write(
                    request("r1", "X-Tenant: beta co\r\n", "")
                            + request("r2", "X-Tenant: alpha\r\n", ""));
            assertThat(node.event()).isEqualTo("requested 1 class 0 key 42 tenant 1");
            assertThat(node.event()).isEqualTo("requested 2 class 0 key 42");
            // Only the name of the first tenant changes; its index and all other settings stay the
            // same.
            reload(node, text -> WITH_TENANTS.apply(text).replace("alpha", "gamma"));
            assertThat(node.event()).startsWith("settings changed");
            client.write(request("r3", "X-Tenant: gamma\r\n", ""));
            assertThat(node.event()).isEqualTo("requested 3 class 0 key 42");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "X-Tenant: \r\n",
                "X-Tenant: other\r\n",
                "X-Tenant: alpha\r\nX-Tenant: beta co\r\n"
            })
    void answers400ToRequestWithoutUsableTenant(String headers) throws Exception {
        try (TestNode node = TestNode.configured(WITH_TENANTS, SEND_NOTHING);
                Peer client = node.client()) {
            client.write(request("r1", headers, ""));
            assertThat(client.read()).startsWith("HTTP/1.1 400").containsIgnoringCase("X-Tenant");
            client.write(request("r1", "X-Tenant: alpha\r\n", ""));
            assertThat(node.event()).startsWith("requested 1");
        }
    }

    /**
     * Regression: a changed idle timeout or connect timeout took effect only after a restart. The
     * test waits less than the old values.
     */
    @Test
    void closesIdleConnectionsOnShorterIdleTimeout() throws Exception {
        try (TestNode node =
                        TestNode.configured(
                                text ->
                                        text.replace(
                                                "\"connIdleUs\":2000000",
                                                "\"connIdleUs\":60000000"),
                                SEND_AT_ONCE);
                Peer client = node.client()) {
            final Peer worker = keepConnection(node, client);
            reload(node, text -> text.replace("\"connIdleUs\":2000000", "\"connIdleUs\":50000000"));
            assertThat(worker.isClosedByOther()).isTrue();
        }
    }

    @Test
    void appliesNewConnectTimeout() throws Exception {
        final UnaryOperator<String> patient =
                text -> text.replace("deadlineUs\":5000000", "deadlineUs\":60000000");
        try (TestNode node =
                        TestNode.configured(
                                text -> patient.apply(text).replace("250000", "40000000"),
                                SEND_AT_ONCE);
                Peer client = node.client()) {
            fillBacklog(node.worker);
            reload(node, patient);
            client.write(request("r1", "", ""));
            assertThat(eventStarting(node, "ended"))
                    .startsWith("ended 1 0 CONNECT_FAILED closed false");
        }
    }

    /**
     * Regression: the longest idle client was evicted for a new client although its request lay
     * unread, and got no answer.
     */
    @Test
    void neverEvictsClientWithUnreadRequest() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer early = node.client()) {
            // 83 of the 200 descriptors are for clients. The request of the 82nd client shows that
            // all 82 are accepted.
            for (int i = 2; i <= 82; i++) {
                peers.add(node.client());
            }
            peers.get(peers.size() - 1).write(request("last", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            whileLoopBlocked(
                    node,
                    actions -> {
                        peers.add(node.client());
                        early.write(request("early", "", ""));
                    });
            assertThat(eventStarting(node, "requested")).startsWith("requested 2");
            assertThat(peers.get(0).isClosedByOther()).isTrue();
        }
    }
}
