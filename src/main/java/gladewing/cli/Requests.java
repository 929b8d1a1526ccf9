package gladewing.cli;

import gladewing.expr.StringMap;
import gladewing.json.Fields;
import gladewing.json.InvalidInputException;
import gladewing.json.Json;
import gladewing.routes.RoutingRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Reads recorded requests, one JSON object each, in the format of docs/routes.md. */
final class Requests {
    private static final Set<String> KNOWN_FIELDS =
            Set.of(
                    "product",
                    "path",
                    "method",
                    "headers",
                    "tenant",
                    "time_left_ms",
                    "repeated",
                    "parts",
                    "text_size",
                    "at_ms");

    /**
     * One recorded request.
     *
     * @param receivedAtMicros when the request was received, in microseconds; negative if that was
     *     not recorded
     */
    record Recorded(RoutingRequest request, long receivedAtMicros) {}

    private Requests() {}

    /** Reads a file that holds one request. */
    static RoutingRequest readRequest(String path) {
        return parse(path, TextFile.readBytes(path)).request;
    }

    /** Reads a file with one request on each line; blank lines are skipped. */
    static List<Recorded> readLog(String path) {
        List<Recorded> requests = new ArrayList<>();
        int lineNumber = 0;
        for (String line : TextFile.read(path).split("\n")) {
            lineNumber++;
            if (!line.isBlank()) {
                requests.add(
                        parse(path + " line " + lineNumber, line.getBytes(StandardCharsets.UTF_8)));
            }
        }
        return requests;
    }

    private static Recorded parse(String name, byte[] json) {
        try {
            Object parsed = Json.read(json);
            if (!(parsed instanceof Map<?, ?> object)) {
                throw new InvalidInputException(name + ": not a JSON object");
            }
            for (Object field : object.keySet()) {
                if (!KNOWN_FIELDS.contains(field)) {
                    throw new InvalidInputException(
                            name
                                    + ": field "
                                    + field
                                    + " is unknown, wanted: one of "
                                    + String.join(", ", KNOWN_FIELDS.stream().sorted().toList()));
                }
            }
            Fields fields = Json.fields(name, json);
            return new Recorded(
                    toRequest(fields, object.get("headers"), name),
                    fields.has("at_ms") ? Math.round(fields.number("at_ms") * 1000) : -1);
        } catch (InvalidInputException exception) {
            throw new Commands.CommandFailedException(
                    exception.getMessage().startsWith(name)
                            ? exception.getMessage()
                            : name + ": " + exception.getMessage());
        }
    }

    private static RoutingRequest toRequest(Fields fields, Object headers, String name) {
        RoutingRequest request = new RoutingRequest();
        request.path =
                fields.has("path")
                        ? fields.text("path")
                        : fields.has("product") ? "/" + fields.text("product") : "/";
        String firstSegment =
                request.path.substring(request.path.startsWith("/") ? 1 : 0).split("[/?]", 2)[0];
        request.product = fields.has("product") ? fields.text("product") : firstSegment;
        request.method = fields.has("method") ? fields.text("method") : "POST";
        request.headers = parseHeaders(headers, name);
        request.tenant = fields.has("tenant") ? fields.text("tenant") : null;
        request.timeLeftMicros = Math.round(fields.number("time_left_ms", 1000) * 1000);
        request.isRepeated = fields.flag("repeated");
        request.textSizeBytes = fields.whole("text_size", 0);
        if (fields.has("parts")) {
            request.parts = new ArrayList<>();
            for (Fields part : fields.objects("parts")) {
                request.parts.add(
                        new RoutingRequest.Part(
                                part.whole("shard"),
                                part.number("weight", 0),
                                Math.round(part.number("cost", -1)),
                                part.has("key") ? part.text("key") : null));
            }
        }
        return request;
    }

    private static StringMap parseHeaders(Object value, String name) {
        Map<String, String> headers = new HashMap<>();
        if (value != null && !(value instanceof Map)) {
            throw new InvalidInputException(name + ": field headers is not an object");
        }
        if (value instanceof Map<?, ?> pairs) {
            pairs.forEach(
                    (header, headerValue) -> {
                        if (!(headerValue instanceof String text)) {
                            throw new InvalidInputException(
                                    name + ": header " + header + " is not a string");
                        }
                        headers.putIfAbsent(((String) header).toLowerCase(Locale.ROOT), text);
                    });
        }
        return StringMap.of(headers);
    }
}
