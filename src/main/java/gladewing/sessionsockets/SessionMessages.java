package gladewing.sessionsockets;

import gladewing.json.Json;
import gladewing.loop.Loop;
import gladewing.websocket.FrameEncoder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.security.SecureRandom;

/** Encodes the JSON messages of long-lived sessions, and writes frames to channels. */
final class SessionMessages {
    private SessionMessages() {}

    /** Returns a message with data, from a client or a node. */
    static String message(int shard, long number, String data) {
        StringBuilder json = new StringBuilder(48 + data.length());
        json.append("{\"shard\":")
                .append(shard)
                .append(",\"n\":")
                .append(number)
                .append(",\"data\":");
        Json.quote(json, data);
        return json.append('}').toString();
    }

    /** Returns an acknowledgement of all messages up to a number. */
    static String ack(int shard, long number) {
        return "{\"shard\":" + shard + ",\"ack\":" + number + "}";
    }

    /** Tells a client that its messages greater than after, up to and including to, may be lost. */
    static String lost(int shard, long after, long to) {
        return "{\"shard\":" + shard + ",\"lost\":{\"after\":" + after + ",\"to\":" + to + "}}";
    }

    /** Tells a client that messages of a node up to a number are missing. */
    static String gap(int shard, long to) {
        return "{\"shard\":" + shard + ",\"gap\":" + to + "}";
    }

    /**
     * Tells a node where to resume, on a new connection.
     *
     * @param lastToClient last message number that was forwarded to the client
     * @param lastSent last message number of the client that was sent to any node
     */
    static String resume(int shard, long lastToClient, long lastSent) {
        return "{\"shard\":"
                + shard
                + ",\"resume\":"
                + lastToClient
                + ",\"sent\":"
                + lastSent
                + "}";
    }

    /** Returns four unpredictable bytes, as RFC 6455 requires for the masking key of a client. */
    static byte[] maskingKey(SecureRandom random) {
        byte[] maskingKey = new byte[4];
        random.nextBytes(maskingKey);
        return maskingKey;
    }

    /** Writes bytes to a channel; they are flushed at the end of the pass. */
    static void write(Loop loop, Channel channel, byte[] bytes) {
        channel.write(Unpooled.wrappedBuffer(bytes));
        loop.flushAfterPass(channel);
    }

    static byte[] text(String text, byte[] maskingKey) {
        return FrameEncoder.text(text, maskingKey);
    }
}
