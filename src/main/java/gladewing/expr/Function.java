package gladewing.expr;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The built-in functions, one constant for each overload. A name that begins with a dot is called
 * on a receiver, which is the first parameter.
 */
enum Function {
    SIZE_OF_TEXT(".size", Type.INT, Type.STRING),
    SIZE_OF_LIST(".size", Type.INT, Type.EMPTY_LIST),
    SIZE_OF_MAP(".size", Type.INT, Type.MAP),
    STARTS_WITH(".startsWith", Type.BOOL, Type.STRING, Type.STRING),
    ENDS_WITH(".endsWith", Type.BOOL, Type.STRING, Type.STRING),
    CONTAINS(".contains", Type.BOOL, Type.STRING, Type.STRING),
    MATCHES(".matches", Type.BOOL, Type.STRING, Type.STRING),
    LOWER_ASCII(".lowerAscii", Type.STRING, Type.STRING),
    MILLISECONDS(".getMilliseconds", Type.INT, Type.DURATION),
    HASH("hash", Type.INT),
    DURATION("duration", Type.DURATION, Type.STRING),
    INT_OF_DOUBLE("int", Type.INT, Type.DOUBLE),
    INT_OF_TEXT("int", Type.INT, Type.STRING),
    DOUBLE_OF_INT("double", Type.DOUBLE, Type.INT),
    DOUBLE_OF_TEXT("double", Type.DOUBLE, Type.STRING),
    TEXT_OF_BOOL("string", Type.STRING, Type.BOOL),
    TEXT_OF_INT("string", Type.STRING, Type.INT),
    TEXT_OF_DOUBLE("string", Type.STRING, Type.DOUBLE),
    TEXT_OF_DURATION("string", Type.STRING, Type.DURATION);

    /** More characters than the text of any number, bool or duration has. */
    static final long MAX_NUMBER_LENGTH = 32;

    final String name;
    final Type result;
    private final List<Type> parameters;

    Function(String name, Type result, Type... parameters) {
        this.name = name;
        this.result = result;
        this.parameters = List.of(parameters);
    }

    static Set<String> names() {
        Set<String> names = new TreeSet<>();
        for (Function f : values()) {
            names.add(f.name);
        }
        return names;
    }

    static List<Function> overloads(String name) {
        // As in CEL, both size(x) and x.size() are allowed.
        String searched = name.equals("size") ? ".size" : name;
        List<Function> all = new ArrayList<>();
        for (Function f : values()) {
            if (f.name.equals(searched)) {
                all.add(f);
            }
        }
        return all;
    }

    /** Whether this overload accepts arguments of these types; see {@link Type#common}. */
    boolean accepts(List<AstNode> arguments) {
        if (this == HASH) {
            return !arguments.isEmpty()
                    && arguments.stream().allMatch(a -> a.type.isScalar() || a.type.isWrong());
        }
        boolean matches = arguments.size() == parameters.size();
        for (int i = 0; matches && i < parameters.size(); i++) {
            matches =
                    Type.common(parameters.get(i), arguments.get(i).type) != null
                            || this == SIZE_OF_LIST && arguments.get(i).type.is(TypeKind.LIST);
        }
        return matches;
    }

    String parameterText() {
        return this == HASH
                ? "(bool, int, double, string or duration, ...)"
                : parameters
                        .toString()
                        .replace('[', '(')
                        .replace(']', ')')
                        .replace("list()", "list");
    }

    /** The steps of a call whose first two arguments have the sizes a and b. */
    long steps(AstNode call, long a, long b) {
        return switch (this) {
            case SIZE_OF_TEXT -> CostModel.add(1, a / 8);
            case STARTS_WITH, ENDS_WITH -> CostModel.add(1, Math.min(a, b) / 16);
            case CONTAINS -> CostModel.add(2, CostModel.add(a / 4, CostModel.multiply(a, b) / 16));
            case MATCHES ->
                    CostModel.add(
                            16,
                            CostModel.multiply(CostModel.add(a, 2), call.pattern.programSize()));
            case LOWER_ASCII -> CostModel.add(2, a / 2);
            case INT_OF_TEXT, DOUBLE_OF_TEXT -> 4 + MAX_NUMBER_LENGTH;
            case TEXT_OF_INT, TEXT_OF_BOOL, TEXT_OF_DURATION -> 8;
            case TEXT_OF_DOUBLE -> MAX_NUMBER_LENGTH;
            default -> 2;
        };
    }

    /** The size bound of a call's result. */
    SizeBound bound(AstNode call) {
        return switch (this) {
            case LOWER_ASCII -> call.child(0).bound;
            case TEXT_OF_BOOL, TEXT_OF_INT, TEXT_OF_DOUBLE, TEXT_OF_DURATION ->
                    SizeBound.ofText(MAX_NUMBER_LENGTH);
            default -> SizeBound.SCALAR;
        };
    }
}
