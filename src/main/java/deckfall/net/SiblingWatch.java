package deckfall.net;

import deckfall.Gateway.CustomerSnapshot;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Tells the other processes of this gateway of this one, and learns of them, while one replaces the other. It has a
 * thread of its own, as files may be slow, and goes on whatever the folder's file system answers. Times in the files
 * are of the machine's monotonic clock, which all its processes share and no step of the wall clock moves.
 */
final class SiblingWatch {
    static final long MEMORY_MS = 1000; // that the event loop may take to hand its memory over
    private static final double NANOS_PER_MS = 1e6;

    /** How many processes there are, how many of them serve, and the connections that they hold together. */
    record SiblingCounts(int processes, int serving, int clientConnections, int hostConnections) {
        static final SiblingCounts NONE = new SiblingCounts(0, 0, 0, 0);
    }

    /** This process. */
    interface Gateway {
        boolean takesClients();

        int clientConnections();

        int hostConnections();

        /** What another process is to start from. */
        List<CustomerSnapshot> memory() throws InterruptedException, ExecutionException, TimeoutException;

        /** Called from the watch's thread. */
        void siblings(SiblingCounts seen);

        /** What the other processes can know of this one from now on; called from the watch's thread. */
        void told(SiblingCounts own);
    }

    private final SiblingFiles files;
    private final Clock clock;
    private final Gateway gateway;
    private boolean failing; // one line in the log for a spell of failures

    SiblingWatch(SiblingFiles files, Clock clock, Gateway gateway) {
        this.files = files;
        this.clock = clock;
        this.gateway = gateway;
    }

    static double monotonicMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    void start() {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, "siblings");
            t.setDaemon(true);
            return t;
        });
        executor.scheduleWithFixedDelay(this::look, 0, SiblingFiles.HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    void look() {
        try {
            exchange();
            failing = false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException
                | ExecutionException
                | TimeoutException
                | RuntimeException e) { // else no look would follow
            if (!failing) {
                Node.log("siblings: not told of this process, tried again: " + e);
            }
            failing = true;
        }
    }

    private void exchange() throws IOException, InterruptedException, ExecutionException, TimeoutException {
        List<SiblingFiles.Note> others = files.others(monotonicMs());
        int serving = (int) others.stream().filter(SiblingFiles.Note::serving).count();
        int clients = others.stream().mapToInt(SiblingFiles.Note::clients).sum();
        int hosts = others.stream().mapToInt(SiblingFiles.Note::hosts).sum();
        gateway.siblings(new SiblingCounts(others.size(), serving, clients, hosts)); // first, as the folder may be full
        boolean takes = gateway.takesClients();
        boolean asked = takes && serving < others.size(); // by one that starts
        int clientsNow = gateway.clientConnections();
        int hostsNow = gateway.hostConnections();
        files.write(new SiblingFiles.Note(
                ProcessHandle.current().pid(),
                monotonicMs(),
                takes,
                clientsNow,
                hostsNow,
                asked ? inMonotonicTime(gateway.memory()) : List.of()));
        gateway.told(new SiblingCounts(1, takes ? 1 : 0, clientsNow, hostsNow));
    }

    /** What a process that serves now remembers, for one that starts; empty where there is none. */
    List<CustomerSnapshot> memoryOfOther() {
        return files.others(monotonicMs()).stream()
                .filter(SiblingFiles.Note::serving)
                .findFirst()
                .map(note -> inClockTime(note.memory()))
                .orElse(List.of());
    }

    private List<CustomerSnapshot> inMonotonicTime(List<CustomerSnapshot> memory) {
        return shifted(memory, monotonicMs() - clock.now());
    }

    private List<CustomerSnapshot> inClockTime(List<CustomerSnapshot> memory) {
        return shifted(memory, clock.now() - monotonicMs());
    }

    private static List<CustomerSnapshot> shifted(List<CustomerSnapshot> memory, double laterMs) {
        return memory.stream().map(r -> r.shifted(laterMs)).toList();
    }

    void stop() {
        files.remove();
    }
}
