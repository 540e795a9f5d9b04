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
    static final long SNAPSHOT_TIMEOUT_MS = 1000; // that the event loop may take to hand its memory over
    private static final double NANOS_PER_MS = 1e6;

    /** How many processes there are, how many of them serve, and the connections that they hold together. */
    record SiblingCounts(int processes, int serving, int clientConnections, int hostConnections) {
        static final SiblingCounts NONE = new SiblingCounts(0, 0, 0, 0);
    }

    /** This process. */
    interface LocalProcess {
        boolean acceptsClients();

        int clientConnections();

        int hostConnections();

        /** What another process is to start from. */
        List<CustomerSnapshot> snapshotCustomers() throws InterruptedException, ExecutionException, TimeoutException;

        /** Called from the watch's thread. */
        void onSiblings(SiblingCounts seen);

        /** What the other processes can know of this one from now on; called from the watch's thread. */
        void onPublished(SiblingCounts own);
    }

    private final SiblingFiles files;
    private final Clock clock;
    private final LocalProcess localProcess;
    private boolean failureLogged; // one line in the log for a spell of failures

    SiblingWatch(SiblingFiles files, Clock clock, LocalProcess localProcess) {
        this.files = files;
        this.clock = clock;
        this.localProcess = localProcess;
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
        executor.scheduleWithFixedDelay(this::poll, 0, SiblingFiles.HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    void poll() {
        try {
            pollAndPublish();
            failureLogged = false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException
                | ExecutionException
                | TimeoutException
                | RuntimeException e) { // else no look would follow
            if (!failureLogged) {
                Node.log("siblings: not told of this process, tried again: " + e);
            }
            failureLogged = true;
        }
    }

    private void pollAndPublish() throws IOException, InterruptedException, ExecutionException, TimeoutException {
        List<SiblingFiles.Status> siblings = files.presentSiblings(monotonicMs());
        int serving =
                (int) siblings.stream().filter(SiblingFiles.Status::serving).count();
        int clients = siblings.stream().mapToInt(SiblingFiles.Status::clients).sum();
        int hosts = siblings.stream().mapToInt(SiblingFiles.Status::hosts).sum();
        localProcess.onSiblings(
                new SiblingCounts(siblings.size(), serving, clients, hosts)); // first, as the folder may be full
        boolean acceptsClients = localProcess.acceptsClients();
        boolean snapshotRequested = acceptsClients && serving < siblings.size(); // by one that starts
        int ownClients = localProcess.clientConnections();
        int ownHosts = localProcess.hostConnections();
        files.write(new SiblingFiles.Status(
                ProcessHandle.current().pid(),
                monotonicMs(),
                acceptsClients,
                ownClients,
                ownHosts,
                snapshotRequested ? inMonotonicTime(localProcess.snapshotCustomers()) : List.of()));
        localProcess.onPublished(new SiblingCounts(1, acceptsClients ? 1 : 0, ownClients, ownHosts));
    }

    /** What a process that serves now remembers, for one that starts; empty where there is none. */
    List<CustomerSnapshot> customersOfServingSibling() {
        return files.presentSiblings(monotonicMs()).stream()
                .filter(SiblingFiles.Status::serving)
                .findFirst()
                .map(status -> inClockTime(status.memory()))
                .orElse(List.of());
    }

    private List<CustomerSnapshot> inMonotonicTime(List<CustomerSnapshot> customers) {
        return shifted(customers, monotonicMs() - clock.now());
    }

    private List<CustomerSnapshot> inClockTime(List<CustomerSnapshot> customers) {
        return shifted(customers, clock.now() - monotonicMs());
    }

    private static List<CustomerSnapshot> shifted(List<CustomerSnapshot> customers, double laterMs) {
        return customers.stream().map(r -> r.shifted(laterMs)).toList();
    }

    void stop() {
        files.remove();
    }
}
