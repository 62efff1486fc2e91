package cresschute.testbed.bodies;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.node.NodeConfig;
import cresschute.node.NodeServer;
import cresschute.settings.SettingsFile;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Transfers long bodies through a whole node with the real decision module, between peers with
 * given speeds, stalls and resets.
 */
@Timeout(60)
class BodyPeersTest {

    private static final int MB = 1_000_000;
    private final BodiesSite site;
    private NodeServer node;
    private InetSocketAddress to;
    private int lastId;

    BodyPeersTest() throws IOException {
        site = new BodiesSite(4);
    }

    @BeforeEach
    void start(@TempDir Path folder) throws IOException {
        final Path script = folder.resolve("bodies.star");
        site.writeSettings(script, List.of());
        node =
                new NodeServer(
                        NodeConfig.of(
                                SettingsFile.parse(
                                                Files.readString(script)
                                                        .replace(
                                                                "kinds = [\"quick\"]",
                                                                "kinds = [\"long\"]")
                                                        .replace("stall = 20 * s", "stall = 1 * s"))
                                        .settings(),
                                1));
        to = (InetSocketAddress) node.start();
    }

    @AfterEach
    void end() throws IOException {
        node.halt();
        site.close();
        assertThat(site.violations()).isEmpty();
        assertThat(node.invariantBreaches()).isZero();
    }

    private BodyClient.Plan plan(String target, long upload) {
        return new BodyClient.Plan(
                to,
                "b" + ++lastId,
                target,
                upload,
                false,
                TransferProfile.FULL,
                TransferProfile.FULL,
                -1,
                false);
    }

    @Test
    void transfersEveryByteBothWaysAtDifferentSpeeds() {
        final BodyClient.Result up = BodyClient.run(plan("/upload?in=20000000", 20 * MB));
        assertThat(up.status()).isEqualTo(200);
        assertThat(up.text()).startsWith(20 * MB + " ");
        final BodyClient.Plan slowly =
                new BodyClient.Plan(
                        to,
                        "down",
                        "/report?result=" + 20 * MB,
                        0,
                        false,
                        TransferProfile.FULL,
                        TransferProfile.of(20 * MB),
                        -1,
                        false);
        final BodyClient.Result down = BodyClient.run(slowly);
        assertThat(down)
                .extracting(
                        BodyClient.Result::status,
                        BodyClient.Result::complete,
                        BodyClient.Result::bytes)
                .containsExactly(200, true, 20L * MB);
    }

    @Test
    void forwardsChunkedBody() {
        final BodyClient.Plan plan =
                new BodyClient.Plan(
                        to,
                        "chunks",
                        "/upload",
                        3 * MB,
                        true,
                        TransferProfile.FULL,
                        TransferProfile.FULL,
                        -1,
                        false);
        assertThat(BodyClient.run(plan).text()).startsWith(3 * MB + " ");
        assertThat(site.ran("chunks")).isTrue();
    }

    /**
     * A job whose body was received only in part has not run. Its request is not sent again if its
     * body is longer than the node keeps for a further attempt.
     */
    @Test
    void answers503WhenWorkerResetsDuringBody() {
        final BodyClient.Result result = BodyClient.run(plan("/upload?reset=1000000", 20 * MB));
        assertThat(result.status()).isEqualTo(503);
        assertThat(site.ran("b1")).isFalse();
    }

    @Test
    void answers503WhenWorkerStallsDuringBody() {
        assertThat(BodyClient.run(plan("/upload?stall=1000000", 40 * MB)).status()).isEqualTo(503);
        assertThat(site.ran("b1")).isFalse();
    }

    @Test
    void truncatesResultWhenWorkerResetsOrStalls() {
        for (final String fault : List.of("reset", "stall")) {
            final BodyClient.Result result =
                    BodyClient.run(plan("/report?result=" + 20 * MB + "&" + fault + "=1000000", 0));
            assertThat(result)
                    .as(fault)
                    .extracting(BodyClient.Result::status, BodyClient.Result::complete)
                    .containsExactly(200, false);
        }
    }

    /** A client on a slow connection is served; one that sends a byte now and then is rejected. */
    @Test
    void servesSlowClientAndRejectsSlowloris() {
        final BodyClient.Plan line =
                new BodyClient.Plan(
                        to,
                        "line",
                        "/upload",
                        100_000,
                        false,
                        TransferProfile.of(40_000),
                        TransferProfile.FULL,
                        -1,
                        false);
        assertThat(BodyClient.run(line).status()).isEqualTo(200);
        final BodyClient.Plan loris =
                new BodyClient.Plan(
                        to,
                        "loris",
                        "/upload",
                        MB,
                        false,
                        TransferProfile.of(40),
                        TransferProfile.FULL,
                        -1,
                        false);
        assertThat(BodyClient.run(loris).status()).isEqualTo(408);
        assertThat(site.ran("loris")).isFalse();
    }

    /** A client that reads at modem speed must not make the node hold more memory or stop. */
    @Test
    void servesOthersAfterSlowReaderLeaves() {
        final BodyClient.Plan modem =
                new BodyClient.Plan(
                        to,
                        "modem",
                        "/report?result=" + 300 * MB,
                        0,
                        false,
                        TransferProfile.FULL,
                        TransferProfile.of(7_000),
                        14_000,
                        false);
        final BodyClient.Result result = BodyClient.run(modem);
        assertThat(result.status()).isEqualTo(200);
        assertThat(result.bytes()).isGreaterThanOrEqualTo(14_000);
        assertThat(BodyClient.run(plan("/upload", 2 * MB)).status()).isEqualTo(200);
    }
}
