package cresschute.dispatch;

/** What the list says of a worker. */
public enum WorkerState { READY, DRAINING, GONE }
