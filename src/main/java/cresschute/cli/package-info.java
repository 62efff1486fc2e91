/**
 * The commands of {@code cresschute}: they read options, connect the other packages and print
 * results.
 *
 * <p>Commands run on the main thread, and a command closes what it started before it ends. No other
 * package depends on this one. {@link cresschute.cli.Main} starts the platform's two commands
 * without loading the option parser and its libraries.
 */
package cresschute.cli;
