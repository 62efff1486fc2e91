package cresschute.health;

import java.util.Optional;

/**
 * A change of a worker's condition.
 *
 * @param worker number of the worker
 * @param from the condition before; empty where this is the worker's first one
 * @param to the condition from now on
 * @param reason why, for people; empty where there is nothing to explain
 */
public record ConditionChange(
        int worker, Optional<WorkerCondition> from, WorkerCondition to, String reason) {}
