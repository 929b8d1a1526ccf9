package gladewing.expr;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tree-walking interpreter; null is "no value". It is the reference for the meaning of expressions:
 * tests compare the compiled form with it, constants are folded and values explained by it, and it
 * counts the steps that the type checker bounds.
 */
class Interpreter {
    /** The value of what depends on an unknown field; see {@link PartialInterpreter}. */
    static final Object UNKNOWN =
            new Object() {
                @Override
                public String toString() {
                    return "unknown";
                }
            };

    private final RecordView request;
    private final Object[] variables;
    private long steps;

    Interpreter(RecordView request, int slotCount) {
        this.request = request;
        this.variables = new Object[slotCount];
    }

    long steps() {
        return steps;
    }

    Object value(AstNode node) {
        switch (node.op) {
            case LITERAL:
                steps++;
                return node.value;
            case REQUEST:
                steps++;
                return request();
            case VARIABLE:
                steps++;
                return variables[node.slot];
            case CONDITION:
                steps++;
                return value(node.condition.root);
            case AND:
                return shortCircuit(node, Boolean.FALSE);
            case OR:
                return shortCircuit(node, Boolean.TRUE);
            case IF:
                steps++;
                Object condition = value(node.child(0));
                return condition instanceof Boolean yes
                        ? value(node.child(yes ? 1 : 2))
                        : condition;
            case HAS:
                steps++;
                Object tested = value(node.child(0));
                return tested == UNKNOWN ? UNKNOWN : tested != null;
            case OR_VALUE:
                steps++;
                Object first = value(node.child(0));
                return first != null ? first : value(node.child(1));
            default:
                return node.op.isMacro() ? macro(node) : strict(node);
        }
    }

    Object request() {
        return request;
    }

    /**
     * Evaluates AND or OR. The first operand that equals the decider (false for AND, true for OR)
     * is the result, even if operands before it have no value.
     */
    private Object shortCircuit(AstNode node, Boolean decider) {
        steps += CostModel.ownSteps(node, 0, 0);
        Object result = !decider;
        for (AstNode child : node.children) {
            Object value = value(child);
            if (decider.equals(value)) {
                return decider;
            }
            if (!(value instanceof Boolean)) {
                result = combine(result, value);
            }
        }
        return result;
    }

    /**
     * Combines two results that are not the decider: UNKNOWN takes precedence over "no value",
     * since it may still turn out to be the decider, and both over a bool.
     */
    private static Object combine(Object a, Object b) {
        return a == UNKNOWN || b == UNKNOWN ? UNKNOWN : a instanceof Boolean ? b : a;
    }

    private Object macro(AstNode node) {
        Object range = value(node.child(0));
        if (!(range instanceof List<?> list)) {
            return range;
        }
        steps += CostModel.macroSteps(node, list.size());
        Object result = node.op != Operator.EXISTS;
        int matches = 0;
        List<Object> kept = new ArrayList<>();
        for (Object element : list) {
            variables[node.slot] = element;
            Object body = value(node.child(1));
            boolean decided =
                    node.op == Operator.ALL && Boolean.FALSE.equals(body)
                            || node.op == Operator.EXISTS && Boolean.TRUE.equals(body);
            if (decided) {
                return body;
            }
            if (body == null || body == UNKNOWN) {
                result = combine(result, body);
            } else if (node.op == Operator.TRANSFORM) {
                kept.add(body);
            } else if (Boolean.TRUE.equals(body)) {
                matches++;
                kept.add(element);
            }
        }
        if (!(result instanceof Boolean) || node.op == Operator.ALL || node.op == Operator.EXISTS) {
            return result;
        }
        return node.op == Operator.ONE ? (Object) (matches == 1) : kept;
    }

    /** Evaluates an operation that has no value if one of its operands has none. */
    private Object strict(AstNode node) {
        Object[] operands = new Object[node.children.size()];
        boolean unknown = false;
        boolean noValue = false;
        for (int i = 0; i < operands.length; i++) {
            operands[i] = value(node.child(i));
            unknown |= operands[i] == UNKNOWN;
            noValue |= operands[i] == null;
        }
        Object a = operands.length > 0 ? operands[0] : null;
        Object b = operands.length > 1 ? operands[1] : null;
        if (noValue || unknown) {
            return noValue ? null : UNKNOWN;
        }
        countSteps(node, operands);
        switch (node.op) {
            case FIELD:
                return field(node.field, (RecordView) a);
            case INDEX:
                return index(node, a, b);
            case LIST:
                return List.of(operands);
            case MAP:
                return map(operands);
            case CALL:
                return call(node, a, b, operands);
            case NOT:
                return !(Boolean) a;
            case NEGATE:
                return a instanceof Double number
                        ? (Object) (-number)
                        : (Long) a == Long.MIN_VALUE ? null : (Object) (-(Long) a);
            case EQUAL:
                return ValueOperations.equal(a, b);
            case UNEQUAL:
                return !ValueOperations.equal(a, b);
            case IN:
                return b instanceof StringMap map
                        ? map.get((String) a) != null
                        : ((List<?>) b)
                                .stream().anyMatch(element -> ValueOperations.equal(a, element));
            default:
                return node.op.isComparison() ? compare(node.op, a, b) : arithmetic(node.op, a, b);
        }
    }

