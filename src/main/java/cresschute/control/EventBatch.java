package cresschute.control;

import java.util.List;

/**
 * The events after a given event number. Immutable.
 *
 * @param events oldest first
 * @param missed number of events after that number that are no longer kept
 */
public record EventBatch(List<OperatorEvent> events, long missed) {}
