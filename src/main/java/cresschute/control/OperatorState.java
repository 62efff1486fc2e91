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
 * The state that the platform's operators have set and that stays in force until they reset it: the
 * banned workers and whether the node is drained. During an upgrade the old and the new process
 * belong to the same node and share this state in a file, a {@link ChecksummedFile} whose body is
 * JSON. Immutable; pure.
 *
 * @param generation increases with every change, whichever process makes it
 * @param banned ids of the workers that get no new requests, regardless of the endpoint list
 * @param drained whether the node is drained: not ready, and closing its clients' connections
 */
public record OperatorState(long generation, SortedSet<String> banned, boolean drained) {

    /** Maximum number of banned workers; a site has far fewer workers. */
    public static final int MAX_BANNED = 10_000;

    /** The state without bans and without a drain of the node. */
    public static final OperatorState NONE = new OperatorState(0, new TreeSet<>(), false);

    private static final String FILE_KIND = "cresschute-operators 1";
    private static final Gson GSON = new Gson();

    private record Body(
            @SerializedName("banned") List<String> banned,
            @SerializedName("drained") boolean drained) {}

    /** Copies the banned ids. */
    public OperatorState {
        banned = Collections.unmodifiableSortedSet(new TreeSet<>(banned));
    }

    /**
     * Returns the state after a call. Calls are idempotent: repeating one only increases the
     * generation. {@link ManagementCommand#READY} changes nothing.
     *
     * @throws BanLimitReachedException if {@value #MAX_BANNED} other workers are already banned
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

    /** Returns this state with another generation. */
    public OperatorState withGeneration(long newGeneration) {
        return new OperatorState(newGeneration, banned, drained);
    }

    /** Encodes the state as a complete file. */
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
                throw new DamagedFileException(
                        "its list of banned workers is too long or contains null");
            }
            return new OperatorState(
                    file.generation(), new TreeSet<>(body.banned()), body.drained());
        } catch (JsonParseException | NullPointerException e) {
            throw new DamagedFileException(
                    "its body is not a valid operators' state: " + e.getMessage());
        }
    }

    /** Returns whether a worker is banned. */
    public boolean isBanned(String worker) {
        return banned.contains(worker);
    }

    /** Returns the workers that are banned in exactly one of the two states. */
    public Set<String> banDifference(OperatorState other) {
        final TreeSet<String> different = new TreeSet<>(banned);
        different.addAll(other.banned);
        different.removeIf(id -> banned.contains(id) == other.banned.contains(id));
        return different;
    }
}
