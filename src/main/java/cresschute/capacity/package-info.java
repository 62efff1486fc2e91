/**
 * Estimates what an installation of the planned size costs: reads measurement files, fits a linear
 * model, and writes the tables of {@code docs/CAPACITY.md}.
 *
 * <p>The classes keep no state beyond that of one call and may be used on any thread. They do no
 * I/O; the caller reads and writes the files. Units are part of the measures' names or stated at
 * each member.
 *
 * <p>Uses a statistics library (commons-math) beside the JDK. Only the command line uses this
 * package; the node loads none of it.
 */
package cresschute.capacity;
