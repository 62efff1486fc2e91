package cresschute.control;

import java.util.List;
import java.util.Map;

/**
 * The changes of a {@link VersionedTable} after a given version. Immutable by convention.
 *
 * @param isComplete whether this holds all rows and replaces the rows that the reader has
 * @param version the table version that the reader has after it applies this delta
 * @param rows rows that are new or changed, by key
 * @param removed keys of rows that were removed
 */
public record TableDelta(
        boolean isComplete, long version, Map<String, String> rows, List<String> removed) {}
