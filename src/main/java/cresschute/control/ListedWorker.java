package cresschute.control;

import cresschute.dispatch.Worker;

/**
 * A worker as the endpoint list has it, without any drain. Immutable.
 *
 * @param name its id in the endpoint list
 * @param worker its state and place
 */
public record ListedWorker(String name, Worker worker) {}
