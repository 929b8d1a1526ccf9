package gladewing.clients;

import gladewing.decisions.AcceptedMultiget;
import gladewing.json.Json;
import gladewing.router.RetryPolicy;
import gladewing.router.Span;
import java.util.List;

/** A multiget of a client: its final result is sent as the response on the client's connection. */
final class ClientMultiget extends AcceptedMultiget {
    private static final int OK = 200;

    private final ClientConnection connection;

    ClientMultiget(
            ClientConnection connection,
            String id,
            int product,
            int tenant,
            Span timeLeft,
            boolean isRepeated,
            List<Part> parts,
            byte[] text,
            RetryPolicy retryPolicy) {
        super(id, product, tenant, timeLeft, isRepeated, parts, text, retryPolicy);
        this.connection = connection;
    }

    @Override
    public void settled() {
        connection.multigetSettled(this);
    }

    @Override
    public void answered(boolean whole) {
        StringBuilder body = new StringBuilder(64 + 48 * parts.size());
        body.append("{\"complete\":").append(whole).append(",\"hits\":[");
        String comma = "";
        for (int i = 0; i < parts.size(); i++) {
            if (value(i) != null) {
                body.append(comma)
                        .append("{\"shard\":")
                        .append(parts.get(i).shard())
                        .append(",\"doc\":");
                Json.quote(body, value(i));
                body.append('}');
                comma = ",";
            }
        }
        connection.answer(this, OK, "", body.append("]}").toString());
    }

    @Override
    public void dismissed(Span retryAfter) {
        connection.answer(this, Responses.UNAVAILABLE, Responses.retryAfter(retryAfter), "");
    }

    @Override
    public void givenUp() {
        connection.answer(this, Responses.GIVEN_UP, "", "");
    }
}
