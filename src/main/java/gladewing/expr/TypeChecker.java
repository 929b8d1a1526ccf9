package gladewing.expr;

import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import gladewing.settings.NearestName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/**
 * Determines the type, the cost bound and the size bound of every node. Constant folding replaces a
 * node only after it and all below it have been checked, so that a fault is found even in a branch
 * that is never taken.
 */
final class TypeChecker {
    /**
     * The largest number of elements of a pattern with its counted repetitions expanded. It also
     * bounds the time to compile the pattern.
     */
    private static final int LARGEST_PATTERN = 2000;

    /** The longest pattern, in characters. */
    private static final int LONGEST_PATTERN = 256;

    private final String text;
    private final Environment environment;
    private final List<Diagnostic> diagnostics;

    /** The macro that declares each variable now in scope. */
    private final Map<String, AstNode> variables = new HashMap<>();

    /** The first variable slot that no named condition used here takes. */
    private int firstSlot;

    private int slotCount;

    TypeChecker(String text, Environment environment, List<Diagnostic> diagnostics) {
        this.text = text;
        this.environment = environment;
        this.diagnostics = diagnostics;
    }

    /**
     * Returns the checked expression, or null after adding its faults to the diagnostics.
     *
     * @param expected the expression's type, or null for any
     */
    Expression check(Type expected) {
        int faultsBefore = diagnostics.size();
        AstNode root;
        try {
            root = Parser.parse(text);
        } catch (SyntaxException invalid) {
            diagnostics.add(
                    new Diagnostic(
                            text, Math.min(invalid.offset, text.length()), invalid.getMessage()));
            return null;
        }
        firstSlot = slotsOfConditions(root);
        slotCount = firstSlot;
        checkNode(root);
        if (expected != null && Type.common(expected, root.type) == null) {
            report(root, "this is " + root.type + ", wanted: " + expected);
        }
        return diagnostics.size() > faultsBefore ? null : new Expression(text, root, slotCount);
    }

    private int slotsOfConditions(AstNode node) {
        int most = 0;
        NamedCondition condition =
                node.op == Operator.NAME ? environment.conditions.get(node.name) : null;
        if (condition != null) {
            most = condition.slotCount;
        }
        for (AstNode child : node.children) {
            most = Math.max(most, slotsOfConditions(child));
        }
        return most;
    }

    private void report(AstNode node, String message) {
        diagnostics.add(new Diagnostic(text, node.from, message));
    }

    private void checkNode(AstNode node) {
        if (node.op.isMacro()) {
            checkMacro(node);
            return;
        }
        int faultsBefore = diagnostics.size();
        node.children.forEach(this::checkNode);
        node.type = type(node);
        // A node with a fault below it gets no bounds and must not be folded.
        if (node.type.isWrong() || diagnostics.size() > faultsBefore) {
            return;
        }
        computeBounds(node);
        if (!node.isLiteral()
                && !node.children.isEmpty()
                && node.children.stream().allMatch(AstNode::isLiteral)) {
            fold(node);
        }
    }

    private void fold(AstNode node) {
        Object value = new Interpreter(null, 0).value(node);
        if (value == null) {
            report(node, "this never has a value: " + noValueReason(node));
            node.type = Type.WRONG;
        } else {
            node.replaceByLiteral(value);
            computeBounds(node);
        }
    }

    private static String noValueReason(AstNode node) {
        return switch (node.op) {
            case DIVIDE, MODULO -> "division by zero, or the result exceeds 64 bits";
            case INDEX -> "there is no element at this index";
            case CALL -> "the argument can't be converted to " + node.type;
            default -> "the result exceeds 64 bits";
        };
    }

    private Type type(AstNode node) {
        boolean childrenValid = node.children.stream().noneMatch(child -> child.type.isWrong());
        switch (node.op) {
            case LITERAL:
                return literalType(node.value);
            case NAME:
                return name(node);
            case FIELD:
                return childrenValid ? field(node) : Type.WRONG;
            case INDEX:
                return childrenValid ? index(node) : Type.WRONG;
            case LIST:
                return list(node);
            case MAP:
                node.children.forEach(
                        child -> expect(child, Type.STRING, "a map's keys and values are strings"));
                return childrenValid ? Type.MAP : Type.WRONG;
            case CALL:
                return call(node, childrenValid);
            case HAS:
                if (node.child(0).op != Operator.FIELD
                        && node.child(0).op != Operator.INDEX
                        && childrenValid) {
                    report(
                            node,
                            "has() wants a field or an index, such as request.headers['x-clinic']");
                }
                return Type.BOOL;
            case OR_VALUE:
                return sameType(node, 0, 1, "a value and its default");
            case NOT:
                expect(node.child(0), Type.BOOL, "! wants a bool");
                return Type.BOOL;
            case NEGATE:
                return negation(node, childrenValid);
            case AND:
            case OR:
                node.children.forEach(
                        child -> expect(child, Type.BOOL, node.op.sign + " wants bools"));
                return Type.BOOL;
            case IF:
                expect(node.child(0), Type.BOOL, "the condition before ? is a bool");
                return sameType(node, 1, 2, "both branches of ?:");
            case IN:
                return in(node, childrenValid);
            default:
                return node.op.isComparison()
                        ? comparison(node, childrenValid)
                        : arithmetic(node, childrenValid);
        }
    }

