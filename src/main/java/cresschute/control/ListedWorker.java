package cresschute.control;

import cresschute.dispatch.Worker;

/**
 * A worker of the endpoint list, without the operators' drains. Immutable.
 *
 * @param name the worker's id in the endpoint list
 * @param worker the worker's state and location
 */
public record ListedWorker(String name, Worker worker) {}
