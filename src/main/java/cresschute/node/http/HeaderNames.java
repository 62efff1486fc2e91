package cresschute.node.http;

import io.netty.util.AsciiString;

/** Names of the headers that the platform defines in addition to those of HTTP. */
final class HeaderNames {

    static final AsciiString REQUEST_ID = AsciiString.cached("X-Request-Id");
    static final AsciiString DEADLINE = AsciiString.cached("X-Deadline");
    static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    static final AsciiString TENANT = AsciiString.cached("X-Tenant");
    static final AsciiString RETRY = AsciiString.cached("X-Retry");
    static final AsciiString EXTRAS = AsciiString.cached("X-Extras");
    static final AsciiString LOAD = AsciiString.cached("X-Load");
    static final AsciiString NOT_RUN = AsciiString.cached("X-Not-Run");

    /** A trailer after a streamed result: {@code done} if the result is complete. */
    static final AsciiString JOB_STATE = AsciiString.cached("X-Job-State");

    private HeaderNames() {}
}
