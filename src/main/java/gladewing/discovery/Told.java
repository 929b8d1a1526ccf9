package gladewing.discovery;

/** Where discovery's answers are told, within the pass of the loop that read them. */
public interface Told {
    void list(Listing listing);

    void failed();
}
