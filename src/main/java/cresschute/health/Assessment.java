package cresschute.health;

/**
 * What {@link ConditionRules} find about a worker at one moment.
 *
 * @param reason for people; empty where there is nothing to explain
 */
record Assessment(WorkerCondition condition, String reason) {}
