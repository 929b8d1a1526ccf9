package gladewing.nodes;

import java.net.InetSocketAddress;

/**
 * One run of a data node: its address and its start in Unix milliseconds, 0 if that was long ago. A
 * connection to an earlier incarnation finishes what is in flight on it, and gets nothing new.
 */
record NodeIncarnation(InetSocketAddress address, long startedAtMillis) {}
