package gladewing.expr;

/**
 * An upper bound of a value's size: the characters of a string, the elements of a list or the
 * entries of a map, with the bound of each element (null where there are none). The type checker
 * derives cost bounds from it.
 */
public record SizeBound(long size, SizeBound element) {
    /** The bound of a value that has no elements, such as an int. */
    public static final SizeBound SCALAR = new SizeBound(1, null);

    public static SizeBound ofText(long characters) {
        return new SizeBound(characters, null);
    }

    public static SizeBound ofList(long elements, SizeBound element) {
        return new SizeBound(elements, element);
    }

    SizeBound elementBound() {
        return element == null ? SCALAR : element;
    }

    static SizeBound max(SizeBound a, SizeBound b) {
        if (a.element == null || b.element == null) {
            return new SizeBound(
                    Math.max(a.size, b.size), a.element == null ? b.element : a.element);
        }
        return new SizeBound(Math.max(a.size, b.size), max(a.element, b.element));
    }

    /** The bound of the concatenation of two strings or lists. */
    static SizeBound concatenated(SizeBound a, SizeBound b) {
        return new SizeBound(CostModel.add(a.size, b.size), max(a, b).element);
    }
}
