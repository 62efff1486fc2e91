package cresschute.node;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as configured and listed: an IP literal and a port, for there is no DNS. */
final class Addresses {

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    static InetSocketAddress parse(String text) {
        final int colon = text.lastIndexOf(':');
        final byte[] ip =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            final int port = ip == null ? -1 : Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                throw unusable(text);
            }
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw unusable(text);
        }
    }

    private static IllegalArgumentException unusable(String text) {
        return new IllegalArgumentException("not an IP address with a port: " + text);
    }
}
