package gladewing.clients;

import gladewing.loop.Loop;
import gladewing.router.Span;

/** The turns in which one connection goes on with the requests that its client has sent. */
final class RequestTurns {
    /** How soon a connection goes on with what it could not begin in its turn. */
    private static final Span TURN_INTERVAL = Span.ofMillis(1);

    private final Loop loop;
    private final Runnable turn;
    private final Runnable scheduledTurn;
    private boolean isRunning;
    private boolean isScheduled;

    /**
     * @param turn begins or answers what waits
     * @param scheduledTurn as turn, but some time may have passed since the socket was read
     */
    RequestTurns(Loop loop, Runnable turn, Runnable scheduledTurn) {
        this.loop = loop;
        this.turn = turn;
        this.scheduledTurn = scheduledTurn;
    }

    void runNow() {
        isRunning = true;
        try {
            turn.run();
        } finally {
            isRunning = false;
        }
    }

    /** Runs a turn once other connections have had theirs. */
    void runSoon() {
        if (!isScheduled) {
            isScheduled = true;
            loop.schedule(TURN_INTERVAL, this::runScheduled);
        }
    }

    /** Runs a turn in a later pass, unless one is running that goes on anyway. */
    void runInLaterPass() {
        if (!isRunning && !isScheduled) {
            isScheduled = true;
            loop.runInLaterPass(this::runScheduled);
        }
    }

    private void runScheduled() {
        isScheduled = false;
        scheduledTurn.run();
    }
}
