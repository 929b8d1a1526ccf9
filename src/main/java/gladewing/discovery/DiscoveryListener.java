package gladewing.discovery;

/** Is notified of discovery's answers, within the pass of the loop that read them. */
public interface DiscoveryListener {
    /** A list of data nodes, or changes to it, has arrived. */
    void nodeListUpdated(NodeListUpdate update);

    /** A request to discovery has failed; it is made again soon. */
    void discoveryFailed();
}
