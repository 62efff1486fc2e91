package cresschute.simulator;

/**
 * Record codes of the simulator's wire protocol, under the protocol's names: events first, then
 * actions.
 */
final class WireCodes {

    static final int LAUNCH = 1;
    static final int REGISTRY = 2;
    static final int INCOMING = 3;
    static final int OUTCOME = 5;
    static final int VANISHED = 6;
    static final int TIMER = 7;
    static final int PONG = 8;
    static final int DATAGRAM = 9;
    static final int EXIT = 10;
    static final int CATALOG = 11;
    static final int SIGNAL = 12;

    static final int SHED = 65;
    static final int SUBSCRIBE = 66;
    static final int DIE = 68;
    static final int PLACE = 69;
    static final int HEALTH_CHECK = 70;
    static final int SAY = 71;
    static final int LOSE = 73;
    static final int CLOSE = 74;
    static final int SLEEP = 75;

    private WireCodes() {}
}
