package gladewing.expr;

import java.util.ArrayList;
import java.util.List;

/** An expression that has passed the type checker, with its type and cost bound. */
public final class Expression {
    public final String text;
    final AstNode root;
    final int slotCount;

    Expression(String text, AstNode root, int slotCount) {
        this.text = text;
        this.root = root;
        this.slotCount = slotCount;
    }

    public Type type() {
        return root.type;
    }

    /** The most steps that one evaluation can take; Long.MAX_VALUE for that many or more. */
    public long cost() {
        return root.cost;
    }

    /** The number of variable slots that a frame needs for this expression. */
    public int slotCount() {
        return slotCount;
    }

    /** Whether the expression is a constant, possibly after constant folding. */
    public boolean isLiteral() {
        return root.isLiteral();
    }

    boolean dependsOnRequest() {
        return dependsOnRequest(root);
    }

    private static boolean dependsOnRequest(AstNode node) {
        return node.op == Operator.REQUEST
                || node.op == Operator.CONDITION
                || node.children.stream().anyMatch(Expression::dependsOnRequest);
    }

    /** Folds the expression into a literal; false if it has no value. */
    boolean fold() {
        Object value = new Interpreter(null, slotCount).value(root);
        if (value != null) {
            root.replaceByLiteral(value);
            root.cost = 1;
            root.depth = 0;
        }
        return value != null;
    }

    /** The message for a cost above the limit, with the most expensive part of the expression. */
    public String describeExcessCost(long limit) {
        AstNode costliest = root;
        for (AstNode next = root; next != null; next = costliestChild(next)) {
            costliest = next;
        }
        String part =
                costliest.op == Operator.CONDITION
                        ? costliest.condition.name
                        : Lexer.shortened(
                                text.substring(
                                        Math.min(costliest.from, text.length()),
                                        Math.min(costliest.to, text.length())));
        return "may take "
                + formatCost(root.cost)
                + " steps, wanted: at most "
                + limit
                + "; the most expensive part, with "
                + formatCost(costliest.cost)
                + " steps, is at column "
                + (costliest.from + 1)
                + ": "
                + part;
    }

    private static String formatCost(long cost) {
        return cost == Long.MAX_VALUE ? "more than 2^63" : Long.toString(cost);
    }

    /** The child with more than half of its parent's cost, or null if there is none. */
    private static AstNode costliestChild(AstNode node) {
        for (AstNode child : node.children) {
            boolean isMacroBody = node.op.isMacro() && child == node.child(1);
            long total =
                    isMacroBody
                            ? CostModel.multiply(node.child(0).bound.size(), child.cost)
                            : child.cost;
            if (total > node.cost / 2 && child.cost > 16) {
                return child;
            }
        }
        return null;
    }

    /**
     * The expression in disjunctive form: it is true only if all conjuncts of one alternative hold.
     * If there would be more alternatives than the maximum, the whole expression is one conjunct.
     */
    public List<List<Conjunct>> alternatives(int maxAlternatives) {
        return DisjunctiveForm.alternatives(root, maxAlternatives);
    }

    /** The constants that the field is compared with anywhere in the expression. */
    public List<ComparedConstant> comparedConstants(Schema.Field field) {
        return ComparedConstant.findAll(root, field);
    }

    /**
     * Whether the expression can be true for a request of which only some fields are known.
     *
     * @param knownFields values by field name
     */
    public boolean canBeTrue(java.util.Map<String, Object> knownFields) {
        Object value = new PartialInterpreter(knownFields, slotCount).value(root);
        return value == Interpreter.UNKNOWN || Boolean.TRUE.equals(value);
    }

    /**
     * The text and value of each operation for one request, outermost first, in at most maxLines
     * lines.
     */
    public List<String> explain(RecordView request, int maxLines) {
        List<String> lines = new ArrayList<>();
        explain(root, text, new Interpreter(request, slotCount), 0, lines, maxLines);
        return lines;
    }

    private static void explain(
            AstNode node,
            String text,
            Interpreter interpreter,
            int depth,
            List<String> lines,
            int maxLines) {
        if (node.isLiteral() || node.op == Operator.REQUEST || lines.size() >= maxLines) {
            return;
        }
        String part =
                node.op == Operator.CONDITION
                        ? node.name
                        : text.substring(
                                node.children.isEmpty()
                                        ? node.from
                                        : Math.min(node.from, firstOffset(node)),
                                node.to);
        lines.add(
                "  ".repeat(depth)
                        + Lexer.shortened(part)
                        + " = "
                        + format(interpreter.value(node)));
        // The body of a macro has a value for each element, so only the range is shown.
        int shownChildren = node.op.isMacro() ? 1 : node.children.size();
        for (int i = 0; i < shownChildren; i++) {
            explain(node.child(i), text, interpreter, depth + 1, lines, maxLines);
        }
    }

    private static int firstOffset(AstNode node) {
        int from = node.from;
        for (AstNode child : node.children) {
            from = Math.min(from, firstOffset(child));
        }
        return from;
    }

    static String format(Object value) {
        if (value instanceof String text) {
            return "'" + Lexer.shortened(text) + "'";
        }
        return value == null
                ? "no value"
                : value instanceof java.time.Duration duration
                        ? ValueOperations.formatDuration(ValueOperations.toMicros(duration))
                        : value instanceof RecordView
                                ? "a record"
                                : value instanceof StringMap map
                                        ? "a map of " + map.size()
                                        : value instanceof List<?> list
                                                ? list.size() > 8
                                                        ? "a list of " + list.size()
                                                        : list.stream()
                                                                .map(Expression::format)
                                                                .toList()
                                                                .toString()
                                                : value.toString();
    }

    /** Evaluates the expression with the interpreter; null for no value. */
    public Object evaluate(RecordView request) {
        return new Interpreter(request, slotCount).value(root);
    }

    /** The value in the format of {@link #explain}. */
    public String formattedValue(RecordView request) {
        return format(evaluate(request));
    }

    /**
     * The steps of one evaluation, as the interpreter counts them; never more than {@link #cost}.
     */
    public long countSteps(RecordView request) {
        Interpreter interpreter = new Interpreter(request, slotCount);
        interpreter.value(root);
        return interpreter.steps();
    }

    /** Compiles an expression of type bool. */
    public CompiledExpression.BoolCode compileBool() {
        return new Compiler().compileBool(root);
    }

    /**
     * Compiles an expression of type int or string to a key: the int itself, or the string's hash.
     * {@link CompiledExpression.Frame#hasNoValue} tells whether there is none.
     */
    public CompiledExpression.IntCode compileKey() {
        return new Compiler().compileKey(root);
    }
}
