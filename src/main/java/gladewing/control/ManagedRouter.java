package gladewing.control;

import gladewing.versions.OutcomeCounts;
import gladewing.versions.Preconditions;

/**
 * The running router as the control client sees it: versions are applied to it, and it reports what
 * decides whether they may start and whether they are good. All methods are called within a pass of
 * the loop.
 */
public interface ManagedRouter {
    /**
     * Puts a version in force in one step, between two multigets: those that are open continue with
     * the version with which they began.
     */
    void apply(CompiledVersion version);

    /** Counts since the program's start. */
    OutcomeCounts outcomeCounts();

    /**
     * Returns null if a version with these preconditions may start now, else the reason why not.
     */
    String unmetPrecondition(Preconditions preconditions);

    /** The last known list of data nodes, in discovery's format; null if none is known. */
    String lastKnownNodes();

    /** Increases with each change of that list. */
    long nodeListRevision();
}
