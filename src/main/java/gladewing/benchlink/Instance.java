package gladewing.benchlink;

import com.fasterxml.jackson.core.JsonGenerator;
import gladewing.attempts.RetryPolicies;
import gladewing.config.SettingsReader;
import gladewing.decisions.NodeTable;
import gladewing.json.Fields;
import gladewing.router.Multiget;
import gladewing.router.NodeLoad;
import gladewing.router.Port;
import gladewing.router.QueryRouter;
import gladewing.router.Settings;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.router.TransmissionOutcome;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One query router that is run by the simulator. Translates the simulator's ids to the router's
 * indices in events, and back in the actions that it writes.
 */
final class Instance implements Port {
    /** The Scope of an ENDPOINTS event by which a request for the node list has failed. */
    static final int SCOPE_LIST_FAILED = 3;

    /** The Scope of an ENDPOINTS event that holds only the entries that have changed. */
    private static final int SCOPE_CHANGES = 0;

    /** The outcomes by the value of the field Code; 0 stands for no outcome. */
    private static final TransmissionOutcome[] OUTCOMES = {
        null,
        TransmissionOutcome.OK,
        TransmissionOutcome.ERROR,
        TransmissionOutcome.REJECTED,
        TransmissionOutcome.TIMED_OUT,
        TransmissionOutcome.NOT_CONNECTED,
        TransmissionOutcome.RESET,
        TransmissionOutcome.WITHDRAWN,
        TransmissionOutcome.NOT_SENT
    };

    /** The node states by the value of the field Mode. */
    private static final NodeTable.State[] STATES = {
        NodeTable.State.REMOVED, NodeTable.State.UP, NodeTable.State.DRAINING
    };

    /**
     * A multiget and its ids on the wire. It is kept until the multiget has ended and none of its
     * transmissions is in flight.
     */
    private static final class TrackedMultiget {
        /** The Tid of the multiget's own event. */
        final long id;

        /** The WholeNo, which the events of a multiget and of its parts have in common. */
        final long number;

        /** Index in {@link Instance#multigets}, which the router hands back. */
        final int ref;

        /** The Tids of the parts, in the order in which they were added. */
        final List<Long> partIds = new ArrayList<>();

        Multiget multiget;

        /** Transmissions of its parts that have not ended. */
        int inFlight;

        boolean hasEnded;

        TrackedMultiget(long id, long number, int ref) {
            this.id = id;
            this.number = number;
            this.ref = ref;
        }
    }

    /**
     * What a Tid stands for.
     *
     * @param part position of the part in its multiget, or {@link #WHOLE} for the multiget itself
     */
    private record RequestId(TrackedMultiget tracked, int part) {
        static final int WHOLE = -1;
    }

    private final String name;
    private final JsonGenerator json;
    private final int products;
    private final int tenants;
    private final int shards;
    private final int cells;
    private final QueryRouter router;

    /** Null if the router retries by its built-in rules. */
    private final RetryPolicies retryPolicies;

    private final Map<Long, RequestId> requestsById = new HashMap<>();
    private final Map<Long, TrackedMultiget> multigetsByNumber = new HashMap<>();
    private final List<TrackedMultiget> multigets = new ArrayList<>();
    private final NodeTable<Long> nodes;

    Instance(
            String name,
            JsonGenerator json,
            long seed,
            Fields settingsFields,
            RetryPolicies retryPolicies,
            Time now) {
        this.retryPolicies = retryPolicies;
        this.name = name;
        this.json = json;
        Settings settings = SettingsReader.settings(settingsFields);
        this.products = settings.products().size();
        this.tenants = Math.max(1, settings.tenants().size());
        this.shards = (int) settingsFields.object("Specifics").whole("Ranges");
        this.cells = settings.shards().cells();
        this.router = new QueryRouter(settings, seed, this, now);
        this.nodes = new NodeTable<>(router);
    }

    void beginTurn(Time now) {
        router.beginTurn(now);
    }

    void endTurn() {
        router.endTurn();
    }

    void nodeListFailed() {
        router.nodeListFailed();
    }

