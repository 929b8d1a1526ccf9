package gladewing.model;

import java.util.ArrayDeque;
import java.util.Iterator;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A simulated data node: cores that serve jobs, with one queue in front of them, and the faults
 * that can be injected. A cold node serves more slowly: its capacity rises linearly from the
 * initial share to its full capacity over the warm-up span. A cold node that receives too much work
 * fails.
 */
final class SimulatedNode {
    /** One transmission at a node. */
    static final class Job {
        final Runnable onServed;
        final double work;
        boolean isRunning;
        boolean isGone;

        /**
         * Creates a job.
         *
         * @param work the service time on a warm core, in microseconds
         * @param onServed called when the job has been served
         */
        Job(double work, Runnable onServed) {
            this.work = work;
            this.onServed = onServed;
        }
    }

    enum State {
        UP,
        DRAINING,
        GONE
    }

    final int index;
    final int cell;
    private final EventQueue eventQueue;
    private final Scenario scenario;
    private final UniformRandomProvider random;
    private final Runnable onOverload;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final ArrayDeque<Job> running = new ArrayDeque<>();
    State state = State.UP;

    /**
     * When it started, in virtual time. A warm node has a time long before the start of the run.
     */
    long startedAt = Long.MIN_VALUE / 2;

    double slowdownFactor = 1;
    boolean isStalled;
    boolean isSilent;

    /**
     * The incarnation number, incremented at each stop and start. Work of earlier incarnations is
     * lost.
     */
    int incarnation;

    private boolean hasFailed;

    /**
     * The arrival time and the work of each job in the last overload window, while the node is
     * cold.
     */
    private final ArrayDeque<double[]> recentWork = new ArrayDeque<>();

    private double recentWorkMicros;
    double busyMicros;
    long servedCount;

    SimulatedNode(
            int index,
            int cell,
            EventQueue eventQueue,
            Scenario scenario,
            UniformRandomProvider random,
            Runnable onOverload) {
        this.index = index;
        this.cell = cell;
        this.eventQueue = eventQueue;
        this.scenario = scenario;
        this.random = random;
        this.onOverload = onOverload;
    }

    /** Draws the service time of a job on a warm core, in microseconds. */
    double drawWork() {
        return scenario.serviceTime().draw(random);
    }

    /** Returns the current capacity as a share of the capacity of a warm node. */
    double capacityShare() {
        double warmUpProgress =
                (eventQueue.now() - startedAt)
                        / (double) scenario.settings().rules().warmUpSpan().micros();
        double initialShare = scenario.settings().rules().initialCapacityShare();
        return Math.min(1, initialShare + (1 - initialShare) * Math.max(0, warmUpProgress));
    }

    /** Whether the node accepts connections: it is neither stopped nor failed from overload. */
    boolean isReachable() {
        return state != State.GONE && !hasFailed;
    }

    /**
     * Returns the estimated time to serve all queued and running jobs, in microseconds. Running
     * jobs count half. Only the oracle policy sees it.
     */
    double backlogMicros() {
        double work = 0;
        for (Job job : queue) {
            work += job.work;
        }
        for (Job job : running) {
            work += job.work / 2;
        }
        return work / scenario.coresPerNode() * slowdownFactor / capacityShare()
                + (isStalled || isSilent ? 1e12 : 0);
    }

    int jobCount() {
        return queue.size() + running.size();
    }

    /** Accepts a job, or returns false if the queue is full. A cold node may fail from overload. */
    boolean accept(Job job) {
        if (capacityShare() < 1) {
            checkOverload(job.work);
            if (hasFailed) {
                return true;
            }
        }
        if (queue.size() >= scenario.queueLimit()) {
            return false;
        }
        queue.add(job);
        startJobs();
        return true;
    }

    /**
     * Adds work to the overload window. The node fails if the work in the window exceeds its
     * current capacity times the overload factor.
     */
    private void checkOverload(double work) {
        long window = scenario.settings().rules().overloadWindow().micros();
        recentWork.add(new double[] {eventQueue.now(), work});
        recentWorkMicros += work;
        while (recentWork.peek()[0] <= eventQueue.now() - window) {
            recentWorkMicros -= recentWork.poll()[1];
        }
        // The tolerance allows for random variation, so that the size of a single part does not
        // count as overload.
        double limit =
                scenario.settings().rules().overloadFactor()
                        * capacityShare()
                        * scenario.coresPerNode()
                        * window;
        if (recentWorkMicros > 1.2 * limit + 5 * scenario.serviceTime().mean()) {
            hasFailed = true;
            queue.clear();
            running.clear();
            incarnation++;
            onOverload.run();
        }
    }

    /** Starts queued jobs while cores are free. */
    void startJobs() {
        while (!isStalled && running.size() < scenario.coresPerNode() && !queue.isEmpty()) {
            Job job = queue.poll();
            job.isRunning = true;
            running.add(job);
            double serviceMicros = job.work * slowdownFactor / capacityShare();
            int startedIncarnation = incarnation;
            eventQueue.schedule(
                    Math.round(serviceMicros),
                    () -> {
                        if (incarnation != startedIncarnation) {
                            return;
                        }
                        running.remove(job);
                        busyMicros += serviceMicros;
                        servedCount++;
                        if (!isSilent) {
                            job.onServed.run();
                        }
                        startJobs();
                    });
        }
    }

    /** Removes the job if it is still queued. A running job continues. */
    void withdraw(Job job) {
        for (Iterator<Job> jobs = queue.descendingIterator(); jobs.hasNext(); ) {
            if (jobs.next() == job) {
                jobs.remove();
                return;
            }
        }
    }

    /** Stops the node. All its jobs are lost. */
    void stop() {
        incarnation++;
        queue.clear();
        running.clear();
        state = State.GONE;
    }

    /** Starts the node, cold and without faults. */
    void startCold() {
        incarnation++;
        hasFailed = false;
        isStalled = false;
        isSilent = false;
        slowdownFactor = 1;
        recentWork.clear();
        recentWorkMicros = 0;
        state = State.UP;
        startedAt = eventQueue.now();
    }
}
