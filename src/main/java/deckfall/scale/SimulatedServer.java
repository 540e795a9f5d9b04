package deckfall.scale;

import deckfall.Gateway.Host;
import deckfall.Gateway.HostState;
import deckfall.Gateway.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Simulates a seat server: slots for concurrent requests, a queue in front of them, and random service times, which are
 * longer while the server is cold. It can drain, terminate, become unreachable, or hang, which means that it accepts
 * work and sends no response.
 */
final class SimulatedServer {
    private static final int SERVICE_TIME_DRAW = 64; // index of a request's random number, offset by the attempt

    /** Whether the server takes work, and whether it can be reached. */
    enum State {
        SERVING,
        DRAINING,
        HANGING,
        TERMINATED,
        UNREACHABLE
    }

    /** An attempt that has arrived completely, with the callback for its end. */
    private record Work(ClientRequest.Attempt attempt, Consumer<Outcome> onEnd) {}

    final int index;
    final String id;
    final int zone;
    final int cell;
    private final EventQueue queue;
    private final SimulationOptions options;
    private final ArrayDeque<Work> queuedWork = new ArrayDeque<>();
    private final List<Work> activeWork = new ArrayList<>(2);
    private State state = State.SERVING;
    private double startedMs;
    private int generation;

    SimulatedServer(EventQueue queue, SimulationOptions options, int index, int zone, int cell, double startedMs) {
        this.queue = queue;
        this.options = options;
        this.index = index;
        this.zone = zone;
        this.cell = cell;
        this.startedMs = startedMs;
        id = "s-" + Long.toHexString(HashRandom.mix(options.seed, ~index) >>> 16);
    }

    State state() {
        return state;
    }

    /** The server as discovery lists it. */
    Host toHost() {
        HostState hostState = switch (state) {
            case DRAINING -> HostState.DRAINING;
            case TERMINATED, UNREACHABLE -> HostState.GONE;
            default -> HostState.RUNNING;
        };
        return new Host(id, NetworkTopology.zoneName(zone), "std", cell, hostState, 1, startedMs);
    }

    void drain() {
        state = State.DRAINING;
    }

    void setHanging(boolean hanging) {
        state = hanging ? State.HANGING : State.SERVING;
        if (!hanging) {
            endAllWork(Outcome.RESET); // the process is restarted
        }
    }

    /** Ends the process: connections are reset, new ones are refused. */
    void terminate() {
        state = State.TERMINATED;
        endAllWork(Outcome.RESET);
    }

    /** Takes the machine off the network: the work that it holds gets no response. */
    void becomeUnreachable() {
        state = State.UNREACHABLE;
        generation++;
        queuedWork.clear();
        activeWork.clear();
    }

    /** Brings the server back, cold and with the same id. */
    void restart() {
        state = State.SERVING;
        startedMs = queue.now();
    }

    private void endAllWork(Outcome outcome) {
        generation++;
        List<Work> endedWork = new ArrayList<>(activeWork);
        endedWork.addAll(queuedWork);
        activeWork.clear();
        queuedWork.clear();
        endedWork.forEach(work -> work.onEnd.accept(outcome));
    }

    /** Called when an attempt has arrived completely. */
    void accept(ClientRequest.Attempt attempt, Consumer<Outcome> onEnd) {
        Work work = new Work(attempt, onEnd);
        if (state == State.HANGING) {
            activeWork.add(work);
        } else if (state == State.DRAINING) {
            onEnd.accept(Outcome.FULL);
        } else if (activeWork.size() < options.slots()) {
            startWork(work);
        } else if (queuedWork.size() < options.slots() * options.queueSlotsFactor) {
            queuedWork.add(work);
        } else {
            onEnd.accept(Outcome.FULL);
        }
    }

    private void startWork(Work work) {
        activeWork.add(work);
        int startGeneration = generation;
        ClientRequest request = work.attempt.request;
        double serviceTimeFactor = HashRandom.exponential(
                HashRandom.mix(options.seed, request.number), SERVICE_TIME_DRAW + work.attempt.number);
        queue.scheduleAfter(options.serviceMs * serviceTimeFactor / capacity(), () -> {
            if (startGeneration == generation) {
                finishWork(work);
            }
        });
    }

    /** The share of the full capacity, which grows linearly during the warm-up. */
    private double capacity() {
        double warmShare = startedMs <= 0 ? 1 : Math.min(1, (queue.now() - startedMs) / options.serverWarmUpMs);
        return options.coldCapacity + (1 - options.coldCapacity) * warmShare;
    }

    private void finishWork(Work work) {
        activeWork.remove(work);
        work.onEnd.accept(Outcome.OK);
        while (!queuedWork.isEmpty() && activeWork.size() < options.slots()) {
            Work next = queuedWork.poll();
            if (!next.attempt.ended) { // skips attempts that have already ended
                startWork(next);
            }
        }
    }
}
