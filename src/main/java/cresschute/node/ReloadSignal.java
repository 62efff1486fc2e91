package cresschute.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP by the JVM's own signal handling, which is reached by reflection: javac warns of
 * its direct use in a way that cannot be suppressed, and a warning fails the build. Stateless.
 */
public final class ReloadSignal {

    private ReloadSignal() {}

    /**
     * Replaces the default action of the signal, which ends the process. A process that was started
     * with the signal ignored, as {@code nohup} starts it, never receives it.
     *
     * @param action runs on a thread of the JVM at each signal
     * @return whether the signal is received; false where the process ignores it
     * @throws IllegalStateException if the JVM does not pass on the signal
     */
    public static boolean handle(Runnable action) {
        try {
            final Class<?> signal = Class.forName("sun.misc.Signal");
            final Class<?> handler = Class.forName("sun.misc.SignalHandler");
            final InvocationHandler invocation =
                    (proxy, method, args) -> {
                        action.run();
                        return null;
                    };
            final Object previous =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    Proxy.newProxyInstance(
                                            ReloadSignal.class.getClassLoader(),
                                            new Class<?>[] {handler},
                                            invocation));
            return previous != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM does not pass on SIGHUP", e);
        }
    }
}
