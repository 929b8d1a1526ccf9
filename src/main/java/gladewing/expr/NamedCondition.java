package gladewing.expr;

/**
 * A named condition of a file that other expressions may refer to; it is checked and compiled once,
 * however often it is used.
 */
public final class NamedCondition {
    final String name;
    final AstNode root;

    /** The first variable slot that expressions using this condition may take. */
    final int slotCount;

    /** The compiled condition; null until it is first needed. */
    CompiledExpression.BoolCode code;

    NamedCondition(String name, AstNode root, int slotCount) {
        this.name = name;
        this.root = root;
        this.slotCount = slotCount;
    }
}
