package gladewing.attempts;

import gladewing.router.Settings;
import gladewing.router.Span;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What an attempts file is validated against.
 *
 * @param products names of the products, in the order of their settings
 * @param settings rules and products of the site
 * @param connectTimeout longest time that connecting to a data node may take
 * @param productsByRoute by route name, the indexes of the products that its multigets may be
 *     served as; null if there is no route table
 */
public record AttemptsValidationContext(
        List<String> products,
        Settings settings,
        Span connectTimeout,
        Map<String, Set<Integer>> productsByRoute) {}
