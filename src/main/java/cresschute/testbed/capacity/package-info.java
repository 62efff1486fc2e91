/**
 * The capacity experiment: runs real dispatcher processes with stub workers, stub clients and a
 * stub discovery service at a given size, and measures the processor time, memory and traffic of
 * each.
 */
package cresschute.testbed.capacity;
