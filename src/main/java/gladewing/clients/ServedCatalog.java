package gladewing.clients;

import gladewing.router.Settings;
import java.util.List;

/**
 * What requests are validated against. The index of a name in its list stands for it everywhere
 * behind the request reader.
 *
 * @param products names of the products that are served
 * @param effects what running a part of each product twice does
 * @param tenants names of the tenants that are known
 * @param shardCount shards are numbered from 0 to one less than this
 */
public record ServedCatalog(
        List<String> products,
        List<Settings.Effect> effects,
        List<String> tenants,
        int shardCount) {
    /** Whether parts of a product may run again. */
    boolean isRepeatable(int product) {
        return effects.get(product) == Settings.Effect.REPEATABLE;
    }
}
