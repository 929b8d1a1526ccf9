package gladewing.sessionpolicy;

import gladewing.config.Config;
import gladewing.router.Settings;
import gladewing.settings.IniFile;
import gladewing.settings.Section;

/**
 * Settings of long-lived sessions. Times are in microseconds. The drain grace, initial capacity
 * share, warm-up span and number of routers are settings of the site; all others are in the section
 * [live] of a settings file.
 *
 * @param maxSessions limit of the sessions that are waiting or open
 * @param maxSessionsPerTenant limit of the sessions of one tenant
 * @param maxConnectionsPerNode limit of the upstream connections to one node
 * @param maxConnections limit of all upstream connections
 * @param handshakesPerSecond handshakes that a warm node accepts from all routers together
 * @param connectionWeight load that a connection adds to its node, in concurrent parts
 * @param maxBufferedBytes limit of the data that a session may buffer, counted in characters
 * @param maxTotalBufferedBytes limit of the data that all sessions may buffer, counted in
 *     characters
 * @param maxMessageBytes limit of the payload of a message
 * @param openTimeout time in which a session must be accepted and a handshake must end
 * @param maxParkedTime time that an open session may have a shard without a connection
 * @param maxReconnectDelay longest delay that is given to a client that is refused or closed
 * @param closeTimeout time limit of a close handshake
 * @param idleTimeout time without any input after which a connection is closed
 * @param maxOpenAttempts failures after which a session that is not open is refused
 * @param retriesPerSecond handshakes after a failure, of all sessions together
 * @param retryBackoff delay after the first failure; it doubles with each further one, up to ten
 *     times, and is varied randomly by half
 * @param drainGrace time from the start of a drain after which a node may stop
 * @param initialCapacityShare share of its capacity that a node has at its start
 * @param warmUpSpan time in which a node reaches its full capacity
 * @param routerCount number of routers that share the handshake rate of a node
 */
public record SessionSettings(
        int maxSessions,
        int maxSessionsPerTenant,
        int maxConnectionsPerNode,
        int maxConnections,
        double handshakesPerSecond,
        double connectionWeight,
        int maxBufferedBytes,
        int maxTotalBufferedBytes,
        int maxMessageBytes,
        long openTimeout,
        long maxParkedTime,
        long maxReconnectDelay,
        long closeTimeout,
        long idleTimeout,
        int maxOpenAttempts,
        double retriesPerSecond,
        long retryBackoff,
        long drainGrace,
        double initialCapacityShare,
        long warmUpSpan,
        int routerCount) {

    /** Name of the section in the settings file. */
    public static final String SECTION = "live";

    private static final long SECOND = 1_000_000;
    private static final int MAX_COUNT = 1 << 20;

    /** Settings that apply to the whole site. */
    public record SiteRules(
            long drainGrace, double initialCapacityShare, long warmUpSpan, int routerCount) {
        /** Reads the settings of the site from the configuration. */
        public static SiteRules of(Config config) {
            Settings.Rules rules = config.settings().rules();
            return new SiteRules(
                    config.drainGrace().micros(),
                    rules.initialCapacityShare(),
                    rules.warmUpSpan().micros(),
                    config.settings().routers());
        }
    }

    /**
     * Reads the section [live]. Faults are added to those of the file. Returns null if the section
     * is missing or switches sessions off.
     */
    public static SessionSettings read(IniFile file, SiteRules site) {
        Section section = file.section(SECTION);
        section.only(
                "on",
                "sessions",
                "sessions-per-tenant",
                "sessions-per-node",
                "legs",
                "handshakes",
                "weight",
                "held-bytes",
                "held-bytes-in-all",
                "longest-message",
                "opening",
                "parked",
                "returning",
                "closing",
                "silence",
                "attempts",
                "repeats",
                "back-off");
        boolean isOn = section.word("on", java.util.List.of("no", "yes")).equals("yes");
        int sessions = (int) section.whole("sessions", 5000, 1, MAX_COUNT);
        SessionSettings settings =
                new SessionSettings(
                        sessions,
                        (int) section.whole("sessions-per-tenant", sessions, 1, MAX_COUNT),
                        (int) section.whole("sessions-per-node", sessions, 1, MAX_COUNT),
                        (int) section.whole("legs", 2L * sessions, 1, MAX_COUNT),
                        section.number("handshakes", 50, 0.1, 100_000),
                        section.number("weight", 0.01, 0, 100),
                        (int) section.whole("held-bytes", 65_536, 1024, MAX_COUNT),
                        (int) section.whole("held-bytes-in-all", 8 << 20, 1024, 1 << 30),
                        (int) section.whole("longest-message", 16_384, 128, 65_536),
                        section.micros("opening", 3 * SECOND, 10_000, 60 * SECOND),
                        section.micros("parked", 10 * SECOND, 0, 3600 * SECOND),
                        section.micros("returning", 20 * SECOND, 0, 3600 * SECOND),
                        section.micros("closing", SECOND, 10_000, 60 * SECOND),
                        section.micros("silence", 30 * SECOND, 100_000, 3600 * SECOND),
                        (int) section.whole("attempts", 6, 1, 100),
                        section.number("repeats", 20, 0.1, 100_000),
                        section.micros("back-off", 200_000, 1000, 60 * SECOND),
                        site.drainGrace,
                        site.initialCapacityShare,
                        site.warmUpSpan,
                        site.routerCount);
        if (settings.maxSessions < settings.maxSessionsPerTenant
                || settings.maxSessions < settings.maxConnectionsPerNode) {
            section.fault(
                    "sessions",
                    settings.maxSessions
                            + ", wanted: no less than sessions-per-tenant and sessions-per-node");
        }
        if (settings.maxConnections < settings.maxSessions) {
            section.fault(
                    "legs",
                    settings.maxConnections
                            + ", wanted: no less than sessions, "
                            + settings.maxSessions);
        }
        if (settings.maxBufferedBytes < settings.maxMessageBytes) {
            section.fault(
                    "held-bytes",
                    settings.maxBufferedBytes
                            + ", wanted: no less than longest-message, "
                            + settings.maxMessageBytes);
        }
        return isOn ? settings : null;
    }

    /**
     * Returns the most file descriptors that sessions use: one for each client and one for each
     * upstream connection.
     */
    public int descriptors() {
        return maxSessions + maxConnections;
    }

    /**
     * Returns how long after the start of a drain data may be sent to the node. It is shorter than
     * the grace, as a close handshake takes time and an event loop pass may be late.
     */
    long sendGrace() {
        return drainGrace - Math.min(drainGrace / 4, 250_000);
    }
}
