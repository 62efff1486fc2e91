package cresschute;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What {@code .ci/run} makes of KNOWN-RED.txt, with a Maven that notes how it is called and ends as
 * told.
 */
class KnownFailuresTest {

    private static final String KNOWN_FAILURE =
            "cresschute.node.MainTest#first, mvn test -Dtest=MainTest seed 31, no answer, issue 7";

    @TempDir private Path folder;

    @BeforeEach
    void copyScript() throws IOException {
        Files.createDirectories(folder.resolve(".ci"));
        Files.copy(Path.of(".ci/run"), folder.resolve(".ci/run"));
        Files.createDirectories(folder.resolve("bin"));
        writeProgram("javac", "exit 0");
        // The copied list of exclusions is gone after the run.
        writeProgram(
                "mvn",
                """
                echo "$*" | sed 's/excludesFile=[^ ]*/excludesFile=F/' >>calls
                for word in "$@"; do
                  case $word in -Dsurefire.excludesFile=*) cat "${word#*=}" >excluded ;; esac
                done
                case "$*" in *verify*) exit $VERIFY_CODE ;; *) exit $RED_CODE ;; esac
                """);
    }

    private void writeProgram(String name, String text) throws IOException {
        final Path file =
                Files.writeString(folder.resolve("bin").resolve(name), "#!/bin/sh\n" + text);
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rwxr-xr-x"));
    }

    /** What the script prints, its exit code last. */
    private List<String> runScript(int verifyCode, int redCode) throws Exception {
        final ProcessBuilder builder =
                new ProcessBuilder("bash", folder.resolve(".ci/run").toString());
        builder.environment().put("PATH", folder.resolve("bin") + ":" + System.getenv("PATH"));
        builder.environment().put("VERIFY_CODE", String.valueOf(verifyCode));
        builder.environment().put("RED_CODE", String.valueOf(redCode));
        try (ProgramProcess script = ProgramProcess.start(builder)) {
            final List<String> lines = script.remainingLines();
            lines.add("exit " + script.exitCode());
            return lines;
        }
    }

    private void writeKnownFailures(String... lines) throws IOException {
        Files.write(folder.resolve("KNOWN-RED.txt"), List.of(lines));
    }

    private List<String> calls() throws IOException {
        return Files.exists(folder.resolve("calls"))
                ? Files.readAllLines(folder.resolve("calls"))
                : List.of();
    }

    @Test
    void usesExitCodeOfVerifyWithoutTheFile() throws Exception {
        assertThat(runScript(0, 1)).containsExactly("exit 0");
        assertThat(runScript(3, 0)).containsExactly("exit 3");
        assertThat(calls()).containsExactly("-B verify", "-B verify");
    }

    @Test
    void allowsOnlyListedTestsToFail() throws Exception {
        writeKnownFailures(KNOWN_FAILURE);
        assertThat(runScript(0, 1))
                .contains("  " + KNOWN_FAILURE)
                .contains("KNOWN-RED: cresschute.node.MainTest#first fails, or could not be run")
                .endsWith("exit 0");
        assertThat(calls())
                .containsExactly(
                        "-B verify -Dsurefire.excludesFile=F",
                        "-q -B surefire:test -Dtest=cresschute.node.MainTest#first");
        assertThat(Files.readAllLines(folder.resolve("excluded")))
                .containsExactly("**/cresschute/node/MainTest.class#first");
    }

    @Test
    void failsIfAnyOtherTestFails() throws Exception {
        writeKnownFailures(KNOWN_FAILURE);
        assertThat(runScript(1, 1)).contains("  " + KNOWN_FAILURE).endsWith("exit 1");
    }

    @Test
    void reportsListedTestThatPasses() throws Exception {
        writeKnownFailures(KNOWN_FAILURE);
        assertThat(runScript(0, 0))
                .contains("KNOWN-RED: cresschute.node.MainTest#first passes now; take its line out")
                .endsWith("exit 0");
    }

    @Test
    void rejectsUnusableFileBeforeAnyTestRuns() throws Exception {
        writeKnownFailures(KNOWN_FAILURE, KNOWN_FAILURE, KNOWN_FAILURE, KNOWN_FAILURE);
        assertThat(runScript(0, 0)).endsWith("exit 1");
        writeKnownFailures();
        assertThat(runScript(0, 0)).endsWith("exit 1");
        writeKnownFailures("cresschute.node.MainTest, mvn test seed 31, a whole class, issue 7");
        assertThat(runScript(0, 0)).endsWith("exit 1");
        writeKnownFailures("cresschute.node.*#first, mvn test seed 31, a pattern, issue 7");
        assertThat(runScript(0, 0)).endsWith("exit 1");
        writeKnownFailures("cresschute.node.MainTest#first, mvn test seed 31, no issue");
        assertThat(runScript(0, 0)).endsWith("exit 1");
        writeKnownFailures("cresschute.node.MainTest#first, , no command, issue 7");
        assertThat(runScript(0, 0)).endsWith("exit 1");
        assertThat(calls()).isEmpty();
    }
}
