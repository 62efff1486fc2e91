package cresschute.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the {@code peers} block: its conversion to settings, its checks and the key file. */
class PeersSettingsTest {

    private static final String NODE = "node(name = \"n\", listen = \"127.0.0.1:0\")\n";
    private static final String WORKER = "worker(id = \"w\", address = \"127.0.0.1:9\")\n";
    private static final String CLASS =
            "job_class(name = \"a\", worth = 1, aim = 1 * s, deadline = 2 * s, effect ="
                    + " \"safe\")\n";

    private static List<String> problems(String text) {
        return SettingsFile.parse(text).problems().stream()
                .map(problem -> problem.format("f"))
                .toList();
    }

    private static NodeSettings settings(String text) {
        final SettingsFile.Result result = SettingsFile.parse(text);
        assertThat(result.problems()).isEmpty();
        return result.settings();
    }

    private static final String PEERS_NODE =
            "node(name = \"n\", listen = \"127.0.0.1:0\", dispatchers = 3)\n"
                    + "limits(probes = True)\n"
                    + WORKER
                    + CLASS;

    private static String peers(String addresses, String otherFields) {
        return "peers(listen = \"10.0.0.1:7946\", addresses = ["
                + addresses
                + "], key_file = \"/k\""
                + otherFields
                + ")";
    }

    @Test
    void convertsPeersBlockAndFormatsIt() {
        final NodeSettings settings =
                settings(
                        PEERS_NODE
                                + peers(
                                        "\"10.0.0.2:7946\", \"[::1]:7947\"",
                                        ", bytes_per_second = 900"));
        assertThat(settings.peers())
                .isEqualTo(
                        new NodeSettings.Peers(
                                IpAddress.parse("10.0.0.1:7946"),
                                List.of(
                                        IpAddress.parse("10.0.0.2:7946"),
                                        IpAddress.parse("[::1]:7947")),
                                "/k",
                                900));
        assertThat(settings(settings.formattedScript())).isEqualTo(settings);
        assertThat(
                        settings(PEERS_NODE + peers("\"10.0.0.2:7946\", \"10.0.0.3:7946\"", ""))
                                .peers()
                                .bytesPerS())
                .isEqualTo(3_000);
        assertThat(settings(NODE + WORKER + CLASS).peers()).isNull();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
                    "10.0.0.2:7946", "10.0.0.2:7946" | peers: addresses has "10.0.0.2:7946" twice
                    "10.0.0.2:7946", "10.0.0.1:7946" | peers: addresses has "10.0.0.1:7946", which is this dispatcher's own listen; list only the other dispatchers
                    "10.0.0.2:7946"                  | peers: addresses names 1 peers, but node has dispatchers = 3; with this one there are 2
                    "10.0.0.2:0", "10.0.0.3:7946"    | peers: port 0 is not allowed; the other dispatchers need a fixed port
                    "w", "10.0.0.3:7946"             | peers: addresses is a list; allowed: a list of IP addresses with ports, such as ["10.0.0.2:7946"]
                    """)
    void reportsEachInvalidPeerAddressOnce(String addresses, String message) {
        assertThat(problems(PEERS_NODE + peers(addresses, "")))
                .singleElement()
                .asString()
                .endsWith(": " + message);
    }

    @Test
    void requiresProbesLoadReportsAndMinimumRate() {
        final String two = "\"10.0.0.2:7946\", \"10.0.0.3:7946\"";
        final String needs =
                ": peers: needs limits(probes = True) and reports(load = True); workers are queried"
                        + " for load while the peers' counts are incomplete";
        assertThat(problems(PEERS_NODE.replace("limits(probes = True)", "") + peers(two, "")))
                .singleElement()
                .asString()
                .endsWith(needs);
        assertThat(problems(PEERS_NODE + "reports(load = False)\n" + peers(two, "")))
                .singleElement()
                .asString()
                .endsWith(needs);
        assertThat(problems(PEERS_NODE + peers(two, ", bytes_per_second = 150")))
                .singleElement()
                .asString()
                .endsWith(
                        "peers: bytes_per_second 150 is below 100 for each of 2 peers, which is"
                                + " 200");
        assertThat(problems(PEERS_NODE + peers("", "")))
                .anyMatch(
                        each ->
                                each.endsWith(
                                        "peers: addresses is empty; omit the block if there are no"
                                                + " other dispatchers"));
    }

    @Test
    void checksKeyFileWhenScriptIsReadFromFile(@TempDir Path folder) throws IOException {
        final Path script = folder.resolve("site.star");
        final Path key = folder.resolve("key");
        Files.writeString(
                script,
                (PEERS_NODE + peers("\"10.0.0.2:7946\", \"10.0.0.3:7946\"", ""))
                        .replace("/k", key.toString()));
        final String line = "peers: key_file \"" + key + "\" %s; it must hold at least 16 bytes";
        assertThat(SettingsFile.read(script).problems())
                .singleElement()
                .returns(line.formatted("does not exist"), Problem::message);
        Files.writeString(key, "\n");
        assertThat(SettingsFile.read(script).problems())
                .singleElement()
                .returns(line.formatted("is empty"), Problem::message);
        Files.writeString(key, "fifteen letters\r\n");
        assertThat(SettingsFile.read(script).problems())
                .singleElement()
                .returns(line.formatted("has 15 bytes"), Problem::message);
        Files.writeString(key, "sixteen letters.\n");
        assertThat(SettingsFile.read(script).problems()).isEmpty();
        assertThat(SettingsFile.readKey(key.toString())).hasSize(16);
    }
}
