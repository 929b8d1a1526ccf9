package gladewing.control;

import gladewing.attempts.RetryPolicies;
import gladewing.routes.RouteTable;
import gladewing.sessionpolicy.SessionSettings;
import gladewing.versions.ConfigKind;
import gladewing.versions.Manifest;
import gladewing.versions.Preconditions;
import java.util.Map;
import java.util.TreeMap;

/**
 * A version whose texts have been checked and compiled, ready to be put in force.
 *
 * @param manifest null for the files that the router was started with
 * @param texts the texts of the kinds that the manifest states
 * @param routingTable null if the version has no routes
 * @param retryPolicies null if the version has no attempts rows
 * @param liveSettings null if the version has no settings of long-lived sessions, or they are off
 * @param preconditions the conditions under which the version may start
 */
public record CompiledVersion(
        Manifest manifest,
        Map<ConfigKind, String> texts,
        RouteTable routingTable,
        RetryPolicies retryPolicies,
        SessionSettings liveSettings,
        RouterSettings routerSettings,
        Preconditions preconditions) {

    /** Uses the signed digests, as hashing long texts again would block the loop. */
    Map<String, String> textsByDigest() {
        Map<String, String> byDigest = new TreeMap<>();
        texts.forEach((kind, text) -> byDigest.put(manifest.textDigest(kind), text));
        return byDigest;
    }
}
