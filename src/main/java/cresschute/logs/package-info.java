/**
 * Logging: the loggers of {@link System#getLogger}, events with a name and fields, and the sink
 * that writes them.
 *
 * <p>State: {@link cresschute.logs.RoutedLoggerFinder} holds the sink in use. Thread-safe: events
 * are logged from any thread.
 *
 * <p>Uses the JDK alone. Every package may use it.
 */
package cresschute.logs;