    private Type literalType(Object value) {
        return value instanceof Boolean
                ? Type.BOOL
                : value instanceof Long
                        ? Type.INT
                        : value instanceof Double ? Type.DOUBLE : Type.STRING;
    }

    private void expect(AstNode node, Type expected, String why) {
        if (Type.common(node.type, expected) == null) {
            report(node, "this is " + node.type + ", wanted: " + expected + " (" + why + ")");
        }
    }

    private Type sameType(AstNode node, int a, int b, String description) {
        Type type = Type.common(node.child(a).type, node.child(b).type);
        if (type == null) {
            report(
                    node.child(b),
                    "this is "
                            + node.child(b).type
                            + ", wanted: "
                            + node.child(a).type
                            + " ("
                            + description
                            + " must have the same type)");
            return Type.WRONG;
        }
        return type;
    }

    private Type name(AstNode node) {
        AstNode variable = variables.get(node.name);
        if (variable != null) {
            node.op = Operator.VARIABLE;
            node.slot = variable.slot;
            node.bound = variable.child(0).bound.elementBound();
            return variable.child(0).type.isWrong() ? Type.WRONG : variable.child(0).type.element();
        }
        if (node.name.equals("request")) {
            node.op = Operator.REQUEST;
            return environment.schema.request();
        }
        Expression constant = environment.constants.get(node.name);
        if (constant != null) {
            node.replaceByLiteral(constant.root.value);
            return constant.root.type;
        }
        NamedCondition condition = environment.conditions.get(node.name);
        if (condition != null) {
            node.op = Operator.CONDITION;
            node.condition = condition;
            return Type.BOOL;
        }
        if (environment.faultyNames.contains(node.name)) {
            return Type.WRONG;
        }
        TreeSet<String> knownNames = new TreeSet<>(variables.keySet());
        knownNames.add("request");
        knownNames.addAll(environment.constants.keySet());
        knownNames.addAll(environment.conditions.keySet());
        knownNames.addAll(environment.faultyNames);
        report(
                node,
                "unknown name " + Lexer.shortened(node.name) + suggestion(node.name, knownNames));
        return Type.WRONG;
    }

    private static String suggestion(String unknown, java.util.Collection<String> known) {
        String near = NearestName.of(unknown, known);
        return near == null
                ? ", known: " + String.join(", ", known)
                : ", did you mean " + near + "?";
    }

    private Type field(AstNode node) {
        Type containerType = node.child(0).type;
        if (containerType.is(TypeKind.MAP)) {
            // As in CEL, map.key is short for map['key'].
            AstNode key = AstNode.literal(node.from, node.to, node.name);
            checkNode(key);
            node.op = Operator.INDEX;
            node.children = List.of(node.child(0), key);
            return index(node);
        }
        if (!containerType.is(TypeKind.RECORD)) {
            report(node, containerType + " has no fields");
            return Type.WRONG;
        }
        node.field = environment.schema.field(containerType, node.name);
        if (node.field == null) {
            report(
                    node,
                    containerType
                            + " has no field "
                            + Lexer.shortened(node.name)
                            + suggestion(node.name, environment.schema.fieldNames(containerType)));
            return Type.WRONG;
        }
        return node.field.type();
    }

    private Type index(AstNode node) {
        Type containerType = node.child(0).type;
        AstNode key = node.child(1);
        if (containerType.is(TypeKind.MAP)) {
            expect(key, Type.STRING, "a map's keys are strings");
            if (key.value instanceof String name
                    && node.child(0).op == Operator.FIELD
                    && !name.equals(name.toLowerCase(Locale.ROOT))) {
                report(
                        key,
                        "the keys of this map are in lower case, wanted: '"
                                + name.toLowerCase(Locale.ROOT)
                                + "'");
            }
            return Type.STRING;
        }
        if (!containerType.is(TypeKind.LIST)) {
            report(
                    node.child(0),
                    "this is " + containerType + ", wanted: a list or a map before [");
            return Type.WRONG;
        }
        expect(key, Type.INT, "a list's index");
        if (containerType.element() == null) {
            report(node, "the list is empty");
            return Type.WRONG;
        }
        return containerType.element();
    }

