/**
 * The arithmetic of the capacity page: measurements, linear fits with their confidence, limits,
 * planned sizes and the tables of {@code docs/CAPACITY.md}.
 *
 * <p>Pure: it is given rows and returns text. It uses the JDK and a statistics library alone, holds
 * no state between calls, and is known to the command line alone.
 */
package cresschute.capacity;
