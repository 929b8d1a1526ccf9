package gladewing.expr;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The names that expressions of one file can refer to besides the request: its constants and its
 * named conditions.
 */
public final class Environment {
    final Schema schema;
    final Map<String, Expression> constants = new HashMap<>();
    final Map<String, NamedCondition> conditions = new HashMap<>();

    /** Names whose definition has been reported as faulty; uses of them are not reported again. */
    final Set<String> faultyNames = new HashSet<>();

    public Environment(Schema schema) {
        this.schema = schema;
    }

    public Schema schema() {
        return schema;
    }

    /** Whether the name is already defined. */
    boolean isDefined(String name) {
        return name.equals("request")
                || constants.containsKey(name)
                || conditions.containsKey(name)
                || faultyNames.contains(name);
    }

    /**
     * Parses and type-checks an expression. Returns null if it has faults, which are added to the
     * diagnostics.
     *
     * @param expected the expression's type, or null for any
     */
    public Expression check(String text, Type expected, List<Diagnostic> diagnostics) {
        return new TypeChecker(text, this, diagnostics).check(expected);
    }

    /**
     * Defines a constant and evaluates it at once, within the step limit; the names it refers to
     * must already be defined.
     */
    public void defineConstant(
            String name, String text, long maxSteps, List<Diagnostic> diagnostics) {
        Expression constant = check(text, null, diagnostics);
        if (constant != null && !constant.isLiteral()) {
            constant = foldConstant(constant, maxSteps, diagnostics);
        }
        if (constant == null || !checkName(name, diagnostics, text)) {
            faultyNames.add(name);
            return;
        }
        constants.put(name, constant);
    }

    private static Expression foldConstant(
            Expression constant, long maxSteps, List<Diagnostic> diagnostics) {
        String message = null;
        if (constant.dependsOnRequest()) {
            message = "a constant can't use the request; a condition can";
        } else if (constant.cost() > maxSteps) {
            message = constant.describeExcessCost(maxSteps);
        } else if (!constant.fold()) {
            message = "this never has a value";
        }
        if (message == null) {
            return constant;
        }
        diagnostics.add(new Diagnostic(constant.text, 0, message));
        return null;
    }

    /**
     * Defines a named condition; the names it refers to must already be defined. Returns null if it
     * has faults.
     */
    public Expression defineCondition(String name, String text, List<Diagnostic> diagnostics) {
        Expression condition = check(text, Type.BOOL, diagnostics);
        if (condition == null || !checkName(name, diagnostics, text)) {
            faultyNames.add(name);
            return null;
        }
        conditions.put(name, new NamedCondition(name, condition.root, condition.slotCount));
        return condition;
    }

    /**
     * Marks a name whose definition can't be used, so that uses of it are not reported as faults.
     */
    public void markFaulty(String name) {
        faultyNames.add(name);
    }

    private boolean checkName(String name, List<Diagnostic> diagnostics, String text) {
        String expected =
                !name.matches("[A-Za-z_][A-Za-z0-9_]{0,63}")
                        ? "up to 64 letters, digits and _, not beginning with a digit"
                        : isDefined(name) || identifierOrNull(name) == null
                                ? "a name that is neither reserved nor already in use"
                                : null;
        if (expected != null) {
            diagnostics.add(
                    new Diagnostic(text, 0, "'" + name + "' can't be a name, wanted: " + expected));
        }
        return expected == null;
    }

    /** Returns the name, or null if it is a reserved word or a literal such as true. */
    private static String identifierOrNull(String name) {
        try {
            return Parser.parse(name).op == Operator.NAME ? name : null;
        } catch (SyntaxException reserved) {
            return null;
        }
    }

    /**
     * The names that an expression's text may refer to, for finding the order of definitions and
     * cycles among them; empty if the text is too long or can't be split into tokens.
     */
    public static Set<String> referencedNames(String text) {
        Set<String> names = new LinkedHashSet<>();
        if (text.length() > Parser.MAX_LENGTH) {
            return names;
        }
        try {
            List<Lexer.Token> tokens = new ArrayList<>(Lexer.tokens(text));
            for (int i = 0; i < tokens.size(); i++) {
                if (tokens.get(i).kind() == Lexer.TokenKind.NAME
                        && (i == 0 || !tokens.get(i - 1).is("."))) {
                    names.add(tokens.get(i).text());
                }
            }
        } catch (SyntaxException invalid) {
            // The error is reported when the expression is checked.
            names.clear();
        }
        return names;
    }
}
