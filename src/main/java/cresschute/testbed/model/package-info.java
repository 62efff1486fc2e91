/**
 * A fleet in virtual time: many dispatchers' decision modules in front of workers that they share.
 *
 * <p>One thread runs a model from its event queue; clock and chance are arguments, so that the same
 * seed is the same run. The model owns all state of its workers and clients. It uses the decision
 * module and the gossip of in-flight counts, and no sockets or files.
 */
package cresschute.testbed.model;
