package gladewing.routes;

import gladewing.expr.Expression;
import gladewing.router.Settings;
import gladewing.settings.Section;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that no route weakens the guarantees of a product. A request for one product that is
 * served as another must keep the effect, shares and time limit of the requested product.
 */
final class ProductGuaranteeCheck {
    private final RouteValidationContext site;

    /** Without a site (null), nothing is checked. */
    ProductGuaranteeCheck(RouteValidationContext site) {
        this.site = site;
    }

    /**
     * Compares each product that the route may match with the product that it sets.
     *
     * @param product index of the product that the route sets, or -1 if it sets none
     */
    void check(Section section, Expression when, int product) {
        if (site == null) {
            return;
        }
        boolean matchesAny = false;
        for (int requested = 0; requested < site.products().size(); requested++) {
            if (!mayMatch(when, site.products().get(requested))) {
                continue;
            }
            matchesAny = true;
            if (product >= 0 && product != requested) {
                checkNotWeaker(section, requested, product);
            }
        }
        if (!matchesAny) {
            section.fault(
                    "when", "it is true for no product of the site, so the route can never match");
        }
    }

    /** False only if the condition can't be true for any request for the product. */
    static boolean mayMatch(Expression when, String product) {
        Map<String, Object> knownFields = new HashMap<>();
        knownFields.put("product", product);
        // The HTTP server accepts no other method for multigets.
        knownFields.put("method", "POST");
        return when.canBeTrue(knownFields);
    }

    private void checkNotWeaker(Section section, int requested, int served) {
        Settings.Product from = site.productSettings().get(requested);
        Settings.Product to = site.productSettings().get(served);
        String reason = null;
        if (to.effect().compareTo(from.effect()) < 0) {
            reason =
                    "its effect, "
                            + word(to.effect())
                            + ", is weaker than "
                            + word(from.effect())
                            + " (rule 2)";
        } else if (to.effect() == Settings.Effect.TAGGED
                && from.effect() == Settings.Effect.TAGGED
                && to.dedupWindow().longerThan(from.dedupWindow())) {
            reason =
                    "its repeat window, "
                            + to.dedupWindow().millis()
                            + " ms, is longer than "
                            + from.dedupWindow().millis()
                            + " ms (rule 2)";
        } else if (to.leastShare() < from.leastShare()) {
            reason =
                    "its least share, "
                            + to.leastShare()
                            + ", is below "
                            + from.leastShare()
                            + " (rule 5)";
        } else if (to.wholeShare() < from.wholeShare()) {
            reason =
                    "its whole share, "
                            + to.wholeShare()
                            + ", is below "
                            + from.wholeShare()
                            + " (rule 5)";
        } else if (to.timeLimit().longerThan(from.timeLimit())) {
            reason =
                    "its time limit, "
                            + to.timeLimit().millis()
                            + " ms, is longer than "
                            + from.timeLimit().millis()
                            + " ms (rule 1)";
        }
        if (reason != null) {
            section.fault(
                    "product",
                    "a multiget of "
                            + site.products().get(requested)
                            + " can't be served as "
                            + site.products().get(served)
                            + ": "
                            + reason
                            + "; if the route is not meant for that product, exclude it in the"
                            + " condition");
        }
    }

    private static String word(Settings.Effect effect) {
        return switch (effect) {
            case REPEATABLE -> "repeatable";
            case TAGGED -> "tagged";
            case ONCE_ONLY -> "once-only";
        };
    }
}
