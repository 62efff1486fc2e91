package cresschute.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class ModuleSizeTest {

    private static final Path MODULE = Path.of("src/main/java/cresschute/dispatch/Logic.java");

    @Test
    void moduleStaysWithinItsPagesAndColumns() throws IOException {
        final List<String> lines = Files.readAllLines(MODULE);
        assertThat(lines.stream().filter(line -> !line.isBlank()).count()).isLessThanOrEqualTo(700);
        assertThat(lines).filteredOn(line -> line.length() > 110).isEmpty();
        assertThat(lines.get(0)).contains("DispatchApi");
    }
}
