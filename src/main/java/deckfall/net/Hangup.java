package deckfall.net;

import java.lang.reflect.Proxy;

/**
 * Hears SIGHUP, by which the platform says that it has replaced the configuration; left alone, the signal ends the
 * process. Only the unsupported {@code sun.misc.Signal} hears signals; it is found by name, as the compiler warns of
 * it without a way to agree.
 */
final class Hangup {
    private Hangup() {}

    static void onSignal(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object heard = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        if (!method.getName().equals("handle")) {
                            return method.invoke(action, args); // what every object has
                        }
                        action.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), heard);
        } catch (ReflectiveOperationException e) {
            Node.log("SIGHUP is not heard: " + e);
        }
    }
}
