package cresschute.dispatch;

/** One entry of the worker list; {@code startedAtUs} is 0 where it started long ago. */
public record Worker(
        int id, int zone, int kind, int cell, WorkerState state, double weight, long startedAtUs) {}
