package cresschute.cli;

import cresschute.settings.NodeSettings;
import cresschute.settings.SettingsFile;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/** Brings settings scripts to the commands. */
final class SettingsLoader {

    private SettingsLoader() {}

    /** A file that cannot be read, or states what cannot be used. */
    static final class UnusableSettingsException extends Exception {

        private static final long serialVersionUID = 1L;
        private final transient List<String> lines;

        UnusableSettingsException(List<String> lines) {
            super(lines.get(0), null, false, false);
            this.lines = List.copyOf(lines);
        }

        /** All that is wrong, a line each. */
        List<String> lines() {
            return lines;
        }
    }

    /** The settings of a file. */
    static NodeSettings load(Path file) throws UnusableSettingsException {
        final SettingsFile.Result result = read(file);
        if (result.settings() == null) {
            throw new UnusableSettingsException(
                    result.problems().stream().map(each -> each.format(file.toString())).toList());
        }
        return result.settings();
    }

    /** What came of a file; one that cannot be read is an exception. */
    static SettingsFile.Result read(Path file) throws UnusableSettingsException {
        try {
            return SettingsFile.read(file);
        } catch (IOException e) {
            final String reason =
                    e instanceof NoSuchFileException ? "there is no such file" : e.toString();
            throw new UnusableSettingsException(
                    List.of("cresschute: cannot read " + file + ": " + reason));
        }
    }
}
