/**
 * The operators' terminal console: a table of workers, classes and events that follows a node over
 * its control socket, and drains workers.
 *
 * <p>{@link cresschute.console.SiteModel}, {@link cresschute.console.ScreenState} and {@link
 * cresschute.console.ScreenView} are pure; the rest reads keys, the socket and the clock. All state
 * is owned by the thread that runs {@link cresschute.console.Console}; the link's reader thread
 * hands lines to it. The package knows a node by the messages of {@code control} alone.
 */
package cresschute.console;
