package deckfall.scale;

import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stands in for discovery and the agents beside the gateways: the whole list at first, then changes, each told with
 * a delay of its own to each gateway and in order. What changes while it can't be reached is told at its return.
 */
final class DiscoveryStandIn {
    /** What a gateway hears. */
    interface Listener {
        void hosts(HostListKind kind, List<Host> hosts);
    }

    private static final class Agent {
        Listener listener;
        double toldAt;
        int told; // version
    }

    private final EventQueue queue;
    private final HollowOptions options;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final List<List<Host>> changes = new ArrayList<>(); // by version
    private final Agent[] agents;
    private final boolean[] silent;
    private long told;

    DiscoveryStandIn(EventQueue queue, HollowOptions options) {
        this.queue = queue;
        this.options = options;
        agents = new Agent[options.gateways];
        silent = new boolean[options.gateways];
    }

    /** Before anything is told. */
    void list(Host host) {
        hosts.put(host.id(), host);
    }

    /** A gateway starts: it has the whole list at once, from its agent or, where that is silent, as it was started. */
    void watch(int gateway, Listener listener) {
        Agent agent = new Agent();
        agent.listener = listener;
        agent.told = changes.size();
        agents[gateway] = agent;
        HostListKind kind = silent[gateway] ? HostListKind.CACHED : HostListKind.FULL;
        List<Host> all = List.copyOf(hosts.values());
        queue.scheduleAfter(0, () -> listener.hosts(kind, all));
    }

    void change(List<Host> changed) {
        for (Host h : changed) {
            hosts.put(h.id(), h);
            if (h.state() == deckfall.Gateway.HostState.GONE) {
                hosts.remove(h.id());
            }
        }
        changes.add(List.copyOf(changed));
        for (int g = 0; g < agents.length; g++) {
            tellLater(g);
        }
    }

    private void tellLater(int gateway) {
        Agent agent = agents[gateway];
        if (agent == null || silent[gateway]) {
            return;
        }
        double late = HashRandom.uniform(HashRandom.mix(options.seed, changes.size()), gateway) * options.discoveryMs;
        agent.toldAt = Math.max(agent.toldAt, queue.now() + late);
        queue.scheduleAt(agent.toldAt, () -> tell(gateway, agent));
    }

    private void tell(int gateway, Agent agent) {
        if (agent != agents[gateway] || silent[gateway] || agent.told == changes.size()) {
            return;
        }
        List<Host> news = new ArrayList<>();
        changes.subList(agent.told, changes.size()).forEach(news::addAll);
        agent.told = changes.size();
        told++;
        agent.listener.hosts(HostListKind.CHANGES, news);
    }

    void silence(int gateway, boolean now) {
        silent[gateway] = now;
        if (!now) {
            tellLater(gateway);
        }
    }

    long told() {
        return told;
    }
}
