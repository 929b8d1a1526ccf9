package gladewing.config;

import gladewing.files.RepeatedFileCall;
import gladewing.json.Fields;
import gladewing.json.InvalidInputException;
import gladewing.json.Json;
import gladewing.router.Settings;
import gladewing.router.Span;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The configuration file of a router process, as JSON.
 *
 * @param name name of the router
 * @param listen address on which it accepts clients
 * @param discovery address of the discovery service
 * @param seed seed of the router's random numbers
 * @param sockets most sockets that the process may open
 * @param knownNodes node list that the router starts with, in the form of discovery; may be empty
 * @param settings what the router's decisions go by
 * @param products names of the products, in the order of the settings
 * @param tenants names of the tenants, in the order of the settings
 * @param shards number of shards
 * @param connections settings of the connections to data nodes
 * @param drainGrace time for which a draining data node keeps its sessions
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Fields knownNodes,
        Settings settings,
        List<String> products,
        List<String> tenants,
        int shards,
        Connections connections,
        Span drainGrace) {

    /**
     * Settings of the connections to data nodes.
     *
     * @param partsPerConnection most parts in flight on one connection
     * @param partsPerCall most parts in one call
     * @param connectTimeOut time limit for opening a connection, and for the answer to a probe
     * @param idle time after which a data node closes an unused connection
     * @param loadProbes whether probes ask data nodes for a load report
     */
    public record Connections(
            int partsPerConnection,
            int partsPerCall,
            Span connectTimeOut,
            Span idle,
            boolean loadProbes) {}

    /**
     * Reads the configuration file.
     *
     * @throws InvalidInputException if the file can't be read or a field of it is invalid
     */
    public static Config read(String path) {
        try {
            return read(Json.fields("config", readFile(Path.of(path))));
        } catch (IOException | InvalidPathException e) {
            throw new InvalidInputException("config " + path + " can't be read: " + e.getMessage());
        }
    }

    private static byte[] readFile(Path path) throws IOException {
        return RepeatedFileCall.run(() -> Files.readAllBytes(path));
    }

    /**
     * The top-level fields in which another configuration differs and which take effect only at a
     * start of the process; empty if there are none.
     */
    public List<String> changesNeedingRestart(Config other) {
        List<String> changes = new ArrayList<>();
        if (!listen.equals(other.listen)) {
            changes.add("listen");
        }
        if (sockets != other.sockets) {
            changes.add("limits");
        }
        if (!settings.equals(other.settings)
                || !products.equals(other.products)
                || !tenants.equals(other.tenants)
                || shards != other.shards
                || !connections.equals(other.connections)) {
            changes.add("settings");
        }
        return changes;
    }

    private static Config read(Fields config) {
        Fields settingsFields = config.object("settings");
        Fields permissions = settingsFields.object("Permissions");
        Fields shards = settingsFields.object("Specifics");
        Settings settings = SettingsReader.settings(settingsFields);
        for (Settings.Product product : settings.products()) {
            if (product.secondStep() > 0) {
                throw new InvalidInputException(
                        "config: the protocol on sockets has no second step");
            }
            if (product.effect() == Settings.Effect.TAGGED) {
                throw new InvalidInputException(
                        "config: the protocol on sockets does not say how a tag is passed on");
            }
        }
        Connections connections =
                new Connections(
                        (int) permissions.whole("MaxStreams"),
                        (int) shards.whole("PerCall", 1),
                        Span.ofMillis(permissions.number("ConnectTimeout")),
                        Span.ofMillis(permissions.number("ConnIdle")),
                        !settingsFields.object("Report").text("How").equals("none"));
        return new Config(
                config.text("name"),
                Endpoint.read(config.text("listen")),
                Endpoint.read(config.text("discovery")),
                seed(config.text("seed")),
                (int) config.object("limits").whole("sockets"),
                config.object("known"),
                settings,
                SettingsReader.names(settingsFields, "RequestClasses"),
                settingsFields.has("Tenants")
                        ? SettingsReader.names(settingsFields, "Tenants")
                        : List.of(),
                (int) shards.whole("Ranges"),
                connections,
                Span.ofMillis(settingsFields.object("Rules").number("DrainGrace", 2000)));
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("config: field seed is not a hexadecimal number");
        }
    }
}
