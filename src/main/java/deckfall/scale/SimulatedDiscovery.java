package deckfall.scale;

import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates discovery and the agents beside the gateways. Each gateway first gets the full list of hosts and then the
 * changes in order, each after a delay of its own. Changes during an outage are delivered when it ends.
 */
final class SimulatedDiscovery {
    /** Receives the lists of hosts for one gateway. */
    interface Listener {
        void hostsUpdated(HostListKind kind, List<Host> hosts);
    }

    /** The state of discovery for one gateway process. */
    private static final class Agent {
        Listener listener;
        double lastDeliveryMs; // of the last scheduled delivery; the next one is not earlier
        int deliveredVersion; // number of changes delivered so far
    }

    private final EventQueue queue;
    private final SimulationOptions options;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final List<List<Host>> changes = new ArrayList<>(); // indexed by version
    private final Agent[] agents;
    private final boolean[] unreachable;
    private long listsDelivered;

    SimulatedDiscovery(EventQueue queue, SimulationOptions options) {
        this.queue = queue;
        this.options = options;
        agents = new Agent[options.gateways];
        unreachable = new boolean[options.gateways];
    }

    /** Adds a host to the initial list, before any list is delivered. */
    void addInitialHost(Host host) {
        hosts.put(host.id(), host);
    }

    /**
     * Registers a gateway that starts. It gets the full list at once: from its agent or, if that is unreachable, as the
     * cached list that it was started with.
     */
    void watch(int gateway, Listener listener) {
        Agent agent = new Agent();
        agent.listener = listener;
        agent.deliveredVersion = changes.size();
        agents[gateway] = agent;
        HostListKind kind = unreachable[gateway] ? HostListKind.CACHED : HostListKind.FULL;
        List<Host> allHosts = List.copyOf(hosts.values());
        queue.scheduleAfter(0, () -> listener.hostsUpdated(kind, allHosts));
    }

    /** Changes the list; each gateway gets the change after its delay. */
    void publish(List<Host> changedHosts) {
        for (Host host : changedHosts) {
            hosts.put(host.id(), host);
            if (host.state() == deckfall.Gateway.HostState.GONE) {
                hosts.remove(host.id());
            }
        }
        changes.add(List.copyOf(changedHosts));
        for (int gateway = 0; gateway < agents.length; gateway++) {
            scheduleDelivery(gateway);
        }
    }

    private void scheduleDelivery(int gateway) {
        Agent agent = agents[gateway];
        if (agent == null || unreachable[gateway]) {
            return;
        }
        double delayMs =
                HashRandom.uniform(HashRandom.mix(options.seed, changes.size()), gateway) * options.maxDiscoveryDelayMs;
        agent.lastDeliveryMs = Math.max(agent.lastDeliveryMs, queue.now() + delayMs);
        queue.scheduleAt(agent.lastDeliveryMs, () -> deliver(gateway, agent));
    }

    private void deliver(int gateway, Agent agent) {
        if (agent != agents[gateway] || unreachable[gateway] || agent.deliveredVersion == changes.size()) {
            return;
        }
        List<Host> newHosts = new ArrayList<>();
        changes.subList(agent.deliveredVersion, changes.size()).forEach(newHosts::addAll);
        agent.deliveredVersion = changes.size();
        listsDelivered++;
        agent.listener.hostsUpdated(HostListKind.CHANGES, newHosts);
    }

    /** Starts or ends an outage of discovery for one gateway. */
    void setUnreachable(int gateway, boolean unreachableNow) {
        unreachable[gateway] = unreachableNow;
        if (!unreachableNow) {
            scheduleDelivery(gateway);
        }
    }

    long listsDelivered() {
        return listsDelivered;
    }
}
