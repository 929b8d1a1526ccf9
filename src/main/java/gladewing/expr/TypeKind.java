package gladewing.expr;

/**
 * The kinds of types. WRONG is the type of an expression whose fault has been reported; it fits
 * every type, so that no further fault is reported because of it.
 */
enum TypeKind {
    BOOL,
    INT,
    DOUBLE,
    STRING,
    DURATION,
    LIST,
    MAP,
    RECORD,
    WRONG
}
