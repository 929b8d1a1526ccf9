package gladewing.expr;

/**
 * A record that expressions read by field number (see {@link Schema.Field}). It must not change
 * during an evaluation.
 */
public interface RecordView {
    /** Whether a field of type bool, int, double or duration has a value. */
    boolean has(int field);

    boolean getBool(int field);

    /** The value of an int, or of a duration in microseconds. */
    long getInt(int field);

    double getDouble(int field);

    /**
     * A String, a StringMap, or a List of Long, Double, Boolean, String or RecordView; null where
     * there is no value.
     */
    Object getObject(int field);
}
