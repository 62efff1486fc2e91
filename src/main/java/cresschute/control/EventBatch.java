package cresschute.control;

import java.util.List;

/**
 * The events after some number. Immutable.
 *
 * @param events oldest first
 * @param missed events after that number that are no longer held
 */
public record EventBatch(List<OperatorEvent> events, long missed) {}
