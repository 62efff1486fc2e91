package cresschute.capacity;

/**
 * Identifies a measure of a role.
 *
 * @param role the role that bears the cost
 * @param measure its name in the measurement files
 */
public record MeasureKey(Role role, String measure) {}
