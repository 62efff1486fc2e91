package cresschute.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/** State of one request in {@link DispatcherPropertyTest}. */
final class OpenRequest {

    final RequestClass requestClass;
    final long deadlineUs;

    /** Worker of each attempt in flight, by attempt number. */
    final Map<Integer, Integer> attempts = new LinkedHashMap<>();

    int sent;
    boolean closed;

    /** Worker of the first attempt that may have run; null if there is none. */
    Worker mayHaveRunAt;

    long mayHaveRunSinceUs;

    OpenRequest(RequestClass requestClass, long deadlineUs) {
        this.requestClass = requestClass;
        this.deadlineUs = deadlineUs;
    }
}
