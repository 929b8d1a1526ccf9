package gladewing.lifecycle;

/**
 * Decides what an answer with a list, or with its changes, does to the list in use. Several calls
 * may wait at once, so an answer may be older than the list, or a change of an earlier one.
 */
public final class ListRevision {
    /** The revision of a call that asks for the whole list. */
    public static final long NONE = -1;

    /** What becomes of an answer. */
    public enum Use {
        /** It is applied to the list in use, or replaces it. */
        APPLY,
        /** It tells nothing that is not known. */
        IGNORE,
        /** It can't be applied to the list in use; the whole list must be asked for. */
        ASK_FOR_WHOLE_LIST
    }

    /**
     * What a call asked for.
     *
     * @param after the revision after which changes are asked for, or {@link #NONE}
     * @param answersUsed how many answers had been applied before the call
     */
    public record Question(long after, long answersUsed) {
        public boolean isForWholeList() {
            return after == NONE;
        }
    }

    /** All changes up to this revision are applied; {@link #NONE} if there is no list. */
    private long completeTo = NONE;

    /** The highest revision of which something is applied. */
    private long newest = NONE;

    private long answersUsed;

    /** What a call that is made now asks for. */
    public Question nextQuestion() {
        return new Question(completeTo, answersUsed);
    }

    /**
     * Judges an answer, and counts it as applied if it is to be.
     *
     * @param revision of the list that it leads to
     * @param isWhole whether it is a whole list rather than changes
     */
    public Use judge(Question question, long revision, boolean isWhole) {
        boolean knowsLastAnswer = question.answersUsed == answersUsed;
        if (!knowsLastAnswer && (revision < newest || revision <= completeTo)) {
            // Asked for before the list in use arrived, so it is no newer than that.
            return Use.IGNORE;
        }
        if (!isWhole && revision < newest) {
            // The service counts from a lower revision than before.
            completeTo = NONE;
            newest = NONE;
            return Use.ASK_FOR_WHOLE_LIST;
        }
        if (!isWhole && question.after > completeTo) {
            return Use.IGNORE;
        }
        answersUsed++;
        newest = revision;
        if (isWhole || question.after == completeTo) {
            completeTo = revision;
        }
        return Use.APPLY;
    }
}
