package gladewing.clients;

import gladewing.http.MessageReader;
import io.netty.channel.Channel;

/** Takes over a client's connection when its request asks for an upgrade. */
public interface UpgradeHandler {
    /** Returns null if the request does not ask for an upgrade and is to be served over HTTP. */
    UpgradedConnection upgrade(Channel channel, MessageReader request);
}
