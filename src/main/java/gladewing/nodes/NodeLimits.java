package gladewing.nodes;

import gladewing.router.Span;

/** What the settings and the machine allow towards data nodes. */
public record NodeLimits(int partsPerConnection, int partsPerCall, Span connectTimeOut, Span idle,
        int connections, boolean withdrawals, boolean loadProbes) { }
