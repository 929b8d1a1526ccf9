package gladewing.settings;

import java.util.List;
import java.util.stream.Collectors;

/** A settings file is invalid. Reports every fault that was found; no setting of it is applied. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final transient List<Fault> faults;

    /** Creates an exception whose message has one line for each fault. */
    public InvalidSettingsException(List<Fault> faults) {
        super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** The faults, in the order in which they were found. */
    public List<Fault> faults() {
        return faults;
    }
}
