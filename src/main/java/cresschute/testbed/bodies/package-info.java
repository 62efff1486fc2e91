/**
 * The experiment with long request bodies and results: peers whose transfers run at stated speeds,
 * stall or break, and what they measure.
 *
 * <p>Each peer owns its socket and a thread of its own; results are joined when all have ended.
 */
package cresschute.testbed.bodies;
