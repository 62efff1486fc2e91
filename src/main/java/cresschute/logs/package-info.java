/**
 * Logging: the loggers behind {@link System#getLogger}, log events with a name and fields, and the
 * sink that writes them.
 *
 * <p>State: {@link cresschute.logs.RoutedLoggerFinder} holds the current sink. Thread-safe: events
 * are logged from any thread.
 *
 * <p>Depends on the JDK only. Every package may use it.
 */
package cresschute.logs;
