/** Discovery is slow: it answers each call 0.8 s after it came. A data node begins to drain. */
final class Case {
    private static final long ANSWER_DELAY_MS = 800;
    private static final long DRAIN_AT_MS = 8_000;
    private static final long TOLD_WITHIN_MS = 6_000;
    private static final long GRACE_MS = 2_000;
    private static final long END_MS = 30_000;

    public static void main(String[] args) {
        Stand.play(args, Case::run);
    }

    private static int run(Stand stand) throws Exception {
        stand.addFleet(2);
        Stand.Node draining = stand.nodes.get("a0");
        stand.discovery.answerDelayMillis = stand.trouble ? ANSWER_DELAY_MS : 0;
        stand.writeConfig(stand.discovery.port, stand.discovery.whole());
        Process router = stand.startRouter();
        if (router == null || !stand.awaitReady()) {
            return stand.couldNotRun("the router is not ready");
        }
        long begin = stand.now();
        long[] latest = {Long.MAX_VALUE};
        stand.onAttempt.add(
                part -> {
                    if (part.node == draining && stand.now() > latest[0]) {
                        stand.broken(
                                "part "
                                        + part.id
                                        + " was sent to "
                                        + part.node.uid
                                        + " "
                                        + (stand.now() - latest[0])
                                        + " ms after the grace");
                    }
                });
        stand.load("sheet", 5, 3000, 10, begin + END_MS);
        stand.sleepUntil(begin + DRAIN_AT_MS);
        if (stand.countAttempts(part -> part.node == draining) == 0) {
            return stand.couldNotRun("nothing was sent to the node before it drained");
        }
        stand.discovery.put(draining.entry("draining"));
        latest[0] = stand.now() + TOLD_WITHIN_MS + GRACE_MS + Stand.SLACK_MS;
        stand.sleepUntil(begin + END_MS);
        stand.awaitEnds(6000);
        long served = stand.count(request -> request.status == 200);
        stand.note("served " + served + " of " + stand.requests.size());
        return served == 0 ? stand.couldNotRun("nothing was served") : stand.finish();
    }
}
