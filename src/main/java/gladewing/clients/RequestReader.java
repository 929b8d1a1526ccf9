package gladewing.clients;

import gladewing.decisions.Taken;
import gladewing.http.MessageReader;
import gladewing.json.Fields;
import gladewing.json.Json;
import gladewing.json.Unusable;
import gladewing.router.Span;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads a request: a multiget, a question whether this router is ready, or the status that turns it down. */
final class RequestReader {
    static final int READY = 200;
    private static final int BAD = 400;
    private static final int NOT_FOUND = 404;
    private static final int WRONG_METHOD = 405;
    private static final int LONGEST_ID = 128;
    private static final int LONGEST_TEXT = 64 * 1024;

    private final Site site;
    private String id;
    private int product;
    private int tenant;
    private Span left;
    private boolean again;
    private List<Taken.Part> parts;
    private byte[] text;

    RequestReader(Site site) {
        this.site = site;
    }

    /** 0 for a multiget, READY where it is asked whether this router is ready, else a status that refuses. */
    int read(MessageReader message) {
        String[] line = message.startLine().split(" ", -1);
        if (line.length != 3 || !line[2].equals("HTTP/1.1") && !line[2].equals("HTTP/1.0")
                || !line[1].startsWith("/")) {
            return BAD;
        }
        int query = line[1].indexOf('?');
        String path = query < 0 ? line[1] : line[1].substring(0, query);
        if (path.equals("/health/ready")) {
            return line[0].equals("GET") ? READY : WRONG_METHOD;
        }
        int end = path.indexOf('/', 1);
        product = site.products().indexOf(end < 0 ? path.substring(1) : path.substring(1, end));
        if (product < 0) {
            return NOT_FOUND;
        }
        if (!line[0].equals("POST")) {
            return WRONG_METHOD;
        }
        try {
            multiget(message);
            return 0;
        } catch (Unusable bad) {
            return BAD;
        }
    }

    private void multiget(MessageReader message) {
        id = message.header("x-request-id");
        if (id == null || id.isEmpty() || id.length() > LONGEST_ID
                || !id.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new Unusable("no id that can be used");
        }
        String told = message.header("x-priority-class");
        if (told != null && site.products().indexOf(told) != product) {
            throw new Unusable("two products");
        }
        String owner = message.header("x-tenant-id");
        int named = owner == null ? -1 : site.tenants().indexOf(owner);
        tenant = named < 0 ? site.tenants().size() : named;
        left = millis(message.header("x-timeout-ms"));
        again = "1".equals(message.header("x-retried"));
        Fields body = Json.fields("body", message.body());
        text = body.text("q").getBytes(StandardCharsets.UTF_8);
        parts = new ArrayList<>();
        Set<Integer> shards = new HashSet<>();
        for (Fields part : body.objects("shards")) {
            int shard = part.index("shard", site.shards());
            double weight = part.number("weight");
            double cost = part.number("cost", 0);
            if (!shards.add(shard) || !usable(weight) || !usable(cost)) {
                throw new Unusable("a part that can't be used");
            }
            parts.add(new Taken.Part(shard, weight, Span.ofMillis(cost / 1000)));
        }
        if (parts.isEmpty() || text.length > LONGEST_TEXT) {
            throw new Unusable("nothing to read");
        }
    }

    private static boolean usable(double number) {
        return number >= 0 && number < Double.POSITIVE_INFINITY;
    }

    private static Span millis(String told) {
        if (told == null || told.isEmpty() || told.length() > 9
                || !told.chars().allMatch(c -> c >= '0' && c <= '9') || Integer.parseInt(told) == 0) {
            throw new Unusable("no time that can be used");
        }
        return Span.ofMillis(Integer.parseInt(told));
    }

    String id() {
        return id;
    }

    /** What the client of the multiget that was read last said that it waits. */
    Span left() {
        return left;
    }

    /** The multiget that was read last, with what is left of its client's time. */
    Exchange exchange(ClientConnection from, Span ofIt) {
        Span now = new Span(Math.max(1, ofIt.micros()));
        return new Exchange(from, id, product, tenant, now, again, parts, text);
    }
}
