package cresschute.control;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import cresschute.control.ChecksummedFile.DamagedFileException;
import cresschute.control.DrainRegistry.Drain;
import cresschute.control.DrainRegistry.Remembered;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What a node keeps of its operators: the drains in force, and the operations that were carried
 * out. Its form in a file is one line that tells version, generation, length and a checksum of all
 * the rest, and then JSON. Pure.
 *
 * @param generation counts up with every snapshot, over restarts too
 */
public record Snapshot(long generation, List<Drain> drains, List<Remembered> operations) {

    private static final String KIND = "cresschute-drains 1";
    private static final Gson GSON = new Gson();

    private record Body(
            @SerializedName("drains") List<Drain> drains,
            @SerializedName("operations") List<Remembered> operations) {}

    /** The bytes of a file. */
    public byte[] encode() {
        return ChecksummedFile.encode(
                KIND,
                generation,
                GSON.toJson(new Body(drains, operations)).getBytes(StandardCharsets.UTF_8));
    }

    /** Reads a file's bytes whole; anything torn, flipped or foreign in them is an error. */
    public static Snapshot decode(byte[] bytes) throws DamagedFileException {
        final ChecksummedFile framed = ChecksummedFile.decode(KIND, bytes);
        try {
            final Body read =
                    GSON.fromJson(new String(framed.body(), StandardCharsets.UTF_8), Body.class);
            return new Snapshot(
                    framed.generation(),
                    List.copyOf(read.drains()),
                    List.copyOf(read.operations()));
        } catch (JsonParseException | NullPointerException | IllegalArgumentException e) {
            throw new DamagedFileException(
                    "its content is not that of a snapshot: " + e.getMessage());
        }
    }
}
