/**
 * The language of settings scripts, a subset of Starlark: lexical layout, interpreter, values and
 * the limits of a run.
 *
 * <p>Pure: scripts have no files, clock, random numbers or recursion, and every run ends within its
 * limits. An interpreter is used for one run, on one thread. The package does not depend on the
 * blocks and fields of the settings, which its caller provides as functions, nor on any other
 * package of the program.
 */
package cresschute.settings.script;
