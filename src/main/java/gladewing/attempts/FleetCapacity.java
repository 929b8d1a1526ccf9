package gladewing.attempts;

import gladewing.settings.IniFile;
import gladewing.settings.Section;

/**
 * The load and capacity of the fleet at full load, as configured by its operators.
 *
 * @param partsPerSecond first transmissions per second of all routers together
 * @param nodeCapacity parts per second that a warmed-up data node serves
 * @param shardSkew load of the busiest shards, as a multiple of an even share
 */
record FleetCapacity(double partsPerSecond, double nodeCapacity, double shardSkew) {
    static final String SECTION = "fleet";

    /** Reads the section; null if the file has none. */
    static FleetCapacity read(IniFile file) {
        Section section = file.section(SECTION);
        if (section.keys().isEmpty()) {
            return null;
        }
        section.only("parts", "capacity", "skew");
        for (String key : new String[] {"parts", "capacity"}) {
            if (!section.has(key)) {
                section.fault(
                        key,
                        "missing, wanted: "
                                + (key.equals("parts")
                                        ? "first transmissions a second at "
                                                + "full load, of all routers"
                                        : "parts a second that a warm data node serves"));
            }
        }
        return new FleetCapacity(
                section.number("parts", 1, 0.001, 1e7),
                section.number("capacity", 1, 0.001, 1e7),
                section.number("skew", 1, 1, 1000));
    }
}
