package gladewing.expr;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Recursive-descent parser; docs/expressions.md has the grammar. */
final class Parser {
    /**
     * Nesting of brackets and conditional branches. Each level takes a bounded number of calls, so
     * parsing can't overflow the stack.
     */
    static final int MAX_NESTING = 64;

    /** Levels of the tree, which bounds the stack of recursive walks over it. */
    static final int MAX_TREE_DEPTH = 160;

    /** Characters of an expression's text. */
    static final int MAX_LENGTH = 16 * 1024;

    /** Elements of a list, or entries of a map. */
    static final int MAX_ELEMENTS = 1000;

    static final int MAX_ARGUMENTS = 16;

    private static final Map<String, Operator> RELATIONAL_OPERATORS =
            Map.of(
                    "==",
                    Operator.EQUAL,
                    "!=",
                    Operator.UNEQUAL,
                    "<",
                    Operator.LESS,
                    "<=",
                    Operator.AT_MOST,
                    ">",
                    Operator.MORE,
                    ">=",
                    Operator.AT_LEAST);
    private static final Map<String, Operator> ADDITIVE_OPERATORS =
            Map.of("+", Operator.ADD, "-", Operator.SUBTRACT);
    private static final Map<String, Operator> MULTIPLICATIVE_OPERATORS =
            Map.of("*", Operator.MULTIPLY, "/", Operator.DIVIDE, "%", Operator.MODULO);
    private static final Map<String, Operator> MACROS =
            Map.of(
                    "all",
                    Operator.ALL,
                    "exists",
                    Operator.EXISTS,
                    "exists_one",
                    Operator.ONE,
                    "filter",
                    Operator.FILTER,
                    "map",
                    Operator.TRANSFORM);

    /** Words that CEL reserves; they can't be used as names. */
    private static final List<String> RESERVED =
            List.of(
                    "as",
                    "break",
                    "const",
                    "continue",
                    "else",
                    "for",
                    "function",
                    "if",
                    "import",
                    "let",
                    "loop",
                    "package",
                    "namespace",
                    "return",
                    "var",
                    "void",
                    "while");

    private final List<Lexer.Token> tokens;
    private int position;
    private int depth;

    private Parser(List<Lexer.Token> tokens) {
        this.tokens = tokens;
    }

    /**
     * @throws SyntaxException at the first place that violates the grammar or a limit of this class
     */
    static AstNode parse(String text) {
        if (text.length() > MAX_LENGTH) {
            throw new SyntaxException(
                    MAX_LENGTH, text.length() + " characters, wanted: at most " + MAX_LENGTH);
        }
        Parser parser = new Parser(Lexer.tokens(text));
        AstNode node = parser.expression();
        if (parser.peek().kind() != Lexer.TokenKind.END) {
            throw parser.unexpected("an operator or the end");
        }
        return node;
    }

    private Lexer.Token peek() {
        return tokens.get(position);
    }

    private Lexer.Token advance() {
        return tokens.get(position++);
    }

    private boolean accept(String symbol) {
        if (peek().is(symbol)) {
            position++;
            return true;
        }
        return false;
    }

    private Lexer.Token expect(String symbol) {
        if (!peek().is(symbol)) {
            throw unexpected(symbol);
        }
        return advance();
    }

    private SyntaxException unexpected(String expected) {
        Lexer.Token found = peek();
        return new SyntaxException(found.from(), "found " + shown(found) + ", wanted: " + expected);
    }

    private static String shown(Lexer.Token token) {
        return token.kind() == Lexer.TokenKind.STRING ? "a string" : Lexer.shortened(token.text());
    }

    private int end() {
        return tokens.get(position - 1).to();
    }

    private AstNode node(Operator op, int from, List<AstNode> children) {
        AstNode node = new AstNode(op, from, end(), children);
        if (node.depth > MAX_TREE_DEPTH) {
            throw new SyntaxException(from, "more than " + MAX_TREE_DEPTH + " nested operations");
        }
        return node;
    }

