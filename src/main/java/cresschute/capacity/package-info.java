/**
 * Estimates what an installation of the planned size costs: reads measurement files, fits a linear
 * model, and writes the tables of {@code docs/CAPACITY.md}.
 *
 * <p>State: none; every class is a value or a function of its arguments. Thread: any. Pure: no I/O;
 * the caller reads and writes the files. Units are part of the measures' names or stated at each
 * member.
 *
 * <p>Uses a statistics library (commons-math) beside the JDK. Used by the command line alone; the
 * node loads none of it.
 */
package cresschute.capacity;
