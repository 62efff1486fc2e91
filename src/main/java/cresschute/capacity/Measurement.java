package cresschute.capacity;

import java.util.Optional;

/**
 * One measured value of one run.
 *
 * @param run the run's name
 * @param commit the commit that was measured
 * @param date when it was measured, as the file says
 * @param seed the seed of the run's random choices
 * @param axis the axis that the run varied, or nothing for a run that varied none
 * @param repetition which repetition of the run this is
 * @param heldOut whether it is kept out of every fit, to check the fits
 * @param sizes the size at which it was measured
 * @param role whose cost it is
 * @param measure what was measured, as the file names it
 * @param value the value, in the measure's unit
 * @param partial whether the run did not reach the size or the duration that it was to have
 */
public record Measurement(
        String run,
        String commit,
        String date,
        String seed,
        Optional<Axis> axis,
        int repetition,
        boolean heldOut,
        Sizes sizes,
        Role role,
        String measure,
        double value,
        boolean partial) {}
