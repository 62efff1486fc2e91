/**
 * The experiment with long request bodies and results: peers whose transfers run at given speeds,
 * stall or break, and the measurements.
 *
 * <p>Each peer owns its socket and its thread; results are collected when all transfers have ended.
 */
package cresschute.testbed.bodies;
