package cresschute.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/** What a checker of the rules knows of one request. */
final class OpenRequest {

    final RequestClass requestClass;
    final long deadlineUs;

    /** The workers of the attempts in flight, by the attempt's number. */
    final Map<Integer, Integer> attempts = new LinkedHashMap<>();

    int sent;
    boolean closed;

    /** Where an attempt first may have run; null while none may have. */
    Worker mayHaveRunAt;

    long mayHaveRunSinceUs;

    OpenRequest(RequestClass requestClass, long deadlineUs) {
        this.requestClass = requestClass;
        this.deadlineUs = deadlineUs;
    }
}
