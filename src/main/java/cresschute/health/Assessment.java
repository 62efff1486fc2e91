package cresschute.health;

/**
 * The result of the {@link ConditionRules} for a worker at one moment.
 *
 * @param condition the condition of the first rule that holds
 * @param reason why the rule holds, shown to operators; empty for a healthy worker
 */
record Assessment(WorkerCondition condition, String reason) {}
