package gladewing.expr;

/** A map from text to text. */
public interface Entries {
    /** Null where there is none. */
    String get(String key);

    int size();
}
