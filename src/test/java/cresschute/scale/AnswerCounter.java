package cresschute.scale;

import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.Outcome;
import cresschute.testbed.model.FleetModel.ModuleMaker;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the final answers of each request, between the dispatchers and their hosts in the model.
 */
final class AnswerCounter {

    private record Key(int dispatcher, int requestId) {}

    private final Map<Key, Integer> answers = new HashMap<>();
    private int dispatchers;
    private int open;
    private int maxOpen;

    /** Returns a maker that wraps the dispatchers of another maker and their actions. */
    ModuleMaker wrap(ModuleMaker maker) {
        return (settings, seed, actions) -> {
            final int dispatcher = dispatchers++;
            final DispatcherActions counted =
                    (DispatcherActions)
                            wrap(
                                    DispatcherActions.class,
                                    actions,
                                    (name, args) -> {
                                        if (name.equals("reject") || name.equals("fail")) {
                                            answered(new Key(dispatcher, (Integer) args[0]));
                                        }
                                    });
            return (DispatcherEvents)
                    wrap(
                            DispatcherEvents.class,
                            maker.make(settings, seed, counted),
                            (name, args) -> {
                                if (name.equals("requestArrived")) {
                                    answers.put(new Key(dispatcher, (Integer) args[1]), 0);
                                    maxOpen = Math.max(maxOpen, ++open);
                                } else if (name.equals("attemptEnded")
                                        && args[4] == Outcome.SERVED) {
                                    answered(new Key(dispatcher, (Integer) args[1]));
                                }
                            });
        };
    }

    /** Observes a call before it is passed on. */
    private interface CallObserver {
        void called(String method, Object[] arguments);
    }

    private static Object wrap(Class<?> type, Object target, CallObserver observer) {
        return Proxy.newProxyInstance(
                type.getClassLoader(),
                new Class<?>[] {type},
                (proxy, method, args) -> {
                    observer.called(method.getName(), args);
                    try {
                        return method.invoke(target, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    private void answered(Key key) {
        open -= answers.merge(key, 1, Integer::sum) == 1 ? 1 : 0;
    }

    /** The number of requests that arrived. */
    int requests() {
        return answers.size();
    }

    /** The maximum number of requests that were open at a time. */
    int maxOpen() {
        return maxOpen;
    }

    /** Requests by dispatcher and number that were not answered exactly once. */
    List<String> notAnsweredOnce() {
        final List<String> wrong = new ArrayList<>();
        answers.forEach(
                (key, count) -> {
                    if (count != 1) {
                        wrong.add(key + " had " + count + " answers");
                    }
                });
        return wrong;
    }
}
