package gladewing.routes;

import gladewing.router.Settings;
import java.util.List;

/**
 * The site's configuration that a route table is validated against.
 *
 * @param products names of the products
 * @param productSettings settings of the products, in the same order
 * @param tenants names of the tenants
 * @param shards number of shards
 * @param routers number of routers
 */
public record RouteValidationContext(
        List<String> products,
        List<Settings.Product> productSettings,
        List<String> tenants,
        int shards,
        int routers) {}
