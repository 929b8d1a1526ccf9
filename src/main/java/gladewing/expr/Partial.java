package gladewing.expr;

import java.util.Map;

/** What can be said of an expression where only some of the request's fields are known. */
final class Partial extends Interpreter {
    private static final Object REQUEST = new Object();

    private final Map<String, Object> known;

    Partial(Map<String, Object> known, int slots) {
        super(null, slots);
        this.known = known;
    }

    @Override
    Object value(Node node) {
        if (node.op == Op.FIELD && node.kid(0).op == Op.REQUEST) {
            Object value = known.get(node.field.name());
            return value == null ? UNKNOWN : value;
        }
        return super.value(node);
    }

    @Override
    Object request() {
        return REQUEST;
    }
}
