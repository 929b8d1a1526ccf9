package gladewing.expr;

import com.google.re2j.Pattern;
import java.util.List;

/** A node of the abstract syntax tree: built by the parser, annotated by the type checker. */
final class AstNode {
    Operator op;

    /** Offset in the text, in characters; diagnostics about the node point at it. */
    final int from;

    /** Offset of the first character after the node. */
    final int to;

    /** The name of a field, function, variable or condition. */
    String name;

    List<AstNode> children;

    /** The value of a literal: Boolean, Long, Double, String, Duration, List or StringMap. */
    Object value;

    Type type = Type.WRONG;

    /** The number of levels below the node, including those of named conditions. */
    int depth;

    Schema.Field field;
    Function function;
    Pattern pattern;

    /** The frame's slot that holds the variable's value while its macro runs. */
    int slot;

    NamedCondition condition;

    /** The most steps that one evaluation can take, of this node and all below it. */
    long cost;

    /** How large the value can get. */
    SizeBound bound = SizeBound.SCALAR;

    AstNode(Operator op, int from, int to, List<AstNode> children) {
        this.op = op;
        this.from = from;
        this.to = to;
        this.children = children;
        for (AstNode child : children) {
            depth = Math.max(depth, child.depth + 1);
        }
    }

    static AstNode literal(int from, int to, Object value) {
        AstNode node = new AstNode(Operator.LITERAL, from, to, List.of());
        node.value = value;
        return node;
    }

    AstNode withName(String newName) {
        name = newName;
        return this;
    }

    AstNode child(int index) {
        return children.get(index);
    }

    boolean isLiteral() {
        return op == Operator.LITERAL;
    }

    /** Replaces the node by a literal, for constant folding. */
    void replaceByLiteral(Object constant) {
        op = Operator.LITERAL;
        value = constant;
        children = List.of();
    }
}
