package cresschute.node.http;

import cresschute.dispatch.Idempotency;
import cresschute.dispatch.Job;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.Tenant;
import cresschute.node.SettingsFlattener;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Parses and validates request heads against the classes and tenants of the current settings.
 * Immutable: other settings need another parser. Does no I/O and reads no clock.
 */
final class RequestHeadParser {

    /** Headers that may occur only once, because the worker could use another one of two values. */
    private static final List<AsciiString> SINGLE_VALUED =
            List.of(
                    HttpHeaderNames.HOST,
                    HeaderNames.REQUEST_ID,
                    HeaderNames.IDEMPOTENCY_KEY,
                    HeaderNames.DEADLINE,
                    HeaderNames.EXTRAS,
                    HeaderNames.RETRY,
                    HeaderNames.TENANT);

    private static final String HTTP_SCHEME = "http://";
    private static final String DATA_KEY_PARAMETER = "obj";
    private static final String SLOTS = "slots";
    private static final String RETRIED = "1";
    private static final int NO_TENANTS = 0;
    private static final int NO_DATA_KEY = 0;

    private final Map<String, Integer> classNumbers;
    private final List<RequestClass> classes;
    private final List<Tenant> tenants;

    /**
     * Creates a parser for these settings.
     *
     * @param classNumbers the number of each class that accepts new requests, by class name
     * @param classes all classes by number
     * @param tenants the tenants; empty if the settings have none
     */
    RequestHeadParser(
            Map<String, Integer> classNumbers, List<RequestClass> classes, List<Tenant> tenants) {
        this.classNumbers = Map.copyOf(classNumbers);
        this.classes = classes;
        this.tenants = tenants;
    }

    /**
     * Parses a head.
     *
     * @throws InvalidRequestHeadException with status 404 for an unknown class, 405 for a method
     *     other than POST, else 400
     */
    RequestHead parse(HttpRequest request) throws InvalidRequestHeadException {
        final String target = originForm(request.uri());
        final QueryStringDecoder query = query(target);
        final int requestClass = requestClass(query.path());
        if (!request.method().equals(HttpMethod.POST)) {
            throw new InvalidRequestHeadException(
                    HttpResponseStatus.METHOD_NOT_ALLOWED, "jobs come by POST");
        }
        final HttpHeaders headers = request.headers();
        checkSingleValued(headers);
        final String requestId = headers.get(HeaderNames.REQUEST_ID, "").strip();
        if (requestId.isEmpty()) {
            throw badRequest("X-Request-Id is missing");
        }
        final RequestClass settings = classes.get(requestClass);
        final String key = headers.get(HeaderNames.IDEMPOTENCY_KEY);
        if (settings.idempotency() == Idempotency.KEYED && (key == null || key.isBlank())) {
            throw badRequest("Idempotency-Key is missing");
        }
        final long waitUs = waitUs(headers.get(HeaderNames.DEADLINE), settings.deadlineUs());
        final Map<String, Double> extras = extras(headers.get(HeaderNames.EXTRAS, ""));
        final long dataKey = dataKey(query);
        final Job job =
                new Job(
                        requestClass,
                        tenant(headers),
                        extras.getOrDefault(SLOTS, 1.0),
                        0,
                        dataKey,
                        RETRIED.equals(headers.get(HeaderNames.RETRY)));
        return new RequestHead(requestId, target, key, job, waitUs);
    }

    private int requestClass(String path) throws InvalidRequestHeadException {
        final int end = path.indexOf('/', 1);
        final Integer number = classNumbers.get(path.substring(1, end < 0 ? path.length() : end));
        if (number == null) {
            throw new InvalidRequestHeadException(HttpResponseStatus.NOT_FOUND, "no such class");
        }
        return number;
    }

    private static void checkSingleValued(HttpHeaders headers) throws InvalidRequestHeadException {
        for (final AsciiString name : SINGLE_VALUED) {
            final Iterator<String> values = headers.valueStringIterator(name);
            if (values.hasNext()) {
                values.next();
                if (values.hasNext()) {
                    throw badRequest(name + " is given twice");
                }
            }
        }
    }

    /**
     * The time that the client waits, us, capped at the deadline of its class: the dispatcher
     * learns from the wait times of a class, so one client with a longer time would distort them.
     */
    private static long waitUs(String deadline, long maxUs) throws InvalidRequestHeadException {
        if (deadline == null) {
            return maxUs;
        }
        final long us = DeadlineHeader.parseUs(deadline);
        if (us == DeadlineHeader.INVALID) {
            throw badRequest("X-Deadline is unusable");
        }
        return Math.min(maxUs, us);
    }

    /** The number of the tenant whose quota the request counts against. */
    private int tenant(HttpHeaders headers) throws InvalidRequestHeadException {
        if (tenants.isEmpty()) {
            return NO_TENANTS;
        }
        final String name = SettingsFlattener.toToken(headers.get(HeaderNames.TENANT, "").strip());
        for (int number = 0; number < tenants.size(); number++) {
            if (tenants.get(number).name().equals(name)) {
                return number;
            }
        }
        throw badRequest("X-Tenant is missing or names no tenant");
    }

    /**
     * Returns the path and query of a target in origin form, or in absolute form, which every HTTP
     * server must accept.
     */
    private static String originForm(String uri) throws InvalidRequestHeadException {
        final int host = uri.startsWith(HTTP_SCHEME) ? HTTP_SCHEME.length() : 0;
        final int path = uri.indexOf('/', host);
        if (path < 0 || (host == 0 && path > 0)) {
            throw badRequest("unusable target");
        }
        return uri.substring(path);
    }

    private static QueryStringDecoder query(String target) throws InvalidRequestHeadException {
        try {
            final QueryStringDecoder query = new QueryStringDecoder(target, StandardCharsets.UTF_8);
            query.parameters();
            query.path();
            return query;
        } catch (IllegalArgumentException e) {
            throw badRequest("unusable target");
        }
    }

    private static Map<String, Double> extras(String header) throws InvalidRequestHeadException {
        final Map<String, Double> extras = new HashMap<>();
        for (final String pair : header.isBlank() ? new String[0] : header.split(",")) {
            final int split = pair.indexOf('=');
            try {
                final double value = Double.parseDouble(pair.substring(split + 1).strip());
                if (split < 1 || !(value >= 0 && value < Integer.MAX_VALUE)) {
                    throw badRequest("X-Extras is unusable");
                }
                extras.put(pair.substring(0, split).strip(), value);
            } catch (NumberFormatException e) {
                throw badRequest("X-Extras is unusable");
            }
        }
        return extras;
    }

    /**
     * The dispatcher's key for the data that the request reads: the value of {@code obj} parsed as
     * up to 16 hex digits, else its hash code.
     */
    private static long dataKey(QueryStringDecoder query) throws InvalidRequestHeadException {
        final List<String> keys = query.parameters().getOrDefault(DATA_KEY_PARAMETER, List.of());
        if (keys.size() > 1) {
            throw badRequest("obj is given twice");
        }
        if (keys.isEmpty()) {
            return NO_DATA_KEY;
        }
        try {
            return Long.parseUnsignedLong(keys.get(0), 16);
        } catch (NumberFormatException e) {
            return keys.get(0).hashCode();
        }
    }

    private static InvalidRequestHeadException badRequest(String reason) {
        return new InvalidRequestHeadException(HttpResponseStatus.BAD_REQUEST, reason);
    }
}
