package gladewing.clients;

import gladewing.decisions.AcceptedMultiget;
import gladewing.expr.StringMap;
import gladewing.http.MessageReader;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.routes.RouteTable;
import gladewing.routes.RoutingDecision;
import gladewing.routes.RoutingRequest;
import java.util.ArrayList;
import java.util.List;

/** Evaluates the table of routes for the request that was read last. */
final class RouteLookup {
    private final RouteTable table;

    /** Rate limits keep their state from the lookup before, which may be null. */
    RouteLookup(RouteTable table, RouteLookup previous) {
        this.table = table;
        if (previous != null) {
            table.carryOverLimits(previous.table);
        }
    }

    /** Routes the request that was read last, with the time that its client has left. */
    RoutingDecision route(RequestReader reader, Span timeLeft, Time now) {
        return table.route(routeInput(reader, timeLeft), now.micros());
    }

    private static RoutingRequest routeInput(RequestReader reader, Span timeLeft) {
        ServedCatalog catalog = reader.catalog();
        RoutingRequest input = new RoutingRequest();
        input.product = catalog.products().get(reader.product());
        input.path = reader.path();
        input.method = reader.method();
        input.headers = new Headers(reader.message());
        input.tenant =
                reader.tenant() < catalog.tenants().size()
                        ? catalog.tenants().get(reader.tenant())
                        : null;
        input.timeLeftMicros = Math.max(1, timeLeft.micros());
        input.isRepeated = reader.isRepeated();
        input.textSizeBytes = reader.textSize();
        List<RoutingRequest.Part> parts = new ArrayList<>(reader.parts().size());
        for (AcceptedMultiget.Part part : reader.parts()) {
            int index = parts.size();
            parts.add(
                    new RoutingRequest.Part(
                            part.shard(),
                            part.weight(),
                            reader.hasCost(index) ? part.workHint().micros() : -1,
                            reader.key(index)));
        }
        input.parts = parts;
        return input;
    }

    /** Headers by their names in lower case; of several with one name, the first. */
    private record Headers(MessageReader message) implements StringMap {
        @Override
        public String get(String key) {
            return message.header(key);
        }

        @Override
        public int size() {
            return message.headerCount();
        }
    }
}
