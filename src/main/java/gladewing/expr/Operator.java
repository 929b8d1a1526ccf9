package gladewing.expr;

/** The operation of an AST node, with the sign or description that messages show. */
enum Operator {
    LITERAL("a constant"),
    NAME("a name"),
    REQUEST("request"),
    VARIABLE("a variable"),
    CONDITION("a condition"),
    FIELD("."),
    INDEX("[]"),
    CALL("a call"),
    LIST("a list"),
    MAP("a map"),
    HAS("has"),
    OR_VALUE("orValue"),
    NOT("!"),
    NEGATE("-"),
    ADD("+"),
    SUBTRACT("-"),
    MULTIPLY("*"),
    DIVIDE("/"),
    MODULO("%"),
    EQUAL("=="),
    UNEQUAL("!="),
    LESS("<"),
    AT_MOST("<="),
    MORE(">"),
    AT_LEAST(">="),
    IN("in"),
    AND("&&"),
    OR("||"),
    IF("?:"),
    ALL("all"),
    EXISTS("exists"),
    ONE("exists_one"),
    FILTER("filter"),
    TRANSFORM("map");

    final String sign;

    Operator(String sign) {
        this.sign = sign;
    }

    boolean isMacro() {
        return compareTo(ALL) >= 0;
    }

    boolean isComparison() {
        return compareTo(EQUAL) >= 0 && compareTo(AT_LEAST) <= 0;
    }

    boolean isArithmetic() {
        return compareTo(ADD) >= 0 && compareTo(MODULO) <= 0;
    }
}
