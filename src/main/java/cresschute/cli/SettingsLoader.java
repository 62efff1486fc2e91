package cresschute.cli;

import cresschute.settings.NodeSettings;
import cresschute.settings.SettingsFile;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/** Reads settings scripts for the commands and turns failures into messages for the user. */
final class SettingsLoader {

    private SettingsLoader() {}

    /** The file cannot be read or contains errors. */
    static final class UnusableSettingsException extends Exception {

        private static final long serialVersionUID = 1L;
        private final transient List<String> lines;

        UnusableSettingsException(List<String> lines) {
            super(lines.get(0), null, false, false);
            this.lines = List.copyOf(lines);
        }

        /** One line per error. */
        List<String> lines() {
            return lines;
        }
    }

    /** Loads settings that are free of errors. */
    static NodeSettings load(Path file) throws UnusableSettingsException {
        final SettingsFile.Result result = read(file);
        if (result.settings() == null) {
            throw new UnusableSettingsException(
                    result.problems().stream().map(each -> each.format(file.toString())).toList());
        }
        return result.settings();
    }

    /** Reads a script and returns its settings or its errors; throws if it cannot be read. */
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
