package gladewing.expr;

import java.util.ArrayList;
import java.util.List;

/**
 * A constant that a field is compared with anywhere in an expression, and the constant's offset in
 * the text, in characters.
 */
public record ComparedConstant(Object value, int offset) {
    static List<ComparedConstant> findAll(AstNode root, Schema.Field field) {
        List<ComparedConstant> all = new ArrayList<>();
        find(root, field, all);
        return all;
    }

    private static void find(AstNode node, Schema.Field field, List<ComparedConstant> all) {
        if (node.op.isComparison() || node.op == Operator.IN) {
            for (int i = 0; i < 2; i++) {
                AstNode other = node.child(1 - i);
                if (node.child(i).op == Operator.FIELD
                        && node.child(i).field == field
                        && other.isLiteral()) {
                    if (other.value instanceof List<?> list) {
                        list.forEach(value -> all.add(new ComparedConstant(value, other.from)));
                    } else {
                        all.add(new ComparedConstant(other.value, other.from));
                    }
                }
            }
        }
        // Named conditions are not followed: their comparisons are reported with their own text.
        node.children.forEach(child -> find(child, field, all));
    }
}
