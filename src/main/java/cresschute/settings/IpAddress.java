package cresschute.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats IP literals with ports. Never queries DNS: host names are rejected. */
final class IpAddress {

    private static final Pattern IPV4 =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

    /**
     * Matches only IPv6 literals. The JDK parses text in brackets as nothing else, so that it never
     * looks it up as a host name.
     */
    private static final Pattern IPV6 = Pattern.compile("(\\[[0-9a-fA-F:.]{2,45}\\]):(\\d{1,5})");

    private static final int IPV4_BYTES = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    private IpAddress() {}

    /** Parses an address; returns null if the text is not an IP literal with a port. */
    static InetSocketAddress parse(String text) {
        try {
            final Matcher v4 = IPV4.matcher(text);
            if (v4.matches()) {
                final byte[] ip = new byte[IPV4_BYTES];
                for (int i = 0; i < IPV4_BYTES; i++) {
                    final int part = Integer.parseInt(v4.group(i + 1));
                    if (part > MAX_OCTET) {
                        return null;
                    }
                    ip[i] = (byte) part;
                }
                return socketAddress(InetAddress.getByAddress(ip), v4.group(IPV4_BYTES + 1));
            }
            final Matcher v6 = IPV6.matcher(text);
            return v6.matches()
                    ? socketAddress(InetAddress.getByName(v6.group(1)), v6.group(2))
                    : null;
        } catch (UnknownHostException e) {
            return null;
        }
    }

    private static InetSocketAddress socketAddress(InetAddress ip, String port) {
        final int number = Integer.parseInt(port);
        return number > MAX_PORT ? null : new InetSocketAddress(ip, number);
    }

    /** Formats an address so that {@link #parse} accepts it. */
    static String format(InetSocketAddress address) {
        final String ip = address.getAddress().getHostAddress();
        return (ip.indexOf(':') >= 0 ? "[" + ip + "]" : ip) + ":" + address.getPort();
    }
}
