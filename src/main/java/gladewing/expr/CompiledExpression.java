package gladewing.expr;

/**
 * The compiled form of expressions: one closure for each AST node, with an interface for each
 * result type so that numbers are not boxed. "No value" is reported as {@link #NONE} by a bool, by
 * {@link Frame#hasNoValue} for an int, double or duration, and as null by all other types.
 */
public final class CompiledExpression {
    public static final int FALSE = 0;
    public static final int TRUE = 1;

    /** "No value" of a bool. */
    public static final int NONE = 2;

    private CompiledExpression() {}

    /** Code of a bool: the result is {@link #TRUE}, {@link #FALSE} or {@link #NONE}. */
    public interface BoolCode {
        int evaluate(Frame frame);
    }

    /** Code of an int, or of a duration in microseconds. */
    public interface IntCode {
        long evaluate(Frame frame);
    }

    /** Code of a double. */
    interface DoubleCode {
        double evaluate(Frame frame);
    }

    /** Code of a value of any other type; null is "no value". */
    interface ObjectCode {
        Object evaluate(Frame frame);
    }

    /**
     * The state of one evaluation: the request, the variables of macros and the "no value" flag of
     * numbers. It is reused from one evaluation to the next, by a single thread.
     */
    public static final class Frame {
        RecordView request;
        boolean noValue;
        final long[] longs;
        final Object[] objects;

        public Frame(int slots) {
            longs = new long[slots];
            objects = new Object[slots];
        }

        /** Prepares the next evaluation; null releases the record of the last one. */
        public Frame reset(RecordView record) {
            request = record;
            noValue = false;
            return this;
        }

        public RecordView request() {
            return request;
        }

        /** Whether the last evaluation, of an int, double or duration, had no value. */
        public boolean hasNoValue() {
            return noValue;
        }

        long setNoValue() {
            noValue = true;
            return 0;
        }

        /** Returns the "no value" flag and clears it. */
        boolean takeNoValue() {
            boolean hadNoValue = noValue;
            noValue = false;
            return hadNoValue;
        }
    }
}
