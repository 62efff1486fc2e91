package cresschute.capacity;

/**
 * Identifies a measure of a role.
 *
 * @param role whose cost it is
 * @param measure its name in the measurement files
 */
public record MeasureKey(Role role, String measure) {}
