package gladewing.expr;

import java.util.Locale;

/**
 * The type of an expression. The element is that of a list (null for the empty list), the record is
 * the name of a record type.
 */
public record Type(TypeKind kind, Type element, String record) {
    public static final Type BOOL = new Type(TypeKind.BOOL, null, null);
    public static final Type INT = new Type(TypeKind.INT, null, null);
    public static final Type DOUBLE = new Type(TypeKind.DOUBLE, null, null);
    public static final Type STRING = new Type(TypeKind.STRING, null, null);
    public static final Type DURATION = new Type(TypeKind.DURATION, null, null);

    /** A map from string to string. */
    public static final Type MAP = new Type(TypeKind.MAP, null, null);

    static final Type WRONG = new Type(TypeKind.WRONG, null, null);
    static final Type EMPTY_LIST = new Type(TypeKind.LIST, null, null);

    public static Type list(Type element) {
        return new Type(TypeKind.LIST, element, null);
    }

    public static Type record(String name) {
        return new Type(TypeKind.RECORD, null, name);
    }

    boolean is(TypeKind expected) {
        return kind == expected;
    }

    boolean isWrong() {
        return kind == TypeKind.WRONG
                || kind == TypeKind.LIST && element != null && element.isWrong();
    }

    /** Whether values can be compared by &lt; and the like. */
    boolean isOrdered() {
        return kind == TypeKind.INT
                || kind == TypeKind.DOUBLE
                || kind == TypeKind.STRING
                || kind == TypeKind.DURATION;
    }

    /** Whether the type is neither a list, a map nor a record. */
    boolean isScalar() {
        return isOrdered() || kind == TypeKind.BOOL;
    }

    /**
     * The common type of both, or null if there is none. The empty list fits any list type, and
     * WRONG fits every type.
     */
    static Type common(Type a, Type b) {
        if (a.isWrong() || b.isWrong()) {
            return WRONG;
        }
        if (a.kind != b.kind) {
            return null;
        }
        if (a.kind == TypeKind.LIST) {
            if (a.element == null || b.element == null) {
                return a.element == null ? b : a;
            }
            Type element = common(a.element, b.element);
            return element == null ? null : list(element);
        }
        return a.equals(b) ? a : null;
    }

    @Override
    public String toString() {
        return switch (kind) {
            case LIST -> element == null ? "list()" : "list(" + element + ")";
            case MAP -> "map(string, string)";
            case RECORD -> record;
            default -> kind.name().toLowerCase(Locale.ROOT);
        };
    }
}
