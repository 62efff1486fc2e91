package cresschute.control;

/**
 * An event that is shown to operators, such as a drain, a change of the endpoint list or a change
 * of a worker's condition. Immutable.
 *
 * @param number consecutive number from 1 within one incarnation of the node
 * @param atUs when the event happened, Unix time in microseconds
 * @param kind the kind of event for programs, in lower case
 * @param worker the worker concerned, or null
 * @param text the description of the event for people
 */
public record OperatorEvent(long number, long atUs, String kind, String worker, String text) {}
