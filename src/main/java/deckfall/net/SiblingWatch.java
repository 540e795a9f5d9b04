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
 * Publishes the status of this process to the other processes of the gateway and reads theirs, while one process
 * replaces another. It runs on a thread of its own, as file access may be slow, and continues after any file system
 * error. Times in the files are of the machine's monotonic clock, which all of its processes share and which is not
 * affected by changes of the wall clock.
 */
final class SiblingWatch {
    static final long SNAPSHOT_TIMEOUT_MS = 1000; // for the event loop to return its customer state
    private static final double NANOS_PER_MS = 1e6;

    /** The number of processes, how many of them serve, and the connections they hold together. */
    record SiblingCounts(int processes, int serving, int clientConnections, int hostConnections) {
        static final SiblingCounts NONE = new SiblingCounts(0, 0, 0, 0);
    }

    /** The process that the watch publishes. */
    interface LocalProcess {
        boolean acceptsClients();

        int clientConnections();

        int hostConnections();

        /** The customer state from which a starting process begins. */
        List<CustomerSnapshot> snapshotCustomers() throws InterruptedException, ExecutionException, TimeoutException;

        /** Called with the counts of the other processes, on the watch's thread. */
        void onSiblings(SiblingCounts counts);

        /**
         * Called with the published counts of this process, which the others can read from now on, on the watch's
         * thread.
         */
        void onPublished(SiblingCounts own);
    }

    private final SiblingFiles files;
    private final Clock clock;
    private final LocalProcess localProcess;
    private boolean failureLogged; // one log line for failures in a row

    SiblingWatch(SiblingFiles files, Clock clock, LocalProcess localProcess) {
        this.files = files;
        this.clock = clock;
        this.localProcess = localProcess;
    }

    /** The machine's monotonic clock in milliseconds. */
    static double monotonicMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Starts the thread that polls and publishes. */
    void start() {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, "siblings");
            t.setDaemon(true);
            return t;
        });
        executor.scheduleWithFixedDelay(this::poll, 0, SiblingFiles.HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** Reads the files of the siblings once and writes that of this process. Failures are logged, not thrown. */
    void poll() {
        try {
            pollAndPublish();
            failureLogged = false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException
                | ExecutionException
                | TimeoutException
                | RuntimeException e) { // otherwise the executor would stop polling
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
        // Before the write, which fails if the disk is full
        localProcess.onSiblings(new SiblingCounts(siblings.size(), serving, clients, hosts));
        boolean acceptsClients = localProcess.acceptsClients();
        boolean snapshotRequested = acceptsClients && serving < siblings.size(); // by a sibling that is starting
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

    /** The customer state of a serving sibling, for a process that starts; empty if there is none. */
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
        return customers.stream().map(customer -> customer.shifted(laterMs)).toList();
    }

    /** Deletes the file of this process. */
    void stop() {
        files.remove();
    }
}
