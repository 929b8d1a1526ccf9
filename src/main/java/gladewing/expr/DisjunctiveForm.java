package gladewing.expr;

import java.util.ArrayList;
import java.util.List;

/**
 * Converts a condition to disjunctive form: a list of alternatives, each a list of conjuncts that
 * all have to hold.
 */
final class DisjunctiveForm {
    private DisjunctiveForm() {}

    /**
     * The alternatives of a condition; if there would be more than the maximum, the whole condition
     * as a single conjunct.
     */
    static List<List<Conjunct>> alternatives(AstNode node, int maxAlternatives) {
        List<List<Conjunct>> alternatives = expand(node, maxAlternatives);
        return alternatives != null ? alternatives : List.of(List.of(otherConjunct(node)));
    }

    /** Returns null if there are more alternatives than the maximum. */
    private static List<List<Conjunct>> expand(AstNode node, int maxAlternatives) {
        if (node.op == Operator.CONDITION) {
            return expand(node.condition.root, maxAlternatives);
        }
        if (node.op == Operator.OR) {
            List<List<Conjunct>> all = new ArrayList<>();
            for (AstNode child : node.children) {
                List<List<Conjunct>> more = expand(child, maxAlternatives);
                if (more == null || all.size() + more.size() > maxAlternatives) {
                    return null;
                }
                all.addAll(more);
            }
            return all;
        }
        if (node.op != Operator.AND) {
            return List.of(
                    node.isLiteral() && Boolean.TRUE.equals(node.value)
                            ? List.of()
                            : List.of(conjunct(node)));
        }
        List<List<Conjunct>> all = List.of(List.of());
        for (AstNode child : node.children) {
            List<List<Conjunct>> more = expand(child, maxAlternatives);
            if (more == null || all.size() * more.size() > maxAlternatives) {
                return null;
            }
            List<List<Conjunct>> both = new ArrayList<>();
            for (List<Conjunct> a : all) {
                for (List<Conjunct> b : more) {
                    List<Conjunct> joined = new ArrayList<>(a);
                    joined.addAll(b);
                    both.add(joined);
                }
            }
            all = both;
        }
        return all;
    }

    private static Conjunct conjunct(AstNode node) {
        if (node.op == Operator.EQUAL) {
            for (int i = 0; i < 2; i++) {
                Conjunct.Subject subject = subject(node.child(i));
                if (subject != null && node.child(1 - i).value instanceof String text) {
                    return new Conjunct(
                            Conjunct.Form.EQUAL, subject, List.of(text), canonicalText(node));
                }
            }
        }
        if (node.op == Operator.IN
                && node.child(1).isLiteral()
                && node.child(1).value instanceof List<?> list) {
            Conjunct.Subject subject = subject(node.child(0));
            if (subject != null && !list.isEmpty()) {
                return new Conjunct(
                        Conjunct.Form.EQUAL,
                        subject,
                        list.stream().map(v -> (String) v).distinct().toList(),
                        canonicalText(node));
            }
        }
        if (node.function == Function.STARTS_WITH && node.child(1).value instanceof String text) {
            Conjunct.Subject subject = subject(node.child(0));
            if (subject != null) {
                return new Conjunct(
                        Conjunct.Form.PREFIX, subject, List.of(text), canonicalText(node));
            }
        }
        return otherConjunct(node);
    }

    private static Conjunct otherConjunct(AstNode node) {
        return new Conjunct(Conjunct.Form.OTHER, null, List.of(), canonicalText(node));
    }

    private static Conjunct.Subject subject(AstNode node) {
        if (!node.type.is(TypeKind.STRING)) {
            return null;
        }
        if (node.op == Operator.FIELD && node.child(0).op == Operator.REQUEST) {
            return new Conjunct.Subject(node.field, null);
        }
        boolean isMapEntry =
                node.op == Operator.INDEX
                        && node.child(0).op == Operator.FIELD
                        && node.child(0).type.is(TypeKind.MAP)
                        && node.child(0).child(0).op == Operator.REQUEST
                        && node.child(1).value instanceof String;
        return isMapEntry
                ? new Conjunct.Subject(node.child(0).field, (String) node.child(1).value)
                : null;
    }

    /** Equal for two nodes only if they have the same meaning; variables appear by their slot. */
    private static String canonicalText(AstNode node) {
        StringBuilder output = new StringBuilder();
        write(node, output);
        return output.toString();
    }

    private static void write(AstNode node, StringBuilder output) {
        switch (node.op) {
            case LITERAL -> writeConstant(node.value, output);
            case REQUEST -> output.append("request");
            case VARIABLE -> output.append('$').append(node.slot);
            case CONDITION -> output.append('#').append(node.condition.name);
            default -> {
                output.append(
                                node.op == Operator.CALL
                                        ? node.function.name()
                                        : node.op == Operator.FIELD
                                                ? "." + node.field.name()
                                                : node.op.sign)
                        .append('(');
                for (AstNode child : node.children) {
                    write(child, output);
                    output.append(',');
                }
                output.append(')');
            }
        }
    }

    /** Writes lengths before strings and lists, so that different constants never look the same. */
    private static void writeConstant(Object value, StringBuilder output) {
        if (value instanceof List<?> list) {
            output.append('[').append(list.size()).append(':');
            list.forEach(element -> writeConstant(element, output));
            output.append(']');
        } else if (value instanceof String text) {
            output.append('\'').append(text.length()).append(':').append(text);
        } else {
            output.append(value.getClass().getSimpleName())
                    .append(':')
                    .append(
                            value instanceof StringMap
                                    ? Integer.toString(System.identityHashCode(value))
                                    : value.toString())
                    .append(';');
        }
    }
}
