/**
 * The sink that writes structured events by Logback. It is apart from {@code cresschute.logs} so
 * that a node that does not use it loads no class of Logback.
 *
 * <p>State: {@link cresschute.logs.structured.StructuredLog} owns its queue, its thread and its
 * stream. Thread-safe.
 *
 * <p>May use {@code cresschute.logs}, Logback and its encoder. Used by {@code cresschute.cli},
 * which sets the sink.
 */
package cresschute.logs.structured;
