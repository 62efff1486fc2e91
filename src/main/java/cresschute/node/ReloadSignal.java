package cresschute.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP through the JVM's internal signal API. It is called by reflection,
 * because javac's warning about direct use cannot be suppressed, and a warning fails the build.
 * Stateless.
 */
public final class ReloadSignal {

    private ReloadSignal() {}

    /**
     * Installs the handler in place of the default action, which ends the process. A process that
     * was started with the signal ignored, for example by {@code nohup}, never receives it.
     *
     * @param action runs at each signal, on a thread of the JVM
     * @return whether the process receives the signal; false if it was started with the signal
     *     ignored
     * @throws IllegalStateException if the JVM does not support the handler
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
            throw new IllegalStateException(
                    "cannot install a SIGHUP handler: this JVM has no usable sun.misc.Signal", e);
        }
    }
}