    /**
     * Applies a node list. With the scope {@link #SCOPE_CHANGES} it holds changes only; with any
     * other, nodes that it does not list are removed.
     */
    void updateNodes(int scope, List<Fields> entries) {
        List<NodeTable.Entry<Long>> nodeEntries = new ArrayList<>();
        for (Fields entry : entries) {
            double startedAtMillis = entry.number("StartedAt", 0);
            NodeTable.State state = STATES[entry.index("Mode", STATES.length)];
            nodeEntries.add(
                    new NodeTable.Entry<>(
                            entry.whole("Node"),
                            state == NodeTable.State.REMOVED ? 0 : entry.index("Position", cells),
                            startedAtMillis > 0 ? Time.ofMillis(startedAtMillis) : null,
                            state));
        }
        nodes.update(scope != SCOPE_CHANGES, nodeEntries);
    }

    /** Accepts a multiget, or adds a part to one: a negative Slab marks the multiget itself. */
    void request(Fields message) {
        long id = message.whole("Tid");
        long number = message.whole("WholeNo");
        long shard = message.whole("Slab");
        double weight = message.number("Heft");
        double workHint = message.number("WeightHint", 0);
        if (shard < 0) {
            int ref = NodeTable.freeIndex(multigets);
            TrackedMultiget tracked = new TrackedMultiget(id, number, ref);
            multigets.set(ref, tracked);
            multigetsByNumber.put(number, tracked);
            requestsById.put(id, new RequestId(tracked, RequestId.WHOLE));
            int tenant = message.has("Tenant") ? message.index("Tenant", tenants) : 0;
            int product = message.index("Class", products);
            Span timeLeft = Span.ofMillis(message.number("Remaining"));
            boolean isClientRetry = message.flag("AgainByClient");
            tracked.multiget =
                    retryPolicies == null
                            ? router.accept(ref, product, tenant, timeLeft, isClientRetry)
                            : router.accept(
                                    ref,
                                    product,
                                    tenant,
                                    timeLeft,
                                    isClientRetry,
                                    retryPolicies.policyFor(product, null));
        } else {
            if (shard >= shards) {
                throw message.wrong("Slab", "the number of a shard");
            }
            TrackedMultiget tracked = multigetsByNumber.get(number);
            if (tracked == null || tracked.hasEnded) {
                return;
            }
            requestsById.put(id, new RequestId(tracked, tracked.partIds.size()));
            tracked.partIds.add(id);
            tracked.multiget.addPart((int) shard, weight, workHint);
        }
    }

    void transmissionEnded(Fields message) {
        RequestId request = requestsById.get(message.whole("Tid"));
        int code = message.index("Code", OUTCOMES.length);
        int transmission = (int) message.whole("Hop");
        if (request == null || request.part < 0) {
            return;
        }
        if (OUTCOMES[code] == null) {
            throw message.wrong("Code", "an outcome");
        }
        Integer node = nodes.indexOf(message.whole("Node"));
        if (transmission < 0
                || transmission >= request.tracked.multiget.transmissionCount(request.part)) {
            throw message.wrong("Hop", "the number of a transmission of this part");
        }
        request.tracked.inFlight--;
        request.tracked.multiget.transmissionEnded(
                request.part,
                transmission,
                OUTCOMES[code],
                Span.ofMillis(message.number("Duration")),
                load(message));
        if (node != null) {
            nodes.release(node);
        }
        removeIfDone(request.tracked);
    }

    void clientLeft(Fields message) {
        RequestId request = requestsById.get(message.whole("Tid"));
        if (request == null || request.part >= 0 || request.tracked.hasEnded) {
            return;
        }
        request.tracked.hasEnded = true;
        request.tracked.multiget.clientLeft();
        removeIfDone(request.tracked);
    }

    void timerFired(Fields message) {
        message.whole("Label");
        router.timerFired();
    }

    void probeEnded(Fields message) {
        Integer node = nodes.indexOf(message.whole("Node"));
        TransmissionOutcome outcome = OUTCOMES[message.index("Code", OUTCOMES.length)];
        if (node != null) {
            router.probeEnded(node, outcome, load(message));
            nodes.release(node);
        }
    }

