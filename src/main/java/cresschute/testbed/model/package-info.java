/**
 * A simulation of a fleet in virtual time: the decision modules of many dispatchers in front of
 * shared workers.
 *
 * <p>One thread runs a model from its event queue. The clock and the random seed are arguments, so
 * that a seed always gives the same run. The model owns all state of its workers and clients. It
 * uses the decision module and the gossip of in-flight counts, and no sockets or files.
 */
package cresschute.testbed.model;
