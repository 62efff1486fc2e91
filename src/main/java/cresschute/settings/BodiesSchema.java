package cresschute.settings;

import static cresschute.settings.Field.optional;

import java.util.List;

/** Schema of the block for the memory of streamed bodies and results. */
final class BodiesSchema {

    static final Field<Long> BUDGET =
            optional(
                    "budget",
                    FieldType.size(128 * Schema.KIB, 64 * Schema.GIB),
                    32 * Schema.MIB,
                    "memory of all long bodies and results together");
    static final Field<Long> WINDOW =
            optional(
                    "window",
                    FieldType.size(128 * Schema.KIB, Schema.GIB),
                    128 * Schema.KIB,
                    "memory that each owns while its request is open; without room for it, the"
                            + " request is refused");
    static final Field<Long> MAX_LENT =
            optional(
                    "lent",
                    FieldType.size(0, Schema.GIB),
                    512 * Schema.KIB,
                    "memory beyond `window` that one may be lent; never more than a 64th of what is"
                            + " free");
    static final Field<Long> MAX_SPOOL =
            optional(
                    "spool",
                    FieldType.size(0, Schema.GIB),
                    256 * Schema.KIB,
                    "a body is kept up to this, so that it can be sent to a further worker; not"
                            + " above `window` + `lent`");
    static final Field<Long> MAX_PER_CLIENT =
            optional(
                    "of_a_client",
                    FieldType.size(128 * Schema.KIB, 64 * Schema.GIB),
                    8 * Schema.MIB,
                    "memory that the requests from one address may own so; not above `budget`");
    static final Block BODIES =
            new Block(
                    "bodies",
                    0,
                    1,
                    "memory for long bodies and long results, where a class has such",
                    List.of(BUDGET, WINDOW, MAX_LENT, MAX_SPOOL, MAX_PER_CLIENT));

    private BodiesSchema() {}
}
