package deckfall.net;

import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.CustomerSnapshot;
import deckfall.Gateway.Events;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Request;
import deckfall.Gateway.Settings;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A decision module that only runs what a test supplies. */
class ScriptedModule implements Events {
    private final BiConsumer<Double, Request> onRequest;
    private final Consumer<AttemptResult> onAttemptEnded;

    ScriptedModule(BiConsumer<Double, Request> onRequest, Consumer<AttemptResult> onAttemptEnded) {
        this.onRequest = onRequest;
        this.onAttemptEnded = onAttemptEnded;
    }

    ScriptedModule(BiConsumer<Double, Request> onRequest) {
        this(onRequest, r -> {});
    }

    @Override
    public void start(double now, Settings settings) {}

    @Override
    public void hostsUpdated(double now, HostListKind kind, List<Host> hosts) {}

    @Override
    public void requestReceived(double now, Request r) {
        onRequest.accept(now, r);
    }

    @Override
    public void streamStarted(double now, String id, int attempt) {}

    @Override
    public void attemptEnded(double now, AttemptResult r) {
        onAttemptEnded.accept(r);
    }

    @Override
    public void clientDisconnected(double now, String id) {}

    @Override
    public void timerFired(double now, String token) {}

    @Override
    public void probeEnded(double now, String host, Outcome outcome, double latencyMs, double[] loadMetrics) {}

    @Override
    public void peerMessageReceived(double now, int sender, byte[] data) {}

    @Override
    public void counterCallEnded(double now, String counter, Outcome outcome, double total) {}

    @Override
    public void processCountChanged(double now, int processes) {}

    @Override
    public List<CustomerSnapshot> snapshotCustomers(double now) {
        return List.of();
    }

    @Override
    public void restoreCustomers(double now, List<CustomerSnapshot> snapshots) {}

    @Override
    public int avoidedHostCount(double now) {
        return 0;
    }
}
