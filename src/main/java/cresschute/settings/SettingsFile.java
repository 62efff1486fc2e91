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
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Reads settings scripts: runs a script, then checks the blocks that it declared. The result lists
 * all problems up to the point where the script stopped. Thread-safe and stateless.
 */
public final class SettingsFile {

    /**
     * The outcome of reading a script.
     *
     * @param settings the settings, or null if there are problems
     * @param problems the problems, in the order of their positions
     */
    public record Result(NodeSettings settings, List<Problem> problems) {}

    /** Minimum length of the key that dispatchers share, bytes. */
    static final int MIN_KEY_BYTES = 16;

    private static final int MAX_KEY_FILE_BYTES = 4_096;

    private SettingsFile() {}

    /**
     * Reads a script from a UTF-8 file. Errors in the script are part of the result.
     *
     * @throws IOException if the file cannot be read
     */
    public static Result read(Path file) throws IOException {
        // Checked before the file is read into memory.
        if (Files.size(file) > 4L * Bounds.DEFAULT.scriptChars()) {
            return new Result(
                    null,
                    List.of(
                            new Problem(
                                    Position.START,
                                    "the script is too long; at most "
                                            + Bounds.DEFAULT.scriptChars()
                                            + " characters are allowed")));
        }
        try {
            return parse(
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(Files.readAllBytes(file)))
                            .toString(),
                    SettingsFile::keyFileProblem);
        } catch (CharacterCodingException e) {
            return new Result(
                    null, List.of(new Problem(Position.START, "the file is not UTF-8 text")));
        }
    }

    /** Reads the text of a script. Does not check the files that the script names. */
    public static Result parse(String text) {
        return parse(text, file -> null);
    }

    /**
     * Reads the shared key from a file: its bytes without trailing line breaks.
     *
     * @throws IOException if the file cannot be read or is longer than 4,096 bytes
     */
    public static byte[] readKey(String file) throws IOException {
        if (Files.size(Path.of(file)) > MAX_KEY_FILE_BYTES) {
            throw new IOException("longer than " + MAX_KEY_FILE_BYTES + " bytes");
        }
        final byte[] bytes = Files.readAllBytes(Path.of(file));
        int length = bytes.length;
        while (length > 0 && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r')) {
            length--;
        }
        return Arrays.copyOf(bytes, length);
    }

    /** Checks a key file; returns what is wrong with it, or null if nothing is. */
    private static String keyFileProblem(String file) {
        try {
            final int length = readKey(file).length;
            return length == 0
                    ? "is empty"
                    : length < MIN_KEY_BYTES ? "has " + length + " bytes" : null;
        } catch (NoSuchFileException e) {
            return "does not exist";
        } catch (IOException e) {
            return "cannot be read: " + e.getMessage();
        }
    }

    private static Result parse(String text, UnaryOperator<String> keyFileProblem) {
        final List<Problem> problems = new ArrayList<>();
        final BlockDeclarations blocks = new BlockDeclarations();
        final Map<String, Builtin> host = new HashMap<>();
        for (final Block block : Schema.BLOCKS) {
            host.put(
                    block.name(),
                    call -> {
                        if (blocks.all(block).size() >= block.max()) {
                            throw new ScriptError(
                                    call.at(),
                                    block.name()
                                            + " is declared too often; at most "
                                            + (block.max() == 1 ? "once" : block.max() + " times")
                                            + " is allowed");
                        }
                        blocks.add(BlockDeclaration.read(block, call, problems));
                        return Values.NONE;
                    });
        }
        final List<ScriptError> errors = Script.run(text, host, Bounds.DEFAULT);
        errors.forEach(error -> problems.add(new Problem(error.position(), error.getMessage())));
        // After an error in the script, missing blocks are not reported: the script may not have
        // reached them.
        new SettingsChecks(blocks, problems, keyFileProblem).check(errors.isEmpty());
        if (problems.isEmpty()) {
            return new Result(new SettingsBuilder(blocks).build(), List.of());
        }
        Collections.sort(problems);
        return new Result(null, List.copyOf(problems));
    }

    /**
     * Returns the reference of all blocks and fields in Markdown, which is part of {@code
     * docs/settings.md}.
     */
    public static String reference() {
        return SchemaReference.markdown();
    }
}
