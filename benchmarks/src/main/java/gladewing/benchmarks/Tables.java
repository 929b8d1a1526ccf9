package gladewing.benchmarks;

import gladewing.expr.StringMap;
import gladewing.routes.RouteFile;
import gladewing.routes.RouteTable;
import gladewing.routes.RoutingRequest;
import gladewing.settings.IniFile;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Made-up tables and requests. */
final class Tables {
    private Tables() {}

    /** Conditions on a product and a clinic, as franchises write them; each pair once. */
    static String indexable(int routes) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < routes; i++) {
            text.append("[route r")
                    .append(i)
                    .append("]\nwhen = request.product == 'p")
                    .append(i % 10)
                    .append("' && request.headers['x-clinic'] == 'clinic-")
                    .append(i / 10)
                    .append("'\n");
        }
        return text.toString();
    }

    /** The same, but nothing in them can be looked up. */
    static String plain(int routes) {
        return "[bounds]\ntable-steps = 100000000\n"
                + indexable(routes)
                        .replaceAll("request.product == ('p\\d+')", "!(request.product != $1)")
                        .replaceAll(
                                "request.headers\\['x-clinic'\\] == ('[^']+')",
                                "!(request.headers['x-clinic'] != $1)");
    }

    static RouteTable table(String text) {
        RouteFile.ValidationResult outcome = RouteFile.check(IniFile.of("made up", text), null);
        if (outcome.table() == null) {
            throw new IllegalStateException(outcome.faults().toString());
        }
        return outcome.table();
    }

    /** With six parts and eight headers, the clinic's last. */
    static RoutingRequest request(String product, String clinic) {
        RoutingRequest asked = new RoutingRequest();
        asked.product = product;
        asked.path = "/" + product + "/" + clinic;
        asked.method = "POST";
        asked.timeLeftMicros = 3_000_000;
        Map<String, String> headers =
                new HashMap<>(
                        Map.of(
                                "host",
                                "origin.svc",
                                "x-request-id",
                                "9b1f03aa5c7e2d41",
                                "x-priority-class",
                                product,
                                "x-timeout-ms",
                                "3000",
                                "content-length",
                                "212",
                                "content-type",
                                "application/json",
                                "user-agent",
                                "desk"));
        headers.put("x-clinic", clinic);
        asked.headers = StringMap.of(headers);
        List<RoutingRequest.Part> parts = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            parts.add(new RoutingRequest.Part(i, 1 / 6.0, 9000, "00112233445566" + (10 + i)));
        }
        asked.parts = parts;
        return asked;
    }
}
