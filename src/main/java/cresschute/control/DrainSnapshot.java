package cresschute.control;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The stored drain state of a node: the drains in force and the completed operations. It is stored
 * as a {@link ChecksummedFile} whose body is JSON. Immutable; pure.
 *
 * @param generation one higher than that of the previous snapshot; after a restart, one higher than
 *     that of the snapshot that was loaded
 * @param drains the drains in force, oldest first
 * @param completed the completed operations that are kept, oldest first
 */
public record DrainSnapshot(
        long generation, List<Drain> drains, List<CompletedOperation> completed) {

    private static final String FILE_KIND = "cresschute-drains 1";
    private static final Gson GSON = new Gson();

    private record Body(
            @SerializedName("drains") List<Drain> drains,
            @SerializedName("operations") List<CompletedOperation> completed) {}

    /** Returns the state of a node that has stored nothing yet. */
    public static DrainSnapshot empty() {
        return new DrainSnapshot(0, List.of(), List.of());
    }

    /** Encodes the snapshot as a complete file. */
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
                    "its body is not a valid drain snapshot: " + e.getMessage());
        }
    }
}
