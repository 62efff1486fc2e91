package cresschute.control;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import cresschute.control.ChecksummedFile.DamagedFileException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What the platform's operators have asked of a node and what holds until they call it back: the
 * workers taken out, and whether the node is drained. Both processes of an upgrade are one node, so
 * this is what they share in a file. Pure.
 *
 * @param generation counts up with every change, whichever process makes it
 * @param banned ids of the workers that get nothing new, whatever the list says
 * @param drained whether the node says that it is not ready and lets its clients' connections go
 */
public record OperatorsState(long generation, SortedSet<String> banned, boolean drained) {

    /** Workers that can be out at a time; a site has far fewer. */
    public static final int MAX_BANNED = 10_000;

    /** Nothing asked. */
    public static final OperatorsState NONE = new OperatorsState(0, new TreeSet<>(), false);

    private static final String KIND = "cresschute-operators 1";
    private static final Gson GSON = new Gson();

    private record Body(
            @SerializedName("banned") List<String> banned,
            @SerializedName("drained") boolean drained) {}

    public OperatorsState {
        banned = Collections.unmodifiableSortedSet(new TreeSet<>(banned));
    }

    /**
     * The state after a call that changes something; {@link ManagementCall.Verb#READY} changes
     * nothing. A call repeated is harmless: the state is the same, only the generation counts up.
     *
     * @throws IllegalStateException where {@value #MOST_BANNED} workers are out already
     */
    public OperatorsState after(ManagementCall call) {
        final TreeSet<String> next = new TreeSet<>(banned);
        boolean drain = drained;
        switch (call.verb()) {
            case DISABLE_SERVER -> {
                if (!next.contains(call.worker()) && next.size() >= MAX_BANNED) {
                    throw new IllegalStateException(
                            MAX_BANNED + " workers are out; enable one first");
                }
                next.add(call.worker());
            }
            case ENABLE_SERVER -> next.remove(call.worker());
            case DRAIN -> drain = true;
            case RESUME -> drain = false;
            case READY -> {
                return this;
            }
            default -> throw new IllegalArgumentException(call.verb().name());
        }
        return new OperatorsState(generation + 1, next, drain);
    }

    /**
     * This state under another generation, such as the next one of a file that holds a newer one.
     */
    public OperatorsState numbered(long newGeneration) {
        return new OperatorsState(newGeneration, banned, drained);
    }

    /** The bytes of a file. */
    public byte[] encode() {
        return ChecksummedFile.encode(
                KIND,
                generation,
                GSON.toJson(new Body(List.copyOf(banned), drained))
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** Reads a file's bytes whole; anything torn, flipped or foreign in them is an error. */
    public static OperatorsState decode(byte[] bytes) throws DamagedFileException {
        final ChecksummedFile framed = ChecksummedFile.decode(KIND, bytes);
        try {
            final Body read =
                    GSON.fromJson(new String(framed.body(), StandardCharsets.UTF_8), Body.class);
            if (read.banned().size() > MAX_BANNED
                    || read.banned().stream().anyMatch(id -> id == null)) {
                throw new DamagedFileException("it names no usable workers");
            }
            return new OperatorsState(
                    framed.generation(), new TreeSet<>(read.banned()), read.drained());
        } catch (JsonParseException | NullPointerException e) {
            throw new DamagedFileException(
                    "its content is not that of operators' state: " + e.getMessage());
        }
    }

    /** Whether a worker is out. */
    public boolean isBanned(String worker) {
        return banned.contains(worker);
    }

    /** The workers that are out in one state and not in the other, either way. */
    public Set<String> bannedChangedFrom(OperatorsState before) {
        final TreeSet<String> changed = new TreeSet<>(banned);
        changed.addAll(before.banned);
        changed.removeIf(id -> banned.contains(id) == before.banned.contains(id));
        return changed;
    }
}