    private Type list(AstNode node) {
        Type element = null;
        for (AstNode child : node.children) {
            Type commonType = element == null ? child.type : Type.common(element, child.type);
            if (commonType == null) {
                report(
                        child,
                        "this is "
                                + child.type
                                + ", wanted: "
                                + element
                                + " (the elements of a list must have the same type)");
                return Type.WRONG;
            }
            element = commonType;
        }
        return element == null ? Type.EMPTY_LIST : Type.list(element);
    }

    private Type call(AstNode node, boolean childrenValid) {
        List<Function> overloads = Function.overloads(node.name);
        if (overloads.isEmpty()) {
            boolean hasReceiver = node.name.startsWith(".");
            String bareName = hasReceiver ? node.name.substring(1) : node.name;
            TreeSet<String> all = new TreeSet<>(Function.names());
            all.addAll(
                    List.of(
                            ".all",
                            ".exists",
                            ".exists_one",
                            ".filter",
                            ".map",
                            ".orValue",
                            "has"));
            report(
                    node,
                    "there is no function "
                            + Lexer.shortened(bareName)
                            + (all.contains("." + bareName)
                                    ? ", did you mean VALUE." + bareName + "(...)?"
                                    : all.contains(bareName)
                                            ? ", did you mean " + bareName + "(...)?"
                                            : suggestion(node.name, all)));
            return Type.WRONG;
        }
        for (Function f : overloads) {
            if (f.accepts(node.children)) {
                node.function = f;
                return !childrenValid
                        ? Type.WRONG
                        : f == Function.MATCHES
                                ? pattern(node)
                                : f == Function.DURATION ? duration(node) : f.result;
            }
        }
        if (childrenValid) {
            List<String> parameters = new ArrayList<>();
            overloads.forEach(f -> parameters.add(f.parameterText()));
            List<Type> argumentTypes = new ArrayList<>();
            node.children.forEach(child -> argumentTypes.add(child.type));
            report(
                    node,
                    node.name.replace(".", "")
                            + " is given "
                            + argumentTypes.toString().replace('[', '(').replace(']', ')')
                            + ", wanted: "
                            + String.join(" or ", parameters)
                            + (node.name.startsWith(".")
                                    ? " (the first argument stands before the dot)"
                                    : ""));
        }
        return Type.WRONG;
    }

    private Type duration(AstNode node) {
        if (!node.child(0).isLiteral()) {
            report(node.child(0), "duration() wants a constant string, such as '1.5s'");
            return Type.WRONG;
        }
        return Type.DURATION;
    }

    /**
     * Patterns must be constant, because they are compiled here, once; others would have to be
     * compiled on each evaluation.
     */
    private Type pattern(AstNode node) {
        AstNode pattern = node.child(1);
        if (!(pattern.value instanceof String regex) || !pattern.isLiteral()) {
            report(pattern, "matches() wants a constant pattern");
            return Type.WRONG;
        }
        long size = regex.length() > LONGEST_PATTERN ? Long.MAX_VALUE : PatternSize.of(regex);
        if (size > LARGEST_PATTERN) {
            report(
                    pattern,
                    "the pattern is too large: wanted at most "
                            + LONGEST_PATTERN
                            + " characters, and "
                            + LARGEST_PATTERN
                            + " elements with its repetitions expanded");
            return Type.WRONG;
        }
        try {
            node.pattern = Pattern.compile(regex);
            return Type.BOOL;
        } catch (PatternSyntaxException invalid) {
            report(
                    pattern,
                    "invalid RE2 pattern: "
                            + invalid.getDescription()
                            + " "
                            + invalid.getPattern());
            return Type.WRONG;
        }
    }

    private Type negation(AstNode node, boolean childrenValid) {
        Type type = node.child(0).type;
        if (childrenValid && !type.is(TypeKind.INT) && !type.is(TypeKind.DOUBLE)) {
            report(node.child(0), "this is " + type + ", wanted: int or double (after -)");
            return Type.WRONG;
        }
        return type;
    }

