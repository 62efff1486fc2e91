/**
 * The operators' terminal console: a table of workers, classes and events that follows a node over
 * its control socket, and drains workers.
 *
 * <p>{@link cresschute.console.SiteModel}, {@link cresschute.console.ScreenState} and {@link
 * cresschute.console.ScreenView} do no input or output; other classes read keys, the socket and the
 * clock. The thread that runs {@link cresschute.console.Console} owns all state; the link's reader
 * thread passes lines to it through a queue. The package depends on a node only through the
 * messages of {@code control}.
 */
package cresschute.console;