    private AstNode expression() {
        if (++depth > MAX_NESTING) {
            throw new SyntaxException(peek().from(), "nested deeper than " + MAX_NESTING);
        }
        int from = peek().from();
        AstNode node = disjunction();
        if (accept("?")) {
            AstNode then = disjunction();
            expect(":");
            node = node(Operator.IF, from, List.of(node, then, expression()));
        }
        depth--;
        return node;
    }

    /** Parses a chain of || into one node, so that a long chain does not make the tree deep. */
    private AstNode disjunction() {
        int from = peek().from();
        AstNode first = conjunction();
        if (!peek().is("||")) {
            return first;
        }
        List<AstNode> all = new ArrayList<>(List.of(first));
        while (accept("||")) {
            all.add(conjunction());
        }
        return node(Operator.OR, from, all);
    }

    private AstNode conjunction() {
        int from = peek().from();
        AstNode first = relation();
        if (!peek().is("&&")) {
            return first;
        }
        List<AstNode> all = new ArrayList<>(List.of(first));
        while (accept("&&")) {
            all.add(relation());
        }
        return node(Operator.AND, from, all);
    }

    private AstNode relation() {
        int from = peek().from();
        AstNode node = sum();
        while (true) {
            boolean in = peek().kind() == Lexer.TokenKind.NAME && peek().text().equals("in");
            Operator op =
                    in
                            ? Operator.IN
                            : peek().kind() == Lexer.TokenKind.SYMBOL
                                    ? RELATIONAL_OPERATORS.get(peek().text())
                                    : null;
            if (op == null) {
                return node;
            }
            advance();
            node = node(op, from, List.of(node, sum()));
        }
    }

    private AstNode sum() {
        int from = peek().from();
        AstNode node = product();
        while (peek().kind() == Lexer.TokenKind.SYMBOL
                && ADDITIVE_OPERATORS.containsKey(peek().text())) {
            Operator op = ADDITIVE_OPERATORS.get(advance().text());
            node = node(op, from, List.of(node, product()));
        }
        return node;
    }

    private AstNode product() {
        int from = peek().from();
        AstNode node = unary();
        while (peek().kind() == Lexer.TokenKind.SYMBOL
                && MULTIPLICATIVE_OPERATORS.containsKey(peek().text())) {
            Operator op = MULTIPLICATIVE_OPERATORS.get(advance().text());
            node = node(op, from, List.of(node, unary()));
        }
        return node;
    }

    private AstNode unary() {
        int from = peek().from();
        String symbol = peek().is("!") ? "!" : peek().is("-") ? "-" : null;
        if (symbol == null) {
            return member();
        }
        int count = 0;
        while (accept(symbol)) {
            count++;
        }
        if (symbol.equals("-") && peek().kind() == Lexer.TokenKind.INT) {
            // The minus is read as part of the number, since the smallest int has no positive
            // counterpart.
            Lexer.Token number = advance();
            long value = (Long) number.value();
            AstNode literal =
                    AstNode.literal(
                            number.from() - 1,
                            number.to(),
                            value == Long.MIN_VALUE ? value : -value);
            return repeatUnary(
                    Operator.NEGATE, from, count - 1, members(number.from() - 1, literal));
        }
        return repeatUnary(
                symbol.equals("!") ? Operator.NOT : Operator.NEGATE, from, count, member());
    }

    private AstNode repeatUnary(Operator op, int from, int count, AstNode node) {
        for (int i = 0; i < count; i++) {
            node = node(op, from, List.of(node));
        }
        return node;
    }

    private AstNode member() {
        int from = peek().from();
        return members(from, primary());
    }

    private AstNode members(int from, AstNode node) {
        while (true) {
            if (accept(".")) {
                Lexer.Token name = name("the name of a field or a function");
                node =
                        accept("(")
                                ? call(from, name, node)
                                : node(Operator.FIELD, name.from(), List.of(node))
                                        .withName(name.text());
            } else if (accept("[")) {
                AstNode index = expression();
                expect("]");
                node = node(Operator.INDEX, from, List.of(node, index));
            } else {
                return node;
            }
        }
    }