    private Type arithmetic(AstNode node, boolean childrenValid) {
        if (!childrenValid) {
            return Type.WRONG;
        }
        Type a = node.child(0).type;
        Type commonType = Type.common(a, node.child(1).type);
        boolean isDefinedFor =
                commonType != null
                        && switch (node.op) {
                            case ADD ->
                                    commonType.is(TypeKind.INT)
                                            || commonType.is(TypeKind.DOUBLE)
                                            || commonType.is(TypeKind.STRING)
                                            || commonType.is(TypeKind.DURATION)
                                            || commonType.is(TypeKind.LIST);
                            case SUBTRACT ->
                                    commonType.is(TypeKind.INT)
                                            || commonType.is(TypeKind.DOUBLE)
                                            || commonType.is(TypeKind.DURATION);
                            case MODULO -> commonType.is(TypeKind.INT);
                            default ->
                                    commonType.is(TypeKind.INT) || commonType.is(TypeKind.DOUBLE);
                        };
        if (!isDefinedFor) {
            report(
                    node,
                    node.op.sign
                            + " is given "
                            + a
                            + " and "
                            + node.child(1).type
                            + conversionHint(a, node.child(1).type));
            return Type.WRONG;
        }
        return commonType;
    }

    private static String conversionHint(Type a, Type b) {
        boolean mixed =
                a.is(TypeKind.INT) && b.is(TypeKind.DOUBLE)
                        || a.is(TypeKind.DOUBLE) && b.is(TypeKind.INT);
        return mixed
                ? ", wanted: operands of one type; double(...) or int(...) converts one of them"
                : a.is(TypeKind.STRING) || b.is(TypeKind.STRING)
                        ? ", wanted: operands of one type; string(...) converts to a string"
                        : "";
    }

    private Type comparison(AstNode node, boolean childrenValid) {
        if (!childrenValid) {
            return Type.BOOL;
        }
        Type a = node.child(0).type;
        Type b = node.child(1).type;
        Type commonType = Type.common(a, b);
        boolean equality = node.op == Operator.EQUAL || node.op == Operator.UNEQUAL;
        if (commonType == null) {
            report(node, node.op.sign + " compares " + a + " with " + b + conversionHint(a, b));
        } else if (equality ? !isComparable(commonType) : !commonType.isOrdered()) {
            report(node, commonType + " can't be compared by " + node.op.sign);
        }
        return Type.BOOL;
    }

    private static boolean isComparable(Type type) {
        return type.isScalar()
                || type.is(TypeKind.LIST)
                        && (type.element() == null || isComparable(type.element()));
    }

    private Type in(AstNode node, boolean childrenValid) {
        if (!childrenValid) {
            return Type.BOOL;
        }
        Type containerType = node.child(1).type;
        if (containerType.is(TypeKind.MAP)) {
            expect(node.child(0), Type.STRING, "a map's keys are strings");
        } else if (!containerType.is(TypeKind.LIST)) {
            report(
                    node.child(1),
                    "this is " + containerType + ", wanted: a list or a map after in");
        } else if (containerType.element() != null
                && (Type.common(containerType.element(), node.child(0).type) == null
                        || !isComparable(node.child(0).type))) {
            report(node, "in can't search for " + node.child(0).type + " in " + containerType);
        }
        return Type.BOOL;
    }

    /** Checks a macro. Its variable is in scope only in the body and must not shadow a name. */
    private void checkMacro(AstNode node) {
        AstNode range = node.child(0);
        checkNode(range);
        if (!range.type.is(TypeKind.LIST) && !range.type.isWrong()) {
            report(range, "this is " + range.type + ", wanted: a list before ." + node.op.sign);
            range.type = Type.WRONG;
        } else if (range.type.is(TypeKind.LIST) && range.type.element() == null) {
            report(range, "the list is always empty");
            range.type = Type.WRONG;
        }
        boolean isDefined = variables.containsKey(node.name) || environment.isDefined(node.name);
        if (isDefined) {
            report(
                    node,
                    "the variable "
                            + Lexer.shortened(node.name)
                            + " would shadow another definition of that name");
        }
        node.slot = firstSlot + variables.size();
        slotCount = Math.max(slotCount, node.slot + 1);
        AstNode shadowed = variables.put(node.name, node);
        checkNode(node.child(1));
        if (shadowed == null) {
            variables.remove(node.name);
        } else {
            variables.put(node.name, shadowed);
        }
        Type body = node.child(1).type;
        if (node.op == Operator.TRANSFORM) {
            node.type = range.type.isWrong() || body.isWrong() ? Type.WRONG : Type.list(body);
        } else {
            expect(node.child(1), Type.BOOL, "the body of ." + node.op.sign);
            node.type = node.op == Operator.FILTER ? range.type : Type.BOOL;
        }
        if (!node.type.isWrong() && !range.type.isWrong() && !body.isWrong()) {
            computeBounds(node);
        }
    }

