package cresschute.control;

/**
 * Something that operators are shown: a drain, a change of the endpoint list, a change of a
 * worker's condition. Immutable.
 *
 * @param number counts from 1 without gaps, in one run of the node
 * @param atUs Unix time, us
 * @param kind one lower-case word for programs
 * @param worker the worker concerned, or null
 * @param text the event in words
 */
public record OperatorEvent(long number, long atUs, String kind, String worker, String text) {}
