package deckfall.net;

import java.lang.reflect.Proxy;

/**
 * SIGHUP from the first moment of a process on: left alone it ends the process, and one that comes during the start is
 * acted on once the start is over.
 */
final class ReloadSignal {
    private Runnable action; // null during the start
    private boolean pending;

    /** Begins to hear the signal. */
    static ReloadSignal heard() {
        ReloadSignal signal = new ReloadSignal();
        hear(signal::raised);
        return signal;
    }

    synchronized void raised() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /** The start is over: {@code reload} is called for each signal from here on, and at once for one before. */
    synchronized void actsBy(Runnable reload) {
        action = reload;
        if (pending) {
            reload.run();
        }
    }

    /** Only the unsupported {@code sun.misc.Signal} hears signals; it is found by name, as the compiler warns of it. */
    private static void hear(Runnable action) {
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
