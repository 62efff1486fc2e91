package cresschute.settings;

import cresschute.settings.script.Bounds;
import cresschute.settings.script.Builtin;
import cresschute.settings.script.Position;
import cresschute.settings.script.Script;
import cresschute.settings.script.ScriptError;
import cresschute.settings.script.Values;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads settings scripts: runs the script, then checks all that it stated. It tells everything that is wrong
 * at once, as far as the script ran. Any thread; nothing is kept between calls.
 */
public final class SettingsFile {

    /**
     * What came of a script.
     *
     * @param settings the settings, or null where there are problems
     * @param problems what is wrong, in the order of the text
     */
    public record Result(ApplianceSettings settings, List<Problem> problems) {}

    private SettingsFile() {}

    /** Reads a file of UTF-8 text; one that cannot be read is an exception, one that is wrong is a result. */
    public static Result read(Path file) throws IOException {
        // Guards the heap against a path that names something huge.
        if (Files.size(file) > 4L * Bounds.USUAL.textChars()) {
            return new Result(null, List.of(new Problem(Position.START, "the script is too long; at most "
                + Bounds.USUAL.textChars() + " characters are allowed")));
        }
        try {
            return parse(StandardCharsets.UTF_8.newDecoder()
                .decode(ByteBuffer.wrap(Files.readAllBytes(file))).toString());
        } catch (CharacterCodingException e) {
            return new Result(null, List.of(new Problem(Position.START, "the file is not UTF-8 text")));
        }
    }

    /** Reads the text of a script. */
    public static Result parse(String text) {
        final List<Problem> problems = new ArrayList<>();
        final Map<String, List<Statement>> stated = new LinkedHashMap<>();
        final Map<String, Builtin> host = new HashMap<>();
        for (final Block block : Schema.BLOCKS) {
            stated.put(block.name(), new ArrayList<>());
            host.put(block.name(), call -> {
                if (stated.get(block.name()).size() >= block.most()) {
                    throw new ScriptError(call.at(), block.name() + " is stated too often; at most "
                        + (block.most() == 1 ? "once" : block.most() + " times") + " is allowed");
                }
                stated.get(block.name()).add(Statement.read(block, call, problems));
                return Values.NONE;
            });
        }
        final List<ScriptError> errors = Script.run(text, host, Bounds.USUAL);
        errors.forEach(error -> problems.add(new Problem(error.position(), error.getMessage())));
        final SettingsChecks checks = new SettingsChecks(stated, problems);
        // What a script that broke off does not state may only not have been reached.
        checks.check(errors.isEmpty());
        if (problems.isEmpty()) {
            return new Result(checks.settings(), List.of());
        }
        Collections.sort(problems);
        return new Result(null, List.copyOf(problems));
    }

    /** The reference of all blocks and fields, in Markdown, as {@code docs/settings.md} holds it. */
    public static String reference() {
        return Schema.reference();
    }
}
