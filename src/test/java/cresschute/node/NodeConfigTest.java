package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.dispatch.Idempotency;
import java.net.ServerSocket;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeConfigTest {

    private static String validConfig() throws Exception {
        try (ServerSocket unusedServer = Peer.listen()) {
            return TestNode.config(unusedServer, TestNode.list(3, true, ""));
        }
    }

    @Test
    void parsesFileAndEnvironment() throws Exception {
        final NodeConfig config =
                NodeConfigParser.parse(validConfig(), Map.of("BALANCER_LISTEN", "127.0.0.9:7"));
        assertThat(config.listen().toString()).isEqualTo("/127.0.0.9:7");
        assertThat(config.classes()).containsExactly("check", "file");
        assertThat(config.settings().classes().get(1).idempotency()).isEqualTo(Idempotency.KEYED);
        assertThat(config.settings().endpointListIsPolled()).isTrue();
        assertThat(config.timeouts())
                .isEqualTo(
                        new NodeTimeouts(250_000, 2_000_000, NodeTimeouts.DEFAULT_DRAIN_GRACE_US));
        assertThat(config.initialEndpoints().version()).isEqualTo(3);
    }

    @Test
    void parsesDrainGrace() throws Exception {
        final String config =
                validConfig()
                        .replace(
                                "\"limits\":{\"conn",
                                "\"rules\":{\"drainGraceUs\":60000},\"limits\":{\"conn");
        final NodeConfig parsed = NodeConfigParser.parse(config, Map.of());
        assertThat(parsed.timeouts().drainGraceUs()).isEqualTo(60_000);
    }

    @Test
    void parsesOperatorSettings() throws Exception {
        final NodeConfig none = NodeConfigParser.parse(validConfig(), Map.of());
        assertThat(none.operators()).isEqualTo(OperatorSettings.NONE);
        final String withManagement =
                validConfig()
                        .replace(
                                "\"name\":\"n0\",",
                                "\"name\":\"n0\",\"management\":\"127.0.0.3:91\",");
        assertThat(
                        NodeConfigParser.parse(withManagement, Map.of())
                                .operators()
                                .managementAddress()
                                .toString())
                .isEqualTo("/127.0.0.3:91");
        final NodeConfig config =
                NodeConfigParser.parse(
                        withManagement,
                        Map.of(
                                "BALANCER_MANAGEMENT",
                                "127.0.0.4:92",
                                "BALANCER_PASSED_SOCKET",
                                "0",
                                "TMPDIR",
                                "/run/n0"));
        assertThat(config.operators())
                .isEqualTo(new OperatorSettings(Addresses.parse("127.0.0.4:92"), true, "/run/n0"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    BALANCER_PASSED_SOCKET | 3
                    BALANCER_PASSED_SOCKET | zero
                    BALANCER_MANAGEMENT    | localhost:91
                    BALANCER_MANAGEMENT    | 127.0.0.1
                    """)
    void rejectsUnusableEnvironmentVariable(String variable, String value) throws Exception {
        assertThatThrownBy(() -> NodeConfigParser.parse(validConfig(), Map.of(variable, value)))
                .isInstanceOf(ConfigException.class)
                .message()
                .contains(value)
                .hasLineCount(1);
    }

    @Test
    void flattensNestedSettings() {
        assertThat(
                        SettingsFlattener.flatten(
                                Json.object(
                                        """
                                        {"a":{"b":1.5,"c":"free slots"},"d":[1,2],"e":[],"f":[{"g":true},{"g":"x,y"}],"h":null}\
                                        """)))
                .isEqualTo(
                        "a.b=1.5\na.c=free_slots\nd=1,2\ne=\nf.count=2\nf.0.g=true\nf.1.g=x_y\n");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    "seed":"92094eb940cf389a" | "seed":"none"
                    "seed":"92094eb940cf389a" | "seed":7
                    127.0.0.1:0               | localhost:0
                    127.0.0.1:0               | 127.0.0.1:70000
                    127.0.0.1:0               | 127.0.0.1
                    "classes"                 | "none"
                    "pure"                    | "odd"
                    "worth":2                 | "worth":-2
                    "limits":{"sockets":200}  | "limits":7
                    "servers":[]              | "servers":[{}]
                    "zones"                   | zones
                    "balancers":1             | "balancers":0
                    """)
    void rejectsUnusableFileWithOneLineMessage(String from, String to) throws Exception {
        final String text = validConfig();
        assertThat(text).contains(from);
        assertThatThrownBy(() -> NodeConfigParser.parse(text.replace(from, to), Map.of()))
                .isInstanceOf(ConfigException.class)
                .message()
                .hasLineCount(1);
    }
}
