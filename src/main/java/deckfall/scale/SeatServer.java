package deckfall.scale;

import deckfall.Gateway.Host;
import deckfall.Gateway.HostState;
import deckfall.Gateway.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Stands in for a seat server: slots for requests in work, a line before them, service times by chance, slower while
 * it is cold. It may drain, die, vanish from the network or take work and answer nothing.
 */
final class SeatServer {
    enum State {
        SERVING,
        DRAINING,
        HANGING,
        DEAD,
        VANISHED
    }

    /** A copy of a request that came whole, and who waits for its end. */
    private record Work(ClientRequest.Attempt attempt, Consumer<Outcome> end) {}

    final int index;
    final String id;
    final int zone;
    final int cell;
    private final EventQueue queue;
    private final HollowOptions options;
    private final ArrayDeque<Work> line = new ArrayDeque<>();
    private final List<Work> inWork = new ArrayList<>(2);
    private State state = State.SERVING;
    private double startedMs;
    private int life;

    SeatServer(EventQueue queue, HollowOptions options, int index, int zone, int cell, double startedMs) {
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

    Host listed() {
        HostState told = switch (state) {
            case DRAINING -> HostState.DRAINING;
            case DEAD, VANISHED -> HostState.GONE;
            default -> HostState.RUNNING;
        };
        return new Host(id, NetworkTopology.zoneName(zone), "std", cell, told, 1, startedMs);
    }

    void drain() {
        state = State.DRAINING;
    }

    void hang(boolean now) {
        state = now ? State.HANGING : State.SERVING;
        if (!now) {
            end(Outcome.RESET); // as the process is started anew
        }
    }

    /** Its process ends: connections are reset, new ones are refused. */
    void die() {
        state = State.DEAD;
        end(Outcome.RESET);
    }

    /** Its machine is gone from the network: nothing more is heard of what it holds. */
    void vanish() {
        state = State.VANISHED;
        life++;
        line.clear();
        inWork.clear();
    }

    /** Back with the same id, cold. */
    void restart() {
        state = State.SERVING;
        startedMs = queue.now();
    }

    private void end(Outcome outcome) {
        life++;
        List<Work> ended = new ArrayList<>(inWork);
        ended.addAll(line);
        inWork.clear();
        line.clear();
        ended.forEach(w -> w.end.accept(outcome));
    }

    /** A copy has come whole. */
    void take(ClientRequest.Attempt attempt, Consumer<Outcome> end) {
        Work work = new Work(attempt, end);
        if (state == State.HANGING) {
            inWork.add(work);
        } else if (state == State.DRAINING) {
            end.accept(Outcome.FULL);
        } else if (inWork.size() < options.slots()) {
            begin(work);
        } else if (line.size() < options.slots() * options.queueSlots) {
            line.add(work);
        } else {
            end.accept(Outcome.FULL);
        }
    }

    private void begin(Work work) {
        inWork.add(work);
        int sameLife = life;
        ClientRequest t = work.attempt.request;
        double drawn = HashRandom.exponential(HashRandom.mix(options.seed, t.number), 64 + work.attempt.number);
        queue.scheduleAfter(options.serviceMs * drawn / capacity(), () -> {
            if (sameLife == life) {
                finish(work);
            }
        });
    }

    private double capacity() {
        double warm = startedMs <= 0 ? 1 : Math.min(1, (queue.now() - startedMs) / options.warmMs);
        return options.coldFrom + (1 - options.coldFrom) * warm;
    }

    private void finish(Work work) {
        inWork.remove(work);
        work.end.accept(Outcome.OK);
        while (!line.isEmpty() && inWork.size() < options.slots()) {
            Work next = line.poll();
            if (!next.attempt.ended) { // else it is over already
                begin(next);
            }
        }
    }
}
