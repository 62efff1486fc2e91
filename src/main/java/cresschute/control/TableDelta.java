package cresschute.control;

import java.util.List;
import java.util.Map;

/**
 * The changes of a {@link VersionedTable} after some version. Immutable by convention.
 *
 * @param isComplete whether it holds all rows and replaces what the reader had
 * @param version the version that the reader holds once it has applied this
 * @param rows rows that are new or changed, by key
 * @param removed keys of rows that were removed
 */
public record TableDelta(
        boolean isComplete, long version, Map<String, String> rows, List<String> removed) {}
