package cresschute.health;

import java.util.Optional;

/**
 * A change of a worker's condition.
 *
 * @param worker number of the worker
 * @param from the previous condition; empty for the worker's first condition
 * @param to the new condition
 * @param reason the reason of the change, shown to operators; empty for a healthy worker
 */
public record ConditionChange(
        int worker, Optional<WorkerCondition> from, WorkerCondition to, String reason) {}
