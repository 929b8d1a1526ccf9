package gladewing.versions;

import java.util.List;
import java.util.Set;

/**
 * The conditions that the router must meet at the moment when a version is activated.
 *
 * @param routedShards shards named by the routes of the version that take effect, as opposed to
 *     routes that only observe; each must be held by a listed data node that is not draining
 * @param minNodes the least number of listed data nodes that are not draining
 * @param closedProducts indexes of the products that the version closes; none may have open
 *     multigets
 * @param maxSessions the most long-lived sessions that the version allows; negative if it does not
 *     limit them
 */
public record Preconditions(
        Set<Integer> routedShards, int minNodes, List<Integer> closedProducts, int maxSessions) {
    public static final Preconditions NONE = new Preconditions(Set.of(), 0, List.of(), -1);
}