    private Lexer.Token name(String expected) {
        if (peek().kind() != Lexer.TokenKind.NAME) {
            throw unexpected(expected);
        }
        return advance();
    }

    /** Parses a call after its opening parenthesis; the receiver is null if there is none. */
    private AstNode call(int from, Lexer.Token name, AstNode receiver) {
        Operator macro = receiver == null ? null : MACROS.get(name.text());
        if (macro != null) {
            Lexer.Token variable = name("a variable's name");
            expect(",");
            AstNode body = expression();
            expect(")");
            return node(macro, name.from(), List.of(receiver, body)).withName(variable.text());
        }
        List<AstNode> arguments = new ArrayList<>();
        if (receiver != null) {
            arguments.add(receiver);
        }
        if (!accept(")")) {
            do {
                arguments.add(expression());
                if (arguments.size() > MAX_ARGUMENTS) {
                    throw new SyntaxException(
                            name.from(), "more than " + MAX_ARGUMENTS + " arguments");
                }
            } while (accept(","));
            expect(")");
        }
        boolean has = receiver == null && name.text().equals("has") && arguments.size() == 1;
        boolean orValue =
                receiver != null && name.text().equals("orValue") && arguments.size() == 2;
        AstNode call =
                node(
                        has ? Operator.HAS : orValue ? Operator.OR_VALUE : Operator.CALL,
                        name.from(),
                        arguments);
        // The dot distinguishes functions that are called on a receiver from those that are not.
        return call.withName(receiver != null ? "." + name.text() : name.text());
    }

    private AstNode primary() {
        Lexer.Token token = advance();
        switch (token.kind()) {
            case INT:
                if ((Long) token.value() == Long.MIN_VALUE) {
                    throw new SyntaxException(token.from(), "not an int: " + token.text());
                }
                return AstNode.literal(token.from(), token.to(), token.value());
            case DOUBLE:
            case STRING:
                return AstNode.literal(token.from(), token.to(), token.value());
            case NAME:
                return identifier(token);
            default:
        }
        if (token.is("(")) {
            AstNode node = expression();
            expect(")");
            return node;
        }
        if (token.is("[")) {
            return node(Operator.LIST, token.from(), elements("]", false));
        }
        if (token.is("{")) {
            return node(Operator.MAP, token.from(), elements("}", true));
        }
        position--;
        throw unexpected("a value");
    }

    private AstNode identifier(Lexer.Token token) {
        switch (token.text()) {
            case "true":
            case "false":
                return AstNode.literal(token.from(), token.to(), token.text().equals("true"));
            case "null":
                throw new SyntaxException(
                        token.from(),
                        "there is no null; has(...) tests whether there is a value,"
                                + " and orValue(...) gives a default");
            case "in":
                position--;
                throw unexpected("a value");
            default:
        }
        if (RESERVED.contains(token.text())) {
            throw new SyntaxException(token.from(), token.text() + " is a reserved word");
        }
        return accept("(")
                ? call(token.from(), token, null)
                : node(Operator.NAME, token.from(), List.of()).withName(token.text());
    }

    private List<AstNode> elements(String closing, boolean pairs) {
        List<AstNode> elements = new ArrayList<>();
        while (!accept(closing)) {
            elements.add(expression());
            if (pairs) {
                expect(":");
                elements.add(expression());
            }
            if (elements.size() > (pairs ? 2 : 1) * MAX_ELEMENTS) {
                throw new SyntaxException(peek().from(), "more than " + MAX_ELEMENTS + " elements");
            }
            // A trailing comma is allowed, as in CEL.
            if (!accept(",") && !peek().is(closing)) {
                throw unexpected(", or " + closing);
            }
        }
        return elements;
    }
}