    /** Sets the size bound and the cost bound of a node, and checks the depth of the tree. */
    private void computeBounds(AstNode node) {
        node.bound = bound(node);
        long cost = ownCost(node);
        for (AstNode child : node.children) {
            boolean isMacroBody = node.op.isMacro() && child == node.child(1);
            cost =
                    CostModel.add(
                            cost,
                            isMacroBody
                                    ? CostModel.multiply(node.child(0).bound.size(), child.cost)
                                    : child.cost);
        }
        if (node.op == Operator.IF) {
            cost =
                    CostModel.add(
                            ownCost(node),
                            CostModel.add(
                                    node.child(0).cost,
                                    Math.max(node.child(1).cost, node.child(2).cost)));
        }
        node.cost = cost;
        if (node.op == Operator.CONDITION) {
            node.cost = CostModel.add(1, node.condition.root.cost);
            node.depth = node.condition.root.depth + 1;
        }
        for (AstNode child : node.children) {
            node.depth = Math.max(node.depth, child.depth + 1);
        }
        if (node.depth > Parser.MAX_TREE_DEPTH) {
            report(
                    node,
                    "more than "
                            + Parser.MAX_TREE_DEPTH
                            + " nested operations, including those of named conditions");
            node.type = Type.WRONG;
        }
    }

    /** The most steps of the node without those of its children. */
    private long ownCost(AstNode node) {
        AstNode a = node.children.isEmpty() ? null : node.child(0);
        AstNode b = node.children.size() < 2 ? null : node.child(1);
        if (node.op.isMacro()) {
            return CostModel.macroSteps(node, a.bound.size());
        }
        if (node.op.isComparison()) {
            return CostModel.comparisonSteps(
                    CostModel.traversalSteps(a.bound, a.type),
                    CostModel.traversalSteps(b.bound, b.type));
        }
        if (node.op == Operator.IN) {
            return CostModel.membershipSteps(
                    node, CostModel.traversalSteps(a.bound, a.type), b.bound.size());
        }
        if (node.function == Function.HASH) {
            long all = 2;
            for (AstNode child : node.children) {
                all =
                        CostModel.add(
                                all,
                                CostModel.multiply(
                                        CostModel.HASH_FACTOR,
                                        CostModel.traversalSteps(child.bound, child.type)));
            }
            return all;
        }
        return CostModel.ownSteps(
                node, a == null ? 1 : a.bound.size(), b == null ? 1 : b.bound.size());
    }

    private SizeBound bound(AstNode node) {
        switch (node.op) {
            case LITERAL:
                return boundOf(node.value);
            case FIELD:
                return node.field.bound();
            case VARIABLE:
                return node.bound;
            case INDEX:
                return node.child(0).bound.elementBound();
            case IF:
                return SizeBound.max(node.child(1).bound, node.child(2).bound);
            case OR_VALUE:
                return SizeBound.max(node.child(0).bound, node.child(1).bound);
            case ADD:
                return node.type.is(TypeKind.STRING) || node.type.is(TypeKind.LIST)
                        ? SizeBound.concatenated(node.child(0).bound, node.child(1).bound)
                        : SizeBound.SCALAR;
            case LIST:
            case MAP:
                SizeBound each = SizeBound.SCALAR;
                for (AstNode child : node.children) {
                    each = SizeBound.max(each, child.bound);
                }
                return SizeBound.ofList(node.children.size(), each);
            case FILTER:
                return node.child(0).bound;
            case TRANSFORM:
                return SizeBound.ofList(node.child(0).bound.size(), node.child(1).bound);
            case CALL:
                return node.function.bound(node);
            default:
                return SizeBound.SCALAR;
        }
    }

    private static SizeBound boundOf(Object value) {
        if (value instanceof String text) {
            return SizeBound.ofText(text.length());
        }
        if (value instanceof StringMap map) {
            return SizeBound.ofList(map.size(), SizeBound.ofText(Parser.MAX_LENGTH));
        }
        if (value instanceof List<?> list) {
            SizeBound each = SizeBound.SCALAR;
            for (Object element : list) {
                each = SizeBound.max(each, boundOf(element));
            }
            return SizeBound.ofList(list.size(), each);
        }
        return SizeBound.SCALAR;
    }
}
