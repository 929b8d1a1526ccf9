package gladewing.versions;

/**
 * How many multigets have ended so far, by outcome, and how many internal errors occurred.
 *
 * @param finished multigets that were answered
 * @param dismissed multigets that were dismissed
 * @param givenUp multigets that were given up
 * @param internalErrors errors of the program itself, which need not belong to a multiget
 */
public record OutcomeCounts(long finished, long dismissed, long givenUp, long internalErrors) {
    public static final OutcomeCounts NONE = new OutcomeCounts(0, 0, 0, 0);

    OutcomeCounts minus(OutcomeCounts earlier) {
        return new OutcomeCounts(
                finished - earlier.finished,
                dismissed - earlier.dismissed,
                givenUp - earlier.givenUp,
                internalErrors - earlier.internalErrors);
    }

    /** The number of multigets that ended, whatever their outcome. */
    long total() {
        return finished + dismissed + givenUp;
    }
}
