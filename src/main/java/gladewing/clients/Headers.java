package gladewing.clients;

import gladewing.expr.Entries;
import gladewing.http.MessageReader;

/** A request's headers as routes see them: names in lower case, the first of several. */
record Headers(MessageReader message) implements Entries {
    @Override
    public String get(String key) {
        return message.header(key);
    }

    @Override
    public int size() {
        return message.headers();
    }
}
