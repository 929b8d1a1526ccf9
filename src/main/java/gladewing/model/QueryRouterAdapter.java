package gladewing.model;

import gladewing.router.Multiget;
import gladewing.router.Port;
import gladewing.router.QueryRouter;
import gladewing.router.Span;
import gladewing.router.Time;
import gladewing.router.TransmissionOutcome;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Runs the production {@link QueryRouter} inside the simulation, as the policy "module". */
final class QueryRouterAdapter implements SimulatedRouter, Port {
    private final FleetSimulation simulation;
    private final int index;
    private final QueryRouter queryRouter;
    private final Map<Integer, Map<Long, FleetSimulation.SimulatedTransmission>> inFlight =
            new HashMap<>();

    /** Multigets that have their final answer and may still have transmissions in flight. */
    private final Set<Integer> finishedRefs = new HashSet<>();

    private int nextRef;

    QueryRouterAdapter(FleetSimulation simulation, int index, long seed) {
        this.simulation = simulation;
        this.index = index;
        queryRouter = new QueryRouter(simulation.scenario.settings(), seed, this, now());
    }

    private Time now() {
        return new Time(simulation.eventQueue.now());
    }

    private void runTurn(Runnable action) {
        queryRouter.beginTurn(now());
        action.run();
        queryRouter.endTurn();
    }

    @Override
    public void accept(int product, int[] shards, long timeLimit, boolean isRetry) {
        runTurn(
                () -> {
                    int ref = nextRef++;
                    double[] weights = simulation.accepted(index, ref, product, shards, timeLimit);
                    Multiget multiget =
                            queryRouter.accept(ref, product, 0, new Span(timeLimit), isRetry);
                    for (int part = 0; part < shards.length; part++) {
                        multiget.addPart(shards[part], weights[part], 0);
                    }
                });
    }

    @Override
    public void nodeListed(int node, int cell, long startedAt, boolean isDraining) {
        queryRouter.beginTurn(now());
        queryRouter.nodeListed(node, cell, startedAt < 0 ? null : new Time(startedAt), isDraining);
    }

    @Override
    public void nodeRemoved(int node) {
        queryRouter.beginTurn(now());
        queryRouter.nodeRemoved(node);
    }

    @Override
    public void nodeListReceived() {
        queryRouter.beginTurn(now());
        queryRouter.nodeListReceived();
        queryRouter.endTurn();
    }

    private static long transmissionKey(int part, int transmission) {
        return (long) part << 32 | transmission;
    }

    @Override
    public void transmit(Multiget multiget, int part, int node, Span timeout) {
        int transmissionIndex = multiget.transmissionCount(part) - 1;
        FleetSimulation.SimulatedTransmission transmission =
                simulation.send(
                        index,
                        multiget.ref,
                        part,
                        node,
                        timeout.micros(),
                        (outcome, elapsedMicros) -> {
                            Map<Long, FleetSimulation.SimulatedTransmission> open =
                                    inFlight.get(multiget.ref);
                            open.remove(transmissionKey(part, transmissionIndex));
                            runTurn(
                                    () ->
                                            multiget.transmissionEnded(
                                                    part,
                                                    transmissionIndex,
                                                    outcome,
                                                    new Span(elapsedMicros),
                                                    null));
                            forgetIfEnded(multiget.ref);
                        });
        inFlight.computeIfAbsent(multiget.ref, ref -> new HashMap<>())
                .put(transmissionKey(part, transmissionIndex), transmission);
    }

    @Override
    public void withdraw(Multiget multiget, int part, int transmission) {
        FleetSimulation.SimulatedTransmission open =
                inFlight.get(multiget.ref).get(transmissionKey(part, transmission));
        if (open != null) {
            simulation.withdraw(open);
        }
    }

    private void finish(Multiget multiget, char kind, Span retryAfter) {
        simulation.finalAnswer(index, multiget.ref, kind, retryAfter.micros());
        finishedRefs.add(multiget.ref);
        forgetIfEnded(multiget.ref);
    }

    private void forgetIfEnded(int ref) {
        Map<Long, FleetSimulation.SimulatedTransmission> open = inFlight.get(ref);
        if (finishedRefs.contains(ref) && (open == null || open.isEmpty())) {
            inFlight.remove(ref);
            finishedRefs.remove(ref);
            simulation.forget(index, ref);
        }
    }

    @Override
    public void answer(Multiget multiget, boolean whole) {
        finish(multiget, whole ? 'w' : 'p', Span.ZERO);
    }

    @Override
    public void dismiss(Multiget multiget, Span retryAfter) {
        finish(multiget, 'd', retryAfter);
    }

    @Override
    public void giveUp(Multiget multiget) {
        finish(multiget, 'g', Span.ZERO);
    }

    @Override
    public void probe(int node) {
        simulation.eventQueue.schedule(
                0,
                () ->
                        runTurn(
                                () ->
                                        queryRouter.probeEnded(
                                                node, TransmissionOutcome.NOT_SENT, null)));
    }

    @Override
    public void watchNodeList() {}

    @Override
    public void startTimer(Span span) {
        simulation.eventQueue.schedule(span.micros(), () -> runTurn(queryRouter::timerFired));
    }
}
