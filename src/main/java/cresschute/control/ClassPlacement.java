package cresschute.control;

import cresschute.dispatch.Placement;

/**
 * A request class and the workers that may run it. Immutable.
 *
 * @param name the class's name in the settings
 * @param placement the zones and worker kinds in which the class may run
 */
public record ClassPlacement(String name, Placement placement) {}
