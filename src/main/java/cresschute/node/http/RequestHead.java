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
 * What a request's head says.
 *
 * @param waitUs how long its client waits for the answer, counted from its sending
 */
record RequestHead(String requestId, String target, String idempotencyKey, Job job, long waitUs) {

    /** A head that is answered by a status and never becomes a request. */
    static final class InvalidHeadException extends Exception {

        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        InvalidHeadException(HttpResponseStatus status, String why) {
            super(why, null, false, false);
            this.status = status;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    /** Reads heads by the classes of the settings. */
    static final class RequestHeadParser {

        private static final List<AsciiString> SAID_ONCE =
                List.of(
                        HttpHeaderNames.HOST,
                        HeaderNames.REQUEST_ID,
                        HeaderNames.IDEMPOTENCY_KEY,
                        HeaderNames.DEADLINE,
                        HeaderNames.EXTRAS,
                        HeaderNames.RETRY,
                        HeaderNames.TENANT);

        private final Map<String, Integer> numbers = new HashMap<>();
        private final List<RequestClass> classes;
        private final List<Tenant> tenants;

        RequestHeadParser(List<String> names, List<RequestClass> classes, List<Tenant> tenants) {
            names.forEach(name -> numbers.put(name, numbers.size()));
            this.classes = classes;
            this.tenants = tenants;
        }

        /** Classes by the numbers that the module knows them by; only those named are taken. */
        RequestHeadParser(
                Map<String, Integer> live, List<RequestClass> classes, List<Tenant> tenants) {
            numbers.putAll(live);
            this.classes = classes;
            this.tenants = tenants;
        }

        RequestHead parse(HttpRequest request) throws InvalidHeadException {
            final String target = originForm(request.uri());
            final QueryStringDecoder query = query(target);
            final Integer requestClass = numbers.get(firstPart(query.path()));
            if (requestClass == null) {
                throw new InvalidHeadException(HttpResponseStatus.NOT_FOUND, "no such class");
            }
            if (!request.method().equals(HttpMethod.POST)) {
                throw new InvalidHeadException(
                        HttpResponseStatus.METHOD_NOT_ALLOWED, "jobs come by POST");
            }
            final HttpHeaders headers = request.headers();
            once(headers);
            final String requestId = headers.get(HeaderNames.REQUEST_ID, "").strip();
            if (requestId.isEmpty()) {
                throw bad("X-Request-Id is missing");
            }
            final RequestClass stated = classes.get(requestClass);
            final String key = headers.get(HeaderNames.IDEMPOTENCY_KEY);
            if (stated.idempotency() == Idempotency.KEYED && (key == null || key.isBlank())) {
                throw bad("Idempotency-Key is missing");
            }
            final String deadline = headers.get(HeaderNames.DEADLINE);
            // Guards what the module learns of a class's clients: none waits longer than the
            // class's time.
            final long waitUs =
                    deadline == null
                            ? stated.deadlineUs()
                            : Math.min(stated.deadlineUs(), DeadlineHeader.parseUs(deadline));
            if (waitUs < 0) {
                throw bad("X-Deadline is unusable");
            }
            final Map<String, Double> extras = extras(headers.get(HeaderNames.EXTRAS, ""));
            final List<String> objects = query.parameters().getOrDefault("obj", List.of());
            if (objects.size() > 1) {
                throw bad("obj is given twice");
            }
            final Job job =
                    new Job(
                            requestClass,
                            tenant(headers),
                            extras.getOrDefault("slots", 1.0),
                            0,
                            objects.isEmpty() ? 0 : keyNumber(objects.get(0)),
                            "1".equals(headers.get(HeaderNames.RETRY)));
            return new RequestHead(requestId, target, key, job, waitUs);
        }

        /**
         * Guards against a head that says one thing twice: whoever reads it next might take the
         * other one, and the node would count one deadline, key or id while the worker goes by
         * another.
         */
        private static void once(HttpHeaders headers) throws InvalidHeadException {
            for (final AsciiString name : SAID_ONCE) {
                final Iterator<String> values = headers.valueStringIterator(name);
                if (values.hasNext()) {
                    values.next();
                    if (values.hasNext()) {
                        throw bad(name + " is given twice");
                    }
                }
            }
        }

        /**
         * Whose share the request counts against, by its number in the settings; 0 where these have
         * no shares. Guards against counting one customer's requests as another's.
         */
        private int tenant(HttpHeaders headers) throws InvalidHeadException {
            if (tenants.isEmpty()) {
                return 0;
            }
            final String name = SettingsFlattener.word(headers.get(HeaderNames.TENANT, "").strip());
            for (int number = 0; number < tenants.size(); number++) {
                if (tenants.get(number).name().equals(name)) {
                    return number;
                }
            }
            throw bad("X-Tenant is missing or names no tenant");
        }

        /** Also takes the form with scheme and host, as every HTTP server must. */
        private static String originForm(String uri) throws InvalidHeadException {
            final int host = uri.startsWith("http://") ? "http://".length() : 0;
            final int path = uri.indexOf('/', host);
            if (path < 0 || host == 0 && path > 0) {
                throw bad("unusable target");
            }
            return uri.substring(path);
        }

        private static QueryStringDecoder query(String target) throws InvalidHeadException {
            try {
                final QueryStringDecoder query =
                        new QueryStringDecoder(target, StandardCharsets.UTF_8);
                query.parameters();
                query.path();
                return query;
            } catch (IllegalArgumentException e) {
                throw bad("unusable target");
            }
        }

        private static String firstPart(String path) {
            final int end = path.indexOf('/', 1);
            return path.substring(1, end < 0 ? path.length() : end);
        }

        private static Map<String, Double> extras(String header) throws InvalidHeadException {
            final Map<String, Double> extras = new HashMap<>();
            for (final String pair : header.isBlank() ? new String[0] : header.split(",")) {
                final int split = pair.indexOf('=');
                try {
                    final double value = Double.parseDouble(pair.substring(split + 1).strip());
                    if (split < 1 || !(value >= 0 && value < Integer.MAX_VALUE)) {
                        throw bad("X-Extras is unusable");
                    }
                    extras.put(pair.substring(0, split).strip(), value);
                } catch (NumberFormatException e) {
                    throw bad("X-Extras is unusable");
                }
            }
            return extras;
        }

        /** The number of a key in the module's terms: its 16 hex digits, or else a hash of it. */
        private static long keyNumber(String key) {
            try {
                return Long.parseUnsignedLong(key, 16);
            } catch (NumberFormatException e) {
                return key.hashCode();
            }
        }

        private static InvalidHeadException bad(String why) {
            return new InvalidHeadException(HttpResponseStatus.BAD_REQUEST, why);
        }
    }
}