    /** The load that a node has reported; null if it has reported none. */
    private static NodeLoad load(Fields message) {
        if (!message.has("Stats")) {
            return null;
        }
        Fields stats = message.object("Stats");
        return new NodeLoad(
                stats.number("pending", Double.NaN),
                stats.number("busy_reqs", Double.NaN),
                stats.number("svc_ms", Double.NaN),
                stats.number("served_ps", Double.NaN),
                stats.number("cpu_share", Double.NaN));
    }

    private void removeIfDone(TrackedMultiget tracked) {
        if (tracked.hasEnded && tracked.inFlight == 0 && multigets.get(tracked.ref) == tracked) {
            multigets.set(tracked.ref, null);
            multigetsByNumber.remove(tracked.number, tracked);
            requestsById.remove(tracked.id);
            tracked.partIds.forEach(requestsById::remove);
        }
    }

    private void end(TrackedMultiget tracked) {
        tracked.hasEnded = true;
        removeIfDone(tracked);
    }

    @Override
    public void transmit(Multiget multiget, int part, int node, Span timeout) {
        TrackedMultiget tracked = multigets.get(multiget.ref);
        tracked.inFlight++;
        beginAction("PASS_ON");
        writeNumber("Tid", tracked.partIds.get(part));
        writeMillis("AllowFor", timeout);
        writeNumber("Node", nodes.acquire(node));
        endAction();
    }

    @Override
    public void withdraw(Multiget multiget, int part, int transmission) {
        beginAction("WITHDRAW");
        writeNumber("Tid", multigets.get(multiget.ref).partIds.get(part));
        writeNumber("Hop", transmission);
        endAction();
    }

    @Override
    public void answer(Multiget multiget, boolean isWhole) {
        TrackedMultiget tracked = multigets.get(multiget.ref);
        beginAction("WRAP_UP");
        writeNumber("Tid", tracked.id);
        writeFlag("Complete", isWhole);
        endAction();
        if (multiget.nextAnswerIsFinal()) {
            end(tracked);
        }
    }

    @Override
    public void dismiss(Multiget multiget, Span retryAfter) {
        TrackedMultiget tracked = multigets.get(multiget.ref);
        beginAction("BUSY");
        writeNumber("Tid", tracked.id);
        if (retryAfter.micros() > 0) {
            writeMillis("RetryAfter", retryAfter);
        }
        endAction();
        end(tracked);
    }

    @Override
    public void giveUp(Multiget multiget) {
        TrackedMultiget tracked = multigets.get(multiget.ref);
        beginAction("END_FAILED");
        writeNumber("Tid", tracked.id);
        endAction();
        end(tracked);
    }

    @Override
    public void probe(int node) {
        beginAction("POLL");
        writeNumber("Node", nodes.acquire(node));
        endAction();
    }

    @Override
    public void watchNodeList() {
        beginAction("TAIL");
        writeFlag("Complete", true);
        endAction();
    }

    @Override
    public void startTimer(Span delay) {
        beginAction("DEFER");
        writeMillis("SleepFor", delay);
        writeNumber("Label", 0);
        endAction();
    }

    private interface JsonWrite {
        void run() throws IOException;
    }

    private void write(JsonWrite jsonWrite) {
        try {
            jsonWrite.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void beginAction(String action) {
        write(
                () -> {
                    json.writeStartObject();
                    json.writeStringField("m", action);
                    json.writeStringField("I", name);
                });
    }

    private void writeNumber(String field, long value) {
        write(() -> json.writeNumberField(field, value));
    }

    private void writeMillis(String field, Span span) {
        write(() -> json.writeNumberField(field, span.millis()));
    }

    private void writeFlag(String field, boolean value) {
        write(() -> json.writeBooleanField(field, value));
    }

    private void endAction() {
        write(
                () -> {
                    json.writeEndObject();
                    json.writeRaw('\n');
                });
    }
}
