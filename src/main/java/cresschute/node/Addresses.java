package cresschute.node;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;

/**
 * Parses and formats addresses that consist of an IP literal and a port; host names are not
 * resolved. Any thread.
 */
final class Addresses {

    private static final int MAX_PORT = 65_535;
    private static final int UNUSABLE_PORT = -1;

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text an IP literal, a colon and a port
     * @return the address
     * @throws IllegalArgumentException if the text is not an IP address with a port; the message
     *     quotes it
     */
    static InetSocketAddress parse(String text) {
        final int colon = text.lastIndexOf(':');
        final byte[] ip =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            final int port =
                    ip == null ? UNUSABLE_PORT : Integer.parseInt(text.substring(colon + 1));
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

    /**
     * Formats an address for the log: an IP literal and a port if it is a resolved IP address, else
     * its own string form.
     */
    static String format(SocketAddress address) {
        return address instanceof InetSocketAddress ip && !ip.isUnresolved()
                ? NetUtil.toSocketAddressString(ip)
                : String.valueOf(address);
    }
}
