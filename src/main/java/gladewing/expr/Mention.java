package gladewing.expr;

import java.util.ArrayList;
import java.util.List;

/** A constant that a field is compared with somewhere in an expression, in whichever branch. */
public record Mention(Object value, int at) {
    static List<Mention> of(Node root, Schema.Field field) {
        List<Mention> all = new ArrayList<>();
        find(root, field, all);
        return all;
    }

    private static void find(Node node, Schema.Field field, List<Mention> all) {
        if (node.op.comparison() || node.op == Op.IN) {
            for (int i = 0; i < 2; i++) {
                Node other = node.kid(1 - i);
                if (node.kid(i).op == Op.FIELD && node.kid(i).field == field && other.literal()) {
                    if (other.value instanceof List<?> list) {
                        list.forEach(value -> all.add(new Mention(value, other.from)));
                    } else {
                        all.add(new Mention(other.value, other.from));
                    }
                }
            }
        }
        // A named condition's own mentions are its own text's.
        node.kids.forEach(kid -> find(kid, field, all));
    }
}
