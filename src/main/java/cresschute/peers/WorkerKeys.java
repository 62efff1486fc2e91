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
 * Short keys of workers' names, the same at every dispatcher: the first four bytes of the name's
 * SHA-256. Two listed names with one key make the load of both unknown, since a message could mean
 * either of them.
 */
public final class WorkerKeys {

    private final Map<String, Integer> keys = new HashMap<>();
    private final Map<Integer, String> names = new HashMap<>();
    private final Set<Integer> ambiguous = new HashSet<>();
    private final BiConsumer<String, String> onCollision;

    /** Reports each pair of listed names with one key to {@code onCollision}, once. */
    public WorkerKeys(BiConsumer<String, String> onCollision) {
        this.onCollision = onCollision;
    }

    /** The key of a name, whether it is listed or not. */
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

    /** Notes a listed name and returns its key. */
    public int list(String name) {
        return list(name, hash(name));
    }

    /** The same with a given key, so that tests need no collision of SHA-256. */
    int list(String name, int key) {
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

    /** The listed name with a key, or empty where there is none or more than one. */
    Optional<String> name(int key) {
        return ambiguous.contains(key) ? Optional.empty() : Optional.ofNullable(names.get(key));
    }

    /** The key of a listed name, or empty where the name is not listed or shares its key. */
    public OptionalInt unique(String name) {
        final Integer key = keys.get(name);
        return key == null || ambiguous.contains(key) ? OptionalInt.empty() : OptionalInt.of(key);
    }
}
