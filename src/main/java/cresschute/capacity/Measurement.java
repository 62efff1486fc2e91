package cresschute.capacity;

import java.util.Optional;

/**
 * One measured value of one run.
 *
 * @param run the run's name
 * @param commit the commit that was measured
 * @param date the date of the measurement, as written in the file
 * @param seed the seed of the run's random choices
 * @param axis the axis that the run varied; empty for a run that varied none
 * @param repetition the number of this repetition of the run
 * @param heldOut whether the run is kept out of every fit, to validate the fits
 * @param sizes the sizes of the run
 * @param role the role that bears the cost
 * @param measure name of the measured quantity, as in the file
 * @param value the value, in the measure's unit
 * @param partial whether the run did not reach its intended size or duration
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
