package gladewing.clients;

import java.util.List;

/** What a client's request is held against: the names of the products, and how many shards there are. */
public record Site(List<String> products, int shards) { }
