package cresschute.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that {@code policy} in the deploy file lists every source file of the dispatch package.
 */
class PolicyFilesTest {

    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final Path MODULE = Path.of("src/main/java/cresschute/dispatch");

    private static List<String> listedFiles() throws IOException {
        final String policy =
                Files.readAllLines(DEPLOY_FILE).stream()
                        .filter(line -> line.startsWith("policy = "))
                        .findFirst()
                        .orElseThrow();
        return Pattern.compile("\"([^\"]+)\"")
                .matcher(policy)
                .results()
                .map((MatchResult file) -> file.group(1))
                .toList();
    }

    @Test
    void policyListsEveryFileOfTheModule() throws IOException {
        try (Stream<Path> files = Files.walk(MODULE)) {
            final List<String> sources =
                    files.filter(Files::isRegularFile).map(Path::toString).toList();
            assertThat(listedFiles()).containsExactlyInAnyOrderElementsOf(sources);
        }
    }
}
