package gladewing.expr;

import java.util.Map;

/**
 * Partial evaluation: only some of the request's fields are known. The result is {@link #UNKNOWN}
 * where it depends on a field that is not.
 */
final class PartialInterpreter extends Interpreter {
    /** Stands for the request; its fields are answered in {@link #value}. */
    private static final Object REQUEST = new Object();

    private final Map<String, Object> knownFields;

    PartialInterpreter(Map<String, Object> knownFields, int slotCount) {
        super(null, slotCount);
        this.knownFields = knownFields;
    }

    @Override
    Object value(AstNode node) {
        if (node.op == Operator.FIELD && node.child(0).op == Operator.REQUEST) {
            Object value = knownFields.get(node.field.name());
            return value == null ? UNKNOWN : value;
        }
        return super.value(node);
    }

    @Override
    Object request() {
        return REQUEST;
    }
}
