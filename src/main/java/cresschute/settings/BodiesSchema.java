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
                    "total memory for streamed bodies and results");
    static final Field<Long> WINDOW =
            optional(
                    "window",
                    FieldType.size(128 * Schema.KIB, Schema.GIB),
                    128 * Schema.KIB,
                    "memory reserved for each of them while its request is open; a request for"
                            + " which this is not free is rejected");
    static final Field<Long> MAX_LENT =
            optional(
                    "lent",
                    FieldType.size(0, Schema.GIB),
                    512 * Schema.KIB,
                    "memory beyond `window` that one of them may borrow; at most 1/64 of the free"
                            + " memory");
    static final Field<Long> MAX_SPOOL =
            optional(
                    "spool",
                    FieldType.size(0, Schema.GIB),
                    256 * Schema.KIB,
                    "bytes of a body that are kept for an attempt at another worker; at most"
                            + " `window` + `lent`");
    static final Field<Long> MAX_PER_CLIENT =
            optional(
                    "of_a_client",
                    FieldType.size(128 * Schema.KIB, 64 * Schema.GIB),
                    8 * Schema.MIB,
                    "memory that may be reserved for the requests from one client address; at most"
                            + " `budget`");
    static final Block BODIES =
            new Block(
                    "bodies",
                    0,
                    1,
                    "memory for streamed bodies and results, if a class allows them",
                    List.of(BUDGET, WINDOW, MAX_LENT, MAX_SPOOL, MAX_PER_CLIENT));

    private BodiesSchema() {}
}
