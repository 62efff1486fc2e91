package cresschute.node;

import static cresschute.node.TestNode.answer;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests a settings reload: classes are added and removed, open requests keep their class, and
 * invalid files change nothing.
 */
@Timeout(30)
class SettingsReloadRulesTest {

    private static final String FILE_CLASS =
            """
            {"name":"file","idempotency":"token","group":"cell","keyTtlUs":4000000,"goalTimeUs":400000,
              "deadlineUs":5000000}\
            """;
    private static final String REPORT_CLASS =
            """
            {"name":"report","idempotency":"side_effect","worth":1,"goalTimeUs":400000,"deadlineUs":5000000}\
            """;

    private static String post(String path, String id) {
        return "POST /"
                + path
                + "?obj=2a HTTP/1.1\r\nHost: api\r\nX-Request-Id: "
                + id
                + "\r\nIdempotency-Key: k"
                + id
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static String done(String id) {
        return "{\"id\":\"" + id + "\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"yes\"}\n";
    }

    private static void reload(TestNode node, String text) {
        node.server.reload(() -> NodeConfigParser.parse(text, Map.of()));
    }

    @Test
    void appliesNewClassesAndLimitsWhileOpenRequestsKeepTheirClass() throws Exception {
        try (TestNode node = new TestNode();
                Peer early = node.client();
                Peer late = node.client();
                Peer gone = node.client()) {
            early.write(post("file", "r1"));
            assertThat(node.event()).isEqualTo("requested 1 class 1 key 42");
            final Peer worker = node.worker();
            assertThat(worker.read()).contains("POST /file");
            final String text = node.configText();
            assertThat(text).contains(FILE_CLASS.strip());
            reload(
                    node,
                    text.replace(FILE_CLASS.strip(), REPORT_CLASS.strip())
                            .replace(
                                    "\"retryAfter\":true",
                                    "\"retryAfter\":true,\"maxAttempts\":2"));
            assertThat(node.event()).isEqualTo("settings changed: 3 classes, attempts 2");
            late.write(post("report", "r2"));
            assertThat(node.event()).isEqualTo("requested 2 class 2 key 42");
            // Requests of a removed class are rejected.
            assertThat(gone.write(post("file", "r3")).read()).startsWith("HTTP/1.1 404");
            worker.write(answer("200 OK", "", done("r1")));
            assertThat(early.read()).startsWith("HTTP/1.1 200").endsWith("yes");
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            emptyValue = "",
            textBlock =
                    """
                    empty             |                                            | ''
                    cut off           |                                            | '{"name":"n0","listen":"127.0.0.1:0",'
                    short of a key    | '"goalTimeUs":400000,"deadlineUs":5000000}' | '"goalTimeUs":400000}'
                    short of a block  | '"zones":["a"],'                            | ''
                    a key with a default | ',"membershipMode":"ask"'               | ''
                    a class's key     | '"group":"cell",'                           | ''
                    deadline under 0  | '"deadlineUs":5000000}'                     | '"deadlineUs":-5}'
                    deadline of 0     | '"deadlineUs":5000000}'                     | '"deadlineUs":0}'
                    no attempts       | '"retryAfter":true'                         | '"retryAfter":true,"maxAttempts":0'
                    a class twice     | '"name":"file"'                             | '"name":"check"'
                    """)
    void keepsAllOldSettingsIfFileIsInvalid(String scenario, String from, String to)
            throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client()) {
            final String text = node.configText();
            assertThat(text).as(scenario).contains(from == null ? "" : from);
            reload(node, from == null ? to : text.replace(from, to));
            // If the file were applied, the dispatcher would be notified before the next request.
            client.write(post("file", "r1"));
            assertThat(node.event()).as(scenario).isEqualTo("requested 1 class 1 key 42");
        }
    }

    private static String withDeadline(String text, int deadlineMs) {
        return text.replace("\"deadlineUs\":5000000", "\"deadlineUs\":" + deadlineMs + "000");
    }

    /**
     * Guards against a node that applies no settings any more after many changed ones: class
     * numbers ran out after 64 changes. Open requests keep their class all along.
     */
    @Test
    void appliesChangedClassesHoweverManyConfigurationsCame() throws Exception {
        final int reloads = 150;
        try (TestNode node = new TestNode();
                Peer early = node.client();
                Peer late = node.client()) {
            early.write(post("file", "r1"));
            assertThat(node.event()).isEqualTo("requested 1 class 1 key 42");
            final Peer worker = node.worker();
            assertThat(worker.read()).contains("POST /file");
            final String text = node.configText();
            for (int i = 1; i <= reloads; i++) {
                reload(node, withDeadline(text, 4_000 + i % 2));
                assertThat(node.event()).as("reload " + i).startsWith("settings changed");
            }
            reload(node, text.replace(FILE_CLASS.strip(), REPORT_CLASS.strip()));
            assertThat(node.event()).isEqualTo("settings changed: 3 classes, attempts 1");
            late.write(post("report", "r2"));
            assertThat(node.event()).isEqualTo("requested 2 class 2 key 42");
            worker.write(answer("200 OK", "", done("r1")));
            assertThat(early.read()).startsWith("HTTP/1.1 200").endsWith("yes");
        }
    }

    /** A request that waits behind others of its connection keeps its class as well. */
    @Test
    void queuedRequestKeepsItsClass() throws Exception {
        final int maxInFlight = 16;
        try (TestNode node = new TestNode((actions, request) -> {});
                Peer client = node.client()) {
            for (int i = 1; i <= maxInFlight; i++) {
                client.write(post("check", "r" + i));
                assertThat(node.event()).isEqualTo("requested " + i + " class 0 key 42");
            }
            client.write(post("file", "queued"));
            // The queued request is read before a request that comes later on another connection.
            try (Peer other = node.client()) {
                other.write(post("check", "other"));
                assertThat(node.event()).isEqualTo("requested 17 class 0 key 42");
            }
            assertThat(node.event()).isEqualTo("left 17");
            reload(node, node.configText().replace(FILE_CLASS.strip(), REPORT_CLASS.strip()));
            assertThat(node.event()).isEqualTo("settings changed: 3 classes, attempts 1");
            node.act(actions -> actions.reject(1, 0));
            assertThat(client.read()).startsWith("HTTP/1.1 503");
            assertThat(node.event()).startsWith("listed FAILED");
            assertThat(node.event()).isEqualTo("requested 18 class 1 key 42");
        }
    }
}
