package cresschute.control;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The stored state of a node's drains: those in force and the operations that were completed. As a
 * file it is a {@link ChecksummedFile} whose body is JSON. Immutable; pure.
 *
 * @param generation increases by one with every snapshot, over restarts too
 * @param drains the drains in force, oldest first
 * @param completed the operations that are remembered, oldest first
 */
public record DrainSnapshot(
        long generation, List<Drain> drains, List<CompletedOperation> completed) {

    private static final String FILE_KIND = "cresschute-drains 1";
    private static final Gson GSON = new Gson();

    private record Body(
            @SerializedName("drains") List<Drain> drains,
            @SerializedName("operations") List<CompletedOperation> completed) {}

    /** The state of a node that has stored nothing yet. */
    public static DrainSnapshot empty() {
        return new DrainSnapshot(0, List.of(), List.of());
    }

    /** The bytes of a file. */
    public byte[] encode() {
        return ChecksummedFile.encode(
                FILE_KIND,
                generation,
                GSON.toJson(new Body(drains, completed)).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads a complete file.
     *
     * @throws DamagedFileException if it is torn, changed or of another kind
     */
    public static DrainSnapshot decode(byte[] bytes) throws DamagedFileException {
        final ChecksummedFile file = ChecksummedFile.decode(FILE_KIND, bytes);
        try {
            final Body body =
                    GSON.fromJson(new String(file.body(), StandardCharsets.UTF_8), Body.class);
            return new DrainSnapshot(
                    file.generation(), List.copyOf(body.drains()), List.copyOf(body.completed()));
        } catch (JsonParseException | NullPointerException | IllegalArgumentException e) {
            throw new DamagedFileException(
                    "its content is not that of a snapshot: " + e.getMessage());
        }
    }
}
