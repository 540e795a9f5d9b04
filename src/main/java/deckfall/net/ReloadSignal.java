package deckfall.net;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP from the start of the process on. Unhandled, the signal would end the process. A signal that arrives
 * during startup is acted on once startup is complete.
 */
final class ReloadSignal {
    private Runnable action; // null during startup
    private boolean pending;

    /** Installs the signal handler. */
    static ReloadSignal install() {
        ReloadSignal signal = new ReloadSignal();
        registerHandler(signal::onSignal);
        return signal;
    }

    /** Handles one signal: reloads, or marks it as pending during startup. */
    synchronized void onSignal() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /** Ends the startup phase: {@code reload} is called for each signal from here on, and at once if one is pending. */
    synchronized void setAction(Runnable reload) {
        action = reload;
        if (pending) {
            reload.run();
        }
    }

    /**
     * Registers a handler with the unsupported {@code sun.misc.Signal}, the only API for signals. It is loaded by name,
     * as the compiler warns of its use.
     */
    private static void registerHandler(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, args) -> {
                        if (!method.getName().equals("handle")) {
                            return method.invoke(action, args); // a method of Object
                        }
                        action.run();
                        return null;
                    });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), handlerProxy);
        } catch (ReflectiveOperationException e) {
            Node.log("SIGHUP is not handled: " + e);
        }
    }
}
