package gladewing.sockets;

import gladewing.lifecycle.FailedCallPolicy;
import gladewing.router.Span;
import gladewing.router.Time;

/** The failures in a row of one kind of system call on one channel. */
final class FailureSeries {
    private final FailedCallPolicy policy;
    private int failures;
    private Time firstAt;

    FailureSeries(FailedCallPolicy policy) {
        this.policy = policy;
    }

    /** Records a failure; returns the delay until the call is made again, or null to give up. */
    Span failed(Time now) {
        if (failures == 0) {
            firstAt = now;
        }
        failures++;
        return policy.retryDelay(now.since(firstAt), failures);
    }

    void succeeded() {
        failures = 0;
    }

    boolean isFailing() {
        return failures > 0;
    }
}
