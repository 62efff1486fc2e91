package cresschute.peers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Short keys for workers' names, the same at every dispatcher: the first four bytes of the name's
 * SHA-256. If two listed names have the same key, neither has a usable key, because a message could
 * refer to either of them. Not thread-safe: used on the exchange's thread.
 */
public final class WorkerKeys {

    private final Map<String, Integer> keys = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();
    private final Set<Integer> ambiguous = new HashSet<>();
    private final BiConsumer<String, String> onCollision;

    /**
     * Creates a registry without names.
     *
     * @param onCollision notified once of each pair of listed names with the same key
     */
    public WorkerKeys(BiConsumer<String, String> onCollision) {
        this.onCollision = onCollision;
    }

    /** Returns the key of a name, whether the name is listed or not. */
    public static int hash(String name) {
        try {
            final byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(name.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getInt();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /**
     * Registers a listed name and returns its key; has no effect if the name is registered already.
     */
    public int register(String name) {
        return register(name, hash(name));
    }

    /** Registers a name with the given key; separate for tests of collisions. */
    int register(String name, int key) {
        final Integer known = keys.putIfAbsent(name, key);
        if (known != null) {
            return known;
        }
        final String other = names.putIfAbsent(key, name);
        if (other != null) {
            ambiguous.add(key);
            onCollision.accept(other, name);
        }
        return key;
    }

    /** Returns the listed name with a key; empty if there is none or more than one. */
    Optional<String> nameOf(int key) {
        return ambiguous.contains(key) ? Optional.empty() : Optional.ofNullable(names.get(key));
    }

    /**
     * Returns the key of a listed name; empty if it is not listed or if another listed name has the
     * same key.
     */
    public OptionalInt keyOf(String name) {
        final Integer key = keys.get(name);
        return key == null || ambiguous.contains(key) ? OptionalInt.empty() : OptionalInt.of(key);
    }
}
