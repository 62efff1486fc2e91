package cresschute.control;

import cresschute.dispatch.Placement;

/**
 * A request class, and which workers may run it. Immutable.
 *
 * @param name the class's name in the settings
 * @param placement its bounds of zones and kinds
 */
public record ClassPlacement(String name, Placement placement) {}
