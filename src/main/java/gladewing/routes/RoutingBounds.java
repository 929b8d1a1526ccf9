package gladewing.routes;

import gladewing.settings.Section;

/**
 * Largest sizes of the values in a request, from which the cost of expressions is computed, and the
 * most steps that routing a request may take. A larger value is no value to an expression. The
 * default sizes are the limits of the HTTP server: 8 KiB for the head and 64 KiB for the body of a
 * request.
 *
 * @param maxTextLength longest text, in characters
 * @param maxHeaders most headers
 * @param maxParts most parts
 * @param maxRouteSteps most steps of one expression
 * @param maxTableSteps most steps of the whole table
 */
public record RoutingBounds(
        long maxTextLength,
        long maxHeaders,
        long maxParts,
        long maxRouteSteps,
        long maxTableSteps) {
    static final long LONGEST_PART_KEY = 64;
    private static final long MAX_HEAD_BYTES = 8 * 1024;

    /** The shortest header has three characters and a line end of two. */
    private static final long MAX_HEADERS = MAX_HEAD_BYTES / 5;

    private static final long MAX_PARTS = 64 * 1024 / 23;
    private static final long MAX_STEPS = 100_000_000;

    static RoutingBounds read(Section section) {
        section.only("text", "headers", "parts", "route-steps", "table-steps");
        return new RoutingBounds(
                section.whole("text", MAX_HEAD_BYTES, 16, MAX_HEAD_BYTES),
                section.whole("headers", 100, 1, MAX_HEADERS),
                section.whole("parts", MAX_PARTS, 1, MAX_PARTS),
                section.whole("route-steps", 100_000, 1, MAX_STEPS),
                section.whole("table-steps", 250_000, 1, MAX_STEPS));
    }

    /** Limits the parts to the shards of the site, since a multiget names no shard twice. */
    RoutingBounds limitedTo(RouteValidationContext site) {
        return site == null
                ? this
                : new RoutingBounds(
                        maxTextLength,
                        maxHeaders,
                        Math.min(maxParts, site.shards()),
                        maxRouteSteps,
                        maxTableSteps);
    }
}
