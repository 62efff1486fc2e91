package cresschute.control.files;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AtomicFileTest {

    @TempDir private Path folder;

    private AtomicFile file() {
        return new AtomicFile(folder.resolve("state"), folder.resolve("state.new"));
    }

    @Test
    void replaceLeavesOnlyTheNewBytes() throws IOException {
        file().replace(new byte[] {1, 2, 3});
        file().replace(new byte[] {4});
        file().syncFolder();
        assertThat(file().read()).containsExactly(4);
        try (Stream<Path> files = Files.list(folder)) {
            assertThat(files).containsExactly(folder.resolve("state"));
        }
    }

    @Test
    void failedReplaceLeavesTheOldBytes() throws IOException {
        file().replace(new byte[] {1});
        Files.createDirectory(folder.resolve("state.new"));
        assertThatThrownBy(() -> file().replace(new byte[] {2})).isInstanceOf(IOException.class);
        assertThat(file().read()).containsExactly(1);
    }

    @Test
    void quarantinedFileKeepsItsBytes() throws IOException {
        file().replace(new byte[] {1});
        assertThat(file().quarantine())
                .isEqualTo(folder.resolve("state.refused"))
                .hasBinaryContent(new byte[] {1});
        assertThatThrownBy(() -> file().read()).isInstanceOf(NoSuchFileException.class);
    }
}
