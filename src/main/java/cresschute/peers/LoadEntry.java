package cresschute.peers;

/**
 * The number of attempts that a dispatcher has in flight at a worker.
 *
 * @param key the worker's key, see {@link WorkerKeys}
 * @param count attempts in flight, 0 or above
 */
public record LoadEntry(int key, int count) {}
