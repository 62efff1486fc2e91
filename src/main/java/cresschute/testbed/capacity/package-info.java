/**
 * The capacity experiment: real dispatcher processes between hollow workers, hollow clients and a
 * discovery stand-in, at a size that is given, and what each of them uses of the machine and the
 * network.
 */
package cresschute.testbed.capacity;
