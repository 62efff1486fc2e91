package cresschute.control;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What the platform's operators have asked of a node, and what stays in force until they undo it:
 * the banned workers, and whether the node is drained. Both processes of an upgrade are one node
 * and share this state in a file, a {@link ChecksummedFile} whose body is JSON. Immutable; pure.
 *
 * @param generation increases with every change, whichever process makes it
 * @param banned ids of the workers that get no new work, whatever the endpoint list says
 * @param drained whether the node is not ready and closes its clients' connections
 */
public record OperatorState(long generation, SortedSet<String> banned, boolean drained) {

    /** Workers that can be banned at a time; a site has far fewer. */
    public static final int MAX_BANNED = 10_000;

    /** No ban and no drain. */
    public static final OperatorState NONE = new OperatorState(0, new TreeSet<>(), false);

    private static final String FILE_KIND = "cresschute-operators 1";
    private static final Gson GSON = new Gson();

    private record Body(
            @SerializedName("banned") List<String> banned,
            @SerializedName("drained") boolean drained) {}

    /** Takes a copy of the banned ids. */
    public OperatorState {
        banned = Collections.unmodifiableSortedSet(new TreeSet<>(banned));
    }

    /**
     * The state after a call. A call repeated is harmless: only the generation increases. {@link
     * ManagementCommand#READY} changes nothing.
     *
     * @throws BanLimitReachedException if {@value #MAX_BANNED} other workers are banned already
     */
    public OperatorState apply(ManagementCall call) {
        final TreeSet<String> nextBanned = new TreeSet<>(banned);
        boolean nextDrained = drained;
        switch (call.command()) {
            case DISABLE_SERVER -> {
                if (!isBanned(call.worker()) && banned.size() >= MAX_BANNED) {
                    throw new BanLimitReachedException(MAX_BANNED);
                }
                nextBanned.add(call.worker());
            }
            case ENABLE_SERVER -> nextBanned.remove(call.worker());
            case DRAIN -> nextDrained = true;
            case RESUME -> nextDrained = false;
            case READY -> {
                return this;
            }
            default -> throw new IllegalArgumentException(call.command().name());
        }
        return new OperatorState(generation + 1, nextBanned, nextDrained);
    }

    /** This state under another generation. */
    public OperatorState withGeneration(long newGeneration) {
        return new OperatorState(newGeneration, banned, drained);
    }

    /** The bytes of a file. */
    public byte[] encode() {
        return ChecksummedFile.encode(
                FILE_KIND,
                generation,
                GSON.toJson(new Body(List.copyOf(banned), drained))
                        .getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads a complete file.
     *
     * @throws DamagedFileException if it is torn, changed or of another kind
     */
    public static OperatorState decode(byte[] bytes) throws DamagedFileException {
        final ChecksummedFile file = ChecksummedFile.decode(FILE_KIND, bytes);
        try {
            final Body body =
                    GSON.fromJson(new String(file.body(), StandardCharsets.UTF_8), Body.class);
            if (body.banned().size() > MAX_BANNED
                    || body.banned().stream().anyMatch(Objects::isNull)) {
                throw new DamagedFileException("it names no usable workers");
            }
            return new OperatorState(
                    file.generation(), new TreeSet<>(body.banned()), body.drained());
        } catch (JsonParseException | NullPointerException e) {
            throw new DamagedFileException(
                    "its content is not that of operators' state: " + e.getMessage());
        }
    }

    /** Whether a worker is banned. */
    public boolean isBanned(String worker) {
        return banned.contains(worker);
    }

    /** The workers that are banned in one of the two states and not in the other. */
    public Set<String> banDifference(OperatorState other) {
        final TreeSet<String> different = new TreeSet<>(banned);
        different.addAll(other.banned);
        different.removeIf(id -> banned.contains(id) == other.banned.contains(id));
        return different;
    }
}
