package gladewing.expr;

import java.util.List;

/**
 * The cost of each operation, in steps, as a function of the sizes of its operands. The type
 * checker passes the largest possible sizes, the interpreter the actual ones. No formula decreases
 * when a size grows, so the checker's cost bound is never less than the steps of an evaluation.
 * Sums and products saturate at Long.MAX_VALUE.
 */
final class CostModel {
    /** Characters that are compared or scanned in one step. */
    private static final long CHARS_COMPARED_PER_STEP = 8;

    /** Characters that are copied in one step. */
    private static final long CHARS_COPIED_PER_STEP = 8;

    /**
     * The cost of hashing a value as a multiple of the cost of comparing it; WorstBenchmark
     * measures this ratio and the constants above.
     */
    static final long HASH_FACTOR = 6;

    private CostModel() {}

    static long add(long a, long b) {
        long sum = a + b;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    static long multiply(long a, long b) {
        return a != 0 && b > Long.MAX_VALUE / a ? Long.MAX_VALUE : a * b;
    }

    /** The characters of a string, the elements of a list, the entries of a map; otherwise 1. */
    static long sizeOf(Object value) {
        if (value instanceof String text) {
            return text.length();
        }
        return value instanceof List<?> list
                ? list.size()
                : value instanceof StringMap map ? map.size() : 1;
    }

    /** Steps to traverse a value with all its elements. */
    static long traversalSteps(Object value) {
        long steps =
                1 + (value instanceof String text ? text.length() / CHARS_COMPARED_PER_STEP : 0);
        if (value instanceof List<?> list) {
            for (Object element : list) {
                steps = add(steps, traversalSteps(element));
            }
        }
        return steps;
    }

    /** The most steps to traverse a value of this type and size bound. */
    static long traversalSteps(SizeBound bound, Type type) {
        if (type.is(TypeKind.LIST) && type.element() != null) {
            return add(
                    1,
                    multiply(bound.size(), traversalSteps(bound.elementBound(), type.element())));
        }
        return type.is(TypeKind.STRING) ? add(1, bound.size() / CHARS_COMPARED_PER_STEP) : 1;
    }

    /**
     * Steps of a node without those of its children, of which the first two have the sizes a and b.
     * Comparisons, in, hash() and macros have methods or formulas of their own.
     */
    static long ownSteps(AstNode node, long a, long b) {
        switch (node.op) {
            case INDEX:
                return node.child(0).type.is(TypeKind.MAP)
                        ? add(2, add(a, b / CHARS_COMPARED_PER_STEP))
                        : 1;
            case ADD:
                return node.type.is(TypeKind.STRING)
                        ? add(2, add(a, b) / CHARS_COPIED_PER_STEP)
                        : node.type.is(TypeKind.LIST) ? add(2, add(a, b)) : 1;
            case AND:
            case OR:
                return node.children.size();
            case LIST:
            case MAP:
                return 1 + node.children.size();
            case CALL:
                return node.function.steps(node, a, b);
            default:
                return 1;
        }
    }

    /** Steps of == and the like: both operands are traversed as far as the shorter one reaches. */
    static long comparisonSteps(long stepsA, long stepsB) {
        return add(1, Math.min(stepsA, stepsB));
    }

    /** Steps of in: a constant list is counted as one lookup, any other list as a scan. */
    static long membershipSteps(AstNode node, long elementSteps, long size) {
        if (node.child(1).isLiteral() && node.child(1).type.is(TypeKind.LIST)) {
            return add(4, elementSteps);
        }
        return node.child(1).type.is(TypeKind.MAP)
                ? add(2, add(size, elementSteps))
                : add(1, multiply(size, add(1, elementSteps)));
    }

    /** Steps of a macro without its body, for this number of elements. */
    static long macroSteps(AstNode node, long elements) {
        long stepsPerElement = node.op == Operator.FILTER || node.op == Operator.TRANSFORM ? 3 : 2;
        return add(2, multiply(elements, stepsPerElement));
    }
}
