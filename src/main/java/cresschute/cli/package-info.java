/**
 * The commands of {@code cresschute}: they read options, put the other packages together and print
 * results.
 *
 * <p>A command owns what it starts and closes it before it ends. It runs on the main thread, and
 * nothing else knows this package. {@link cresschute.cli.Main} starts the platform's two commands
 * without loading the option parser and its libraries.
 */
package cresschute.cli;
