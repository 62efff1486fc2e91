package cresschute.settings;

import cresschute.settings.script.Values;
import java.util.List;
import java.util.Map;

/**
 * All blocks that a settings script may declare, in the order of the settings reference. The other
 * {@code *Schema} classes declare the fields of the blocks, with their bounds and defaults.
 */
final class Schema {

    static final int MAX_ATTEMPTS_PER_REQUEST = 5;

    /** Maximum number of workers, and of dispatchers. */
    static final int MAX_ENTRIES = 10_000;

    static final long MAX_FILE_DESCRIPTORS = 1_000_000;
    static final long KIB = 1024;
    static final long MIB = KIB * KIB;
    static final long GIB = KIB * MIB;
    static final long HOUR_US = 3_600_000_000L;

    static final List<Block> BLOCKS =
            List.of(
                    NodeSchema.NODE,
                    JobClassSchema.JOB_CLASS,
                    WorkerSchema.WORKER,
                    WorkerSchema.DISCOVERY,
                    NodeSchema.LIMITS,
                    BodiesSchema.BODIES,
                    WorkerSchema.REPORTS,
                    WorkerSchema.COLD_START,
                    JobClassSchema.OBJECTIVE,
                    NodeSchema.LOGS,
                    NodeSchema.CONTROL,
                    NodeSchema.STATE,
                    PeersSchema.PEERS);

    private Schema() {}

    /** Formats a block with the given field values in script syntax. */
    static String formatBlock(Block block, Map<String, Object> values) {
        final StringBuilder out = new StringBuilder(block.name()).append("(\n");
        for (final Field<?> field : block.fields()) {
            final Object value = values.get(field.name());
            if (value != null) {
                out.append("    ")
                        .append(field.name())
                        .append(" = ")
                        .append(field.format(value))
                        .append(",\n");
            }
        }
        return out.append(")\n").toString();
    }

    /** Formats names for an error message: quoted and separated by commas. */
    static String quotedList(List<String> names) {
        return String.join(", ", names.stream().map(Values::quoted).toList());
    }
}
