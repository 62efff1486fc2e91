package cresschute.node;

import cresschute.control.files.SharedRequestIds;
import cresschute.flow.MemoryAccount;
import cresschute.flow.MemoryUse;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that have ended, and of which an attempt may have had its effect or may yet.
 * A request that comes under such an id is not sent, because it would have its effect a second
 * time.
 *
 * <p>An id is known for the time that its class's effect may last, and at most as long as there is
 * memory for it: the oldest are forgotten first. Ids that the other process of an upgrade has sent
 * on are known too, where the processes share a folder.
 *
 * <p>Owns the ids and their reservation. Lives as long as the node; call from the event loop.
 */
final class RequestIds {

    /** The estimated heap of an id without its characters, bytes. */
    private static final int ID_BYTES = 160;

    private final MemoryAccount memory;
    private final Map<String, Long> knownUntilUs = new LinkedHashMap<>();

    /** The ids of the other processes of an upgrade; null if nothing is shared. */
    private final SharedRequestIds shared;

    /** Creates an empty set that reserves its memory in this account. */
    RequestIds(MemoryAccount memory) {
        this(memory, null);
    }

    /**
     * Creates an empty set that shares ids with other processes.
     *
     * @param shared the ids of the other processes of an upgrade, or null
     */
    RequestIds(MemoryAccount memory, SharedRequestIds shared) {
        this.memory = memory;
        this.shared = shared;
    }

    /** Makes the id of a request that is about to be sent known to other processes. */
    void sending(String id) {
        if (shared != null) {
            shared.add(id);
        }
    }

    /**
     * Adds an id.
     *
     * @param untilUs when it is forgotten, microseconds
     */
    void add(String id, long untilUs, long nowUs) {
        forget(id);
        forgetExpired(nowUs);
        while (!memory.reserve(MemoryUse.REQUEST_IDS, bytesOf(id))) {
            if (knownUntilUs.isEmpty()) {
                memory.countRefused(MemoryUse.REQUEST_IDS);
                return;
            }
            memory.countGivenUp(MemoryUse.REQUEST_IDS);
            forget(knownUntilUs.keySet().iterator().next());
        }
        knownUntilUs.put(id, untilUs);
    }

    /** Whether an id is known. */
    boolean contains(String id, long nowUs) {
        return knownUntilUs.getOrDefault(id, Long.MIN_VALUE) > nowUs
                || (shared != null && shared.isKnownElsewhere(id));
    }

    /** The number of ids held now. */
    int size() {
        return knownUntilUs.size();
    }

    private void forgetExpired(long nowUs) {
        final Iterator<Map.Entry<String, Long>> oldestFirst = knownUntilUs.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            final Map.Entry<String, Long> oldest = oldestFirst.next();
            if (oldest.getValue() > nowUs) {
                return;
            }
            oldestFirst.remove();
            memory.release(MemoryUse.REQUEST_IDS, bytesOf(oldest.getKey()));
        }
    }

    private void forget(String id) {
        if (knownUntilUs.remove(id) != null) {
            memory.release(MemoryUse.REQUEST_IDS, bytesOf(id));
        }
    }

    private static int bytesOf(String id) {
        return ID_BYTES + id.length();
    }
}
