package gladewing.control;

import gladewing.config.Endpoint;
import gladewing.json.InvalidInputException;
import gladewing.settings.IniFile;
import gladewing.settings.NearestName;
import gladewing.settings.Section;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The text of kind `settings`: those of the router's own settings that may change while it runs.
 *
 * @param discoveryAddress null for the address in the configuration file
 * @param closedProducts indices of the products for which new multigets are refused
 * @param minimumNodes how many data nodes must be listed before the version may come into force
 */
public record RouterSettings(
        InetSocketAddress discoveryAddress, List<Integer> closedProducts, int minimumNodes) {
    public static final RouterSettings NONE = new RouterSettings(null, List.of(), 0);
    private static final int MAX_NODES = 1 << 20;

    /** Faults are recorded in the file; the result is of use only if it has none. */
    static RouterSettings read(IniFile file, List<String> products) {
        for (Section section : file.sections()) {
            if (!List.of("discovery", "products", "needs").contains(section.name)) {
                section.fault("", "no such section, wanted: [discovery], [products] or [needs]");
            }
        }
        Section discovery = file.section("discovery");
        discovery.only("address");
        InetSocketAddress address = null;
        try {
            address = discovery.has("address") ? Endpoint.read(discovery.text("address")) : null;
        } catch (InvalidInputException unusable) {
            discovery.fault("address", "'" + discovery.text("address") + "', wanted: ADDRESS:PORT");
        }
        Section needs = file.section("needs");
        needs.only("nodes");
        return new RouterSettings(
                address,
                closedProducts(file.section("products"), products),
                (int) needs.whole("nodes", 0, 0, MAX_NODES));
    }

    private static List<Integer> closedProducts(Section section, List<String> products) {
        section.only("closed");
        List<Integer> closed = new ArrayList<>();
        for (String name : section.text("closed", "").split(",")) {
            String product = name.strip();
            if (!product.isEmpty() && !products.contains(product)) {
                String suggestion = NearestName.of(product, products);
                section.fault(
                        "closed",
                        "there is no product "
                                + product
                                + (suggestion == null ? "" : ", did you mean " + suggestion + "?"));
            } else if (!product.isEmpty() && !closed.contains(products.indexOf(product))) {
                closed.add(products.indexOf(product));
            }
        }
        if (closed.size() == products.size()) {
            section.fault(
                    "closed", "it closes every product, wanted: at least one that stays open");
        }
        return List.copyOf(closed);
    }
}
