package cresschute.node.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Set;

/**
 * The header fields of a request that the node uses. Other fields are validated and dropped as they
 * are decoded, so that their number takes no memory: decoded, a field of two letters takes a
 * hundred times its length on the wire.
 *
 * <p>One per request; call from the event loop.
 */
final class UsedHeaders extends DefaultHttpHeaders {

    /** How many values of one name are kept; more than one is invalid for most names. */
    private static final int MAX_VALUES = 8;

    /** The estimated heap of a kept field without its characters, bytes. */
    private static final int FIELD_BYTES = 160;

    private static final Set<AsciiString> FRAMING =
            Set.of(HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.TRANSFER_ENCODING);

    private static final AsciiString[] NAMES = {
        HttpHeaderNames.HOST,
        HttpHeaderNames.CONTENT_LENGTH,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.CONNECTION,
        HttpHeaderNames.EXPECT,
        HeaderNames.REQUEST_ID,
        HeaderNames.IDEMPOTENCY_KEY,
        HeaderNames.DEADLINE,
        HeaderNames.EXTRAS,
        HeaderNames.RETRY,
        HeaderNames.TENANT,
    };

    private final int[] counts = new int[NAMES.length];
    private int keptBytes;

    /** The estimated heap of the kept fields, bytes. */
    int keptBytes() {
        return keptBytes;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        final int index = indexOf(name);
        if (index < 0) {
            validate(name, value.toString());
            return this;
        }
        if (counts[index] == MAX_VALUES) {
            if (FRAMING.contains(NAMES[index])) {
                throw new IllegalArgumentException(NAMES[index] + " is given too often");
            }
            return this;
        }
        counts[index]++;
        keptBytes += FIELD_BYTES + name.length() + value.toString().length();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    private static int indexOf(CharSequence name) {
        for (int i = 0; i < NAMES.length; i++) {
            if (NAMES[i].contentEqualsIgnoreCase(name)) {
                return i;
            }
        }
        return -1;
    }

    private static void validate(CharSequence name, CharSequence value) {
        if (name.length() == 0
                || HttpHeaderValidationUtil.validateToken(name) >= 0
                || HttpHeaderValidationUtil.validateValidHeaderValue(value) >= 0) {
            throw new IllegalArgumentException("malformed header field");
        }
    }
}
