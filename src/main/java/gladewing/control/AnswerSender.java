package gladewing.control;

import gladewing.lifecycle.GrowingTimeLimit;
import gladewing.loop.Loop;
import gladewing.router.Time;
import gladewing.sockets.ConnectionAttempt;
import gladewing.versions.Manifest;
import gladewing.versions.ReconnectBackoff;
import gladewing.versions.VersionStatus;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Posts the answers about versions to the control service, until it has accepted them. Of several
 * answers about one version the last is kept. All methods are called on the loop's thread.
 */
final class AnswerSender {
    private static final int MAX_PENDING_ANSWERS = 64;

    private final Loop loop;
    private final Bootstrap bootstrap;
    private final ControlSettings settings;
    private final String routerName;
    private final ControlMessageCodec codec;
    private final ReconnectBackoff backoff;
    private final GrowingTimeLimit timeLimit;
    private final Map<String, VersionStatus> pending = new LinkedHashMap<>();

    /** Whether answers are being sent, or the wait after a failed attempt is not over. */
    private boolean isSending;

    /**
     * @param routerName this router's name, as sent to the control service
     * @param seed must differ from router to router, so that a fleet does not act at the same
     *     moment
     */
    AnswerSender(
            Loop loop,
            Bootstrap bootstrap,
            ControlSettings settings,
            String routerName,
            ControlMessageCodec codec,
            long seed) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.settings = settings;
        this.routerName = routerName;
        this.codec = codec;
        backoff = new ReconnectBackoff(settings.initialBackoff(), settings.maxBackoff(), seed);
        timeLimit = new GrowingTimeLimit(settings.answerTimeout());
    }

    /** Adds an answer, in place of an earlier one about the same version. */
    void add(VersionStatus answer) {
        String id =
                answer.digest().isEmpty()
                        ? answer.epoch() + "." + answer.number()
                        : answer.digest();
        pending.remove(id);
        pending.put(id, answer);
        while (pending.size() > MAX_PENDING_ANSWERS) {
            pending.remove(pending.keySet().iterator().next());
        }
    }

    /** How many answers the control service has not accepted yet. */
    int pendingCount() {
        return pending.size();
    }

    /**
     * Posts what is pending, unless a post is under way.
     *
     * @param inForce the version in force; null if there is none
     * @param isPersisted whether the version in force is saved on disk
     */
    void sendPending(Manifest inForce, boolean isPersisted) {
        if (isSending || pending.isEmpty()) {
            return;
        }
        isSending = true;
        List<VersionStatus> included = List.copyOf(pending.values());
        Time sentAt = loop.enterPass();
        AnswerConnection connection =
                new AnswerConnection(
                        loop,
                        request(inForce, isPersisted),
                        failure -> ended(included, sentAt, failure));
        ChannelFuture connecting =
                bootstrap.clone().handler(connection).connect(settings.address());
        connection.setChannel(connecting.channel());
        ConnectionAttempt.onFailure(
                loop, connecting, cause -> connection.end("it can't be reached"));
        loop.schedule(timeLimit.current(), () -> runOutOfTime(connection));
    }

    private byte[] request(Manifest inForce, boolean isPersisted) {
        List<VersionStatus> reported =
                pending.values().stream().map(a -> a.withPersisted(isPersisted)).toList();
        String body = codec.encodeAnswers(routerName, inForce, reported);
        String key = settings.keys().newestName();
        String head =
                "POST /control/answers HTTP/1.1\r\nHost: "
                        + settings.address().getHostString()
                        + ":"
                        + settings.address().getPort()
                        + "\r\nContent-Type: application/json\r\nX-Control-Key: "
                        + key
                        + "\r\nX-Control-Mac: "
                        + settings.keys().sign(key, body)
                        + "\r\nContent-Length: "
                        + body.getBytes(StandardCharsets.UTF_8).length
                        + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.UTF_8);
    }

    private void runOutOfTime(AnswerConnection connection) {
        if (!connection.hasEnded()) {
            timeLimit.exceeded();
            connection.end("no response within the time limit");
        }
    }

    private void ended(List<VersionStatus> included, Time sentAt, String failure) {
        if (failure != null) {
            loop.schedule(backoff.nextDelay(), () -> isSending = false);
            return;
        }
        timeLimit.met(loop.enterPass().since(sentAt));
        backoff.reset();
        isSending = false;
        // Keeps an answer that has replaced one of these in the meantime.
        pending.values().removeAll(included);
    }
}
