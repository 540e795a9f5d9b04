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
    static ReloadSignal install() {
        ReloadSignal signal = new ReloadSignal();
        registerHandler(signal::onSignal);
        return signal;
    }

    synchronized void onSignal() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /** The start is over: {@code reload} is called for each signal from here on, and at once for one before. */
    synchronized void setAction(Runnable reload) {
        action = reload;
        if (pending) {
            reload.run();
        }
    }

    /** Only the unsupported {@code sun.misc.Signal} hears signals; it is found by name, as the compiler warns of it. */
    private static void registerHandler(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, args) -> {
                        if (!method.getName().equals("handle")) {
                            return method.invoke(action, args); // what every object has
                        }
                        action.run();
                        return null;
                    });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), handlerProxy);
        } catch (ReflectiveOperationException e) {
            Node.log("SIGHUP is not heard: " + e);
        }
    }
}
