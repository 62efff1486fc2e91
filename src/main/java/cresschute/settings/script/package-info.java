/**
 * The language of settings scripts, a subset of Starlark: tokens, syntax tree, interpreter, values
 * and the bounds of a run.
 *
 * <p>Pure: a script has no files, clock, chance or recursion, and every run ends within stated
 * bounds. An interpreter serves one run on one thread. It knows nothing of blocks and fields, which
 * its caller provides as functions, and uses no other package of the program.
 */
package cresschute.settings.script;