    private void countSteps(AstNode node, Object[] operands) {
        long ownSteps;
        if (node.op.isComparison()) {
            ownSteps =
                    CostModel.comparisonSteps(
                            CostModel.traversalSteps(operands[0]),
                            CostModel.traversalSteps(operands[1]));
        } else if (node.op == Operator.IN) {
            ownSteps =
                    CostModel.membershipSteps(
                            node,
                            CostModel.traversalSteps(operands[0]),
                            CostModel.sizeOf(operands[1]));
        } else if (node.function == Function.HASH) {
            ownSteps = 2;
            for (Object operand : operands) {
                ownSteps += CostModel.HASH_FACTOR * CostModel.traversalSteps(operand);
            }
        } else {
            ownSteps =
                    CostModel.ownSteps(
                            node,
                            operands.length > 0 ? CostModel.sizeOf(operands[0]) : 1,
                            operands.length > 1 ? CostModel.sizeOf(operands[1]) : 1);
        }
        steps = CostModel.add(steps, ownSteps);
    }

    /**
     * Reads a field. A value larger than the schema's bound counts as "no value", so that the cost
     * bound holds for any request.
     */
    Object field(Schema.Field field, RecordView view) {
        int number = field.number();
        switch (field.type().kind()) {
            case BOOL:
                return view.has(number) ? view.getBool(number) : null;
            case INT:
                return view.has(number) ? (Object) view.getInt(number) : null;
            case DOUBLE:
                return view.has(number) ? (Object) view.getDouble(number) : null;
            case DURATION:
                return view.has(number)
                        ? ValueOperations.durationOfMicros(view.getInt(number))
                        : null;
            default:
                Object value = view.getObject(number);
                return value == null || CostModel.sizeOf(value) > field.bound().size()
                        ? null
                        : value;
        }
    }

    private Object index(AstNode node, Object container, Object key) {
        if (container instanceof StringMap map) {
            String value = map.get((String) key);
            return value == null || value.length() > node.bound.size() ? null : value;
        }
        List<?> list = (List<?>) container;
        long index = (Long) key;
        return index >= 0 && index < list.size() ? list.get((int) index) : null;
    }

    /** Builds a map from alternating keys and values; of equal keys, the first is kept. */
    static StringMap map(Object[] pairs) {
        Map<String, String> entries = new HashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            entries.putIfAbsent((String) pairs[i], (String) pairs[i + 1]);
        }
        return StringMap.of(entries);
    }

    private static Object call(AstNode node, Object a, Object b, Object[] arguments) {
        switch (node.function) {
            case SIZE_OF_TEXT:
                return ValueOperations.codePoints((String) a);
            case SIZE_OF_LIST:
            case SIZE_OF_MAP:
                return CostModel.sizeOf(a);
            case STARTS_WITH:
                return ((String) a).startsWith((String) b);
            case ENDS_WITH:
                return ((String) a).endsWith((String) b);
            case CONTAINS:
                return ((String) a).contains((String) b);
            case MATCHES:
                return node.pattern.matcher((String) a).find();
            case LOWER_ASCII:
                return ValueOperations.lowerAscii((String) a);
            case MILLISECONDS:
                return ValueOperations.toMicros((Duration) a) / 1000;
            case HASH:
                long hash = ValueOperations.hash(a);
                for (int i = 1; i < arguments.length; i++) {
                    hash = ValueOperations.hash(hash, ValueOperations.hash(arguments[i]));
                }
                return hash;
            case DURATION:
                return ValueOperations.parseDuration((String) a);
            case INT_OF_DOUBLE:
                return ValueOperations.fitsInt((Double) a)
                        ? (Object) (long) (double) (Double) a
                        : null;
            case INT_OF_TEXT:
                return ValueOperations.parseInt((String) a);
            case DOUBLE_OF_INT:
                return (double) (Long) a;
            case DOUBLE_OF_TEXT:
                return ValueOperations.parseDouble((String) a);
            case TEXT_OF_DURATION:
                return ValueOperations.formatDuration(ValueOperations.toMicros((Duration) a));
            default:
                return a.toString();
        }
    }

    private static boolean compare(Operator op, Object a, Object b) {
        if (a instanceof Double x && b instanceof Double y) {
            return op == Operator.LESS
                    ? x < y
                    : op == Operator.AT_MOST ? x <= y : op == Operator.MORE ? x > y : x >= y;
        }
        int order = ValueOperations.compare(a, b);
        return op == Operator.LESS
                ? order < 0
                : op == Operator.AT_MOST
                        ? order <= 0
                        : op == Operator.MORE ? order > 0 : order >= 0;
    }

    private static Object arithmetic(Operator op, Object a, Object b) {
        if (a instanceof String text) {
            return text.concat((String) b);
        }
        if (a instanceof List<?> list) {
            List<Object> joined = new ArrayList<>(list);
            joined.addAll((List<?>) b);
            return joined;
        }
        if (a instanceof Double x) {
            double y = (Double) b;
            return op == Operator.ADD
                    ? x + y
                    : op == Operator.SUBTRACT ? x - y : op == Operator.MULTIPLY ? x * y : x / y;
        }
        boolean areDurations = a instanceof Duration;
        Long result =
                intArithmetic(
                        op,
                        areDurations ? ValueOperations.toMicros((Duration) a) : (Long) a,
                        areDurations ? ValueOperations.toMicros((Duration) b) : (Long) b);
        return result != null && areDurations ? ValueOperations.durationOfMicros(result) : result;
    }

    private static Long intArithmetic(Operator op, long a, long b) {
        return switch (op) {
            case ADD -> ValueOperations.sumFits(a, b) ? a + b : null;
            case SUBTRACT -> ValueOperations.differenceFits(a, b) ? a - b : null;
            case MULTIPLY -> ValueOperations.productFits(a, b) ? a * b : null;
            case DIVIDE -> ValueOperations.quotientFits(a, b) ? a / b : null;
            default -> ValueOperations.quotientFits(a, b) ? a % b : null;
        };
    }
}
