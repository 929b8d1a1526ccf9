package gladewing.clients;

import gladewing.router.Pattern;

/** Which row says how the parts of a multiget are sent again. */
public interface PatternRows {
    /** The product is the one that it is served as; the route is null where none took it. */
    Pattern of(int product, String route);
}
