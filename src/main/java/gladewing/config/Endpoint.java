package gladewing.config;

import gladewing.json.InvalidInputException;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses ADDRESS:PORT, with an IP address: there is no DNS to resolve host names with. */
public final class Endpoint {
    private Endpoint() {}

    /**
     * Parses one address and port.
     *
     * @throws InvalidInputException if the text is not ADDRESS:PORT
     */
    public static InetSocketAddress read(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        byte[] address = NetUtil.createByteArrayFromIpAddressString(host);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (address != null && port >= 0 && port < 65536) {
                return new InetSocketAddress(InetAddress.getByAddress(address), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Reported below, as any other invalid text.
        }
        throw new InvalidInputException("not an endpoint: " + text);
    }
}
