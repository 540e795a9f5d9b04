package deckfall.net;

import deckfall.DecisionModule;
import deckfall.Gateway.Actions;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.CustomerSnapshot;
import deckfall.Gateway.Effect;
import deckfall.Gateway.Events;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Refusal;
import deckfall.Gateway.Request;
import deckfall.Gateway.RequestClass;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/**
 * One API gateway process: the event loop on which all of its work runs, the clock, the timers, the decision module and
 * the table of open requests. It carries out the actions of the decision module and reports their results to it as
 * events.
 */
public final class Node implements Actions {
    // for the response to reach the client before the client's deadline
    private static final double RESPONSE_MARGIN_MS = 20;
    private static final long SHUTDOWN_TIMEOUT_MS = 30_000; // after SIGTERM, enough for long responses to end
    private static final long FINAL_TALLY_TIMEOUT_MS = 100; // for the last tally line to be logged
    private static final long DRAIN_POLL_INTERVAL_MS = 20; // how often a drain checks whether all requests are answered
    private static final long GAUGE_INTERVAL_MS = 100; // how often the metrics of current values are updated
    private static final int HELD_HEAP_DIVISOR = 4; // what peers make the node hold may use 1/4 of the heap
    private static final int HEAP_MEMORY_DIVISOR = 4; // and the heap counts as at most 1/4 of the process's memory
    private static final double MICROS_PER_MS = 1000;
    private static final double[] NO_LOAD_METRICS = new double[0];

    /** An event to be delivered to the decision module. */
    private interface Event {
        void deliver(double now, Events module);
    }

    final NodeConfig config;
    final Clock clock;
    final EventLoopLag eventLoopLag = new EventLoopLag();
    final NioEventLoopGroup group =
            new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), () -> eventLoopLag);
    final EventLoop loop = group.next();
    final Tally tally = new Tally();
    final MemoryBudget memoryBudget;
    final Metrics metrics;
    private final Events module;
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private final SentRequests sentRequests = new SentRequests();
    private final Set<String> classesRunOnce; // of which a request must never run twice
    private final ClientServer clientServer;
    private final HostClient hostClient;
    private final Discovery discovery;
    private final PeerLink peerLink;
    private final CounterClient counterClient;
    private final Drain drain;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean delivering;
    private volatile boolean serving;
    private boolean warmingUp;
    private ConfigReloader reloader; // null if the configuration was not read from a file
    private SiblingWatch siblingWatch; // set before start() if another process may serve as this gateway; else null
    private List<CustomerSnapshot> restoredCustomers = List.of();
    private int servingProcesses = 1;
    private SiblingWatch.SiblingCounts siblings = SiblingWatch.SiblingCounts.NONE;
    // the counts of this process in its last published file
    private SiblingWatch.SiblingCounts lastPublished = SiblingWatch.SiblingCounts.NONE;
    private volatile boolean terminating; // after SIGTERM; an operator's resume does not revert it
    private boolean drainExpired; // the drain's time is up: no further attempts are sent
    private long duplicateIds;

    Node(NodeConfig config) {
        this(config, DecisionModule::new);
    }

    /** Creates a node with the decision module that {@code moduleFactory} returns. */
    Node(NodeConfig config, Function<Actions, Events> moduleFactory) {
        this(config, moduleFactory, new Clock());
    }

    Node(NodeConfig config, Function<Actions, Events> moduleFactory, Clock clock) {
        this.config = config;
        this.clock = clock;
        this.memoryBudget = new MemoryBudget(heldBytesLimit(config), config.sockets());
        this.metrics = new Metrics(config.settings().classes());
        this.classesRunOnce = config.settings().classes().stream()
                .filter(requestClass -> requestClass.effect() == Effect.ONCE)
                .map(RequestClass::name)
                .collect(Collectors.toUnmodifiableSet());
        this.module = moduleFactory.apply(this);
        this.clientServer = new ClientServer(this);
        this.hostClient = new HostClient(this);
        this.discovery = new Discovery(this);
        this.peerLink = new PeerLink(this);
        this.counterClient = new CounterClient(this);
        this.drain = new Drain(loop, clock, clientServer);
    }

    /** The memory that peers may make this node hold, by the process's memory limit and the heap that it was given. */
    private static long heldBytesLimit(NodeConfig config) {
        long heapBytes = Math.min(Runtime.getRuntime().maxMemory(), config.memoryBytes() / HEAP_MEMORY_DIVISOR);
        return heapBytes / HELD_HEAP_DIVISOR;
    }

    /** Reloads the configuration file. Thread-safe. */
    void reload() {
        reloader.reload();
    }

    /**
     * Applies the settings of a reloaded configuration that may change while the node serves: the addresses of
     * discovery and of the counter.
     */
    private void applyConfig(NodeConfig newConfig) {
        log("configuration read again: discovery at " + newConfig.discovery());
        loop.execute(() -> {
            discovery.moveTo(newConfig.discovery());
            counterClient.moveTo(newConfig.counter());
        });
    }

    /** Sets the file that {@link #reload} reads. */
    void setConfigFile(Path file) {
        reloader = new ConfigReloader(file, this::applyConfig);
    }

    /**
     * Reloads the configuration if discovery cannot be reached. Its address may have changed without a SIGHUP that this
     * process handled, for example if the file was replaced just after startup had read it.
     */
    void discoveryUnreachable() {
        if (reloader != null) {
            log("discovery can't be had");
            reload();
        }
    }

    /** Records that clients are served from now on. */
    void markServing() {
        serving = true;
    }

    /** Starts the node. Returns once it serves clients at the configured address. */
    void start() throws IOException {
        start(null, new StartupTimes(clock));
        serving = true;
    }

    /** Starts the node. Returns once it accepts clients, on the inherited listener if there is one. */
    void start(ServerSocketChannel inherited, StartupTimes startupTimes) throws IOException {
        try {
            loop.submit(() -> {
                        deliver((now, m) -> m.start(now, config.settings()));
                        deliver((now, m) -> m.restoreCustomers(now, restoredCustomers));
                        peerLink.start();
                        if (config.knownList().hasNonNull(Discovery.SERVERS_FIELD)) {
                            hostListReceived(HostListKind.CACHED, Discovery.parseEntries(config.knownList()));
                        }
                        discovery.start();
                        counterClient.start();
                        repeat(Tally.PERIOD_MS, "tally", this::logTally);
                        repeat(GAUGE_INTERVAL_MS, "gauges", this::updateGauges);
                    })
                    .sync();
            startupTimes.phaseEnded("module and known list"); // the counter's connect is started and not awaited
            if (!warmingUp) { // during a warm-up the node itself is its discovery address
                discovery.awaitFirstList();
            }
            startupTimes.phaseEnded("discovery");
            StartupRetry.withRetries(
                    "listener not opened",
                    () -> loop.submit(() -> listen(inherited)).sync().getNow().sync());
            startupTimes.phaseEnded("listener");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // Netty rethrows the original exception, checked or unchecked
            throw new IOException("can't start: " + e.getMessage(), e);
        }
    }

    private Future<?> listen(ServerSocketChannel inherited) {
        return terminating ? loop.newSucceededFuture(null) : clientServer.start(inherited);
    }

    /**
     * Runs the action on the event loop, at once if called there. Netty reports a connect for which no descriptor was
     * left on another thread, where no code of this node may run.
     */
    void runOnLoop(Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
        } else {
            loop.execute(action);
        }
    }

    /** Runs an action on the event loop again and again, also after it has thrown an exception or error. */
    void repeat(long intervalMs, String name, Runnable action) {
        loop.scheduleAtFixedRate(
                ErrorReport.contain(name + " failed", action), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    static void log(String line) {
        System.err.println(line);
    }

    private void logTally() {
        String line = tally.takeLine();
        if (line != null && !warmingUp) {
            log(line);
        }
    }

    // ---- events for the decision module

    /**
     * Delivers events to the decision module in order and never reentrantly: an event that an action of the module
     * causes is queued until the module has returned.
     */
    private void deliver(Event event) {
        assert loop.inEventLoop() : "called outside the event loop";
        pendingEvents.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        eventLoopLag.observeDelayMs(); // a loop iteration that only runs timers has no I/O
        try {
            for (Event next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                try {
                    next.deliver(clock.now(), module);
                } catch (RuntimeException | Error e) { // the deadline timer still answers the request
                    ErrorReport.report("the decision module failed", e);
                }
            }
        } finally {
            delivering = false;
        }
    }

    /**
     * Starts to publish this process to, and to read about, the other processes of this gateway, through files in
     * {@code folder}.
     */
    SiblingWatch watchSiblings(Path folder) {
        SiblingFiles files = new SiblingFiles(folder, ProcessHandle.current().pid());
        sentRequests.shareIn(
                new SentRequestsFile(folder, ProcessHandle.current().pid()));
        siblingWatch = new SiblingWatch(files, clock, new SiblingWatch.LocalProcess() {
            @Override
            public boolean acceptsClients() {
                return serving && !terminating;
            }

            @Override
            public int clientConnections() {
                return clientServer.connectionCount();
            }

            @Override
            public int hostConnections() {
                return hostClient.connections();
            }

            @Override
            public List<CustomerSnapshot> snapshotCustomers()
                    throws InterruptedException, ExecutionException, TimeoutException {
                return loop.submit(() -> module.snapshotCustomers(clock.now()))
                        .get(SiblingWatch.SNAPSHOT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }

            @Override
            public void onSiblings(SiblingWatch.SiblingCounts counts) {
                sentRequests.findSiblingFiles();
                loop.execute(() -> siblingsChanged(counts));
            }

            @Override
            public void onPublished(SiblingWatch.SiblingCounts own) {
                loop.execute(() -> lastPublished = own);
            }
        });
        siblingWatch.start();
        return siblingWatch;
    }

    private void siblingsChanged(SiblingWatch.SiblingCounts counts) {
        siblings = counts;
        updateProcessCount(1 + counts.serving());
    }

    private void updateProcessCount(int count) {
        if (count != servingProcesses && serving) {
            log("processes serving as this gateway: " + count);
            servingProcesses = count;
            deliver((now, m) -> m.processCountChanged(now, count));
        }
    }

    /** The counts of the other processes of this gateway, as last read. */
    SiblingWatch.SiblingCounts siblings() {
        return siblings;
    }

    /** The number of client connections of all processes of this gateway together. */
    int totalClientConnections() {
        return clientServer.descriptorsHeld();
    }

    /** The number of host connections of all processes of this gateway together. */
    int totalHostConnections() {
        return hostClient.totalConnections();
    }

    /**
     * An upper bound on the connections of this process and its siblings together. Since this process last published
     * its own number, each sibling may have opened as many more as this process has.
     */
    int totalAcrossProcesses(int ownConnections, ToIntFunction<SiblingWatch.SiblingCounts> connections) {
        int growth = Math.max(0, ownConnections - connections.applyAsInt(lastPublished));
        return ownConnections + connections.applyAsInt(siblings) + growth * siblings.processes();
    }

    /**
     * Reads the customer state of a serving sibling. It is split between the processes as soon as this one serves as
     * well.
     */
    void readSiblingCustomers() {
        if (siblingWatch != null) {
            sentRequests.findSiblingFiles();
            restoredCustomers = siblingWatch.customersOfServingSibling();
            log("restored " + restoredCustomers.size() + " customers from a sibling process");
        }
    }

    private void updateGauges() {
        ErrorReport.refillReserve();
        metrics.targets(hostClient.hostCount(), module.avoidedHostCount(clock.now()));
        metrics.memory(memoryBudget.usedBytes(), memoryBudget.limitBytes());
    }

    /** Whether the node drains, after SIGTERM or on an operator's request. */
    boolean draining() {
        return drain.active();
    }

    /**
     * Records the end of a client connection. Requests without a response are a defect, unless the client itself closed
     * the connection or the connection broke.
     */
    void connectionClosed(CloseReason reason, int unanswered) {
        tally.addClose(reason);
        if (unanswered > 0 && reason != CloseReason.CLIENT && reason != CloseReason.BROKEN) {
            tally.add(Tally.Count.CLOSED_UNANSWERED);
            log("defect: " + unanswered + " requests unanswered on a connection closed as " + reason);
        }
    }

    /** Records that a connection had to give up what it held, as the memory budget was used up. */
    void recordMemoryRejection(MemoryUse use) {
        metrics.recordMemoryRejection(use);
        tally.addMemoryRejection(use);
    }

    /** The commands of the operator's address. */
    OperatorServer.Commands operatorCommands() {
        return new OperatorServer.Commands() {
            @Override
            public String notReadyReason() {
                return !serving ? "not ready yet" : drain.active() ? "draining" : null;
            }

            @Override
            public String metrics() {
                return metrics.text();
            }

            @Override
            public void quiesce() {
                log("operator: quiesce");
                drain.begin();
            }

            @Override
            public void resume() {
                log("operator: resume");
                if (!terminating) {
                    drain.resume();
                }
            }
        };
    }

    /**
     * Marks this node as a warm-up node, which reports itself as not ready to clients. Call before {@link #start()}.
     */
    void markAsWarmUp() {
        warmingUp = true;
    }

    boolean warmingUp() {
        return warmingUp;
    }

    /** Whether the node is ready for clients. */
    boolean ready() {
        return serving && !drain.active() && !warmingUp;
    }

    /**
     * Accepts a request from a client, complete or with the part of its body that is buffered so far. The new entry
     * owns the message from here on. The client's deadline counts from the last byte of its request; the decision module
     * is given the earliest one possible, which results if that byte is already on its way.
     */
    void requestReceived(Request request, double receivedMs, IncomingRequest message, ClientConnection client) {
        String id = request.id();
        if (repeatsSentRequest(request)) {
            tally.note(Tally.Count.REPEATED_ID, id, "none", "it may have run, and must not run again");
            metrics.recordResult(request.requestClass(), Metrics.Result.ERROR);
            message.release();
            client.respond(HttpResponseStatus.BAD_GATEWAY, 0);
            return;
        }
        while (openRequests.containsKey(id)) { // the module identifies requests by id, and a client may repeat an id
            id = request.id() + '#' + ++duplicateIds;
        }
        Request delivered = id.equals(request.id()) ? request : withId(request, id);
        OpenRequest entry = new OpenRequest(delivered, message, request.id(), client);
        entry.countFrom(receivedMs);
        openRequests.put(id, entry);
        metrics.requestOpened();
        tally.add(Tally.Count.TAKEN);
        client.setOpenRequest(entry);
        scheduleDeadline(entry);
        deliver((now, m) -> deliverRequest(now, m, delivered, client));
    }

    /** Whether a request with the same id may have run, or may yet, and must not run twice. */
    private boolean repeatsSentRequest(Request request) {
        return classesRunOnce.contains(request.requestClass())
                && (openRequests.containsKey(request.id()) || sentRequests.contains(request.id()));
    }

    private boolean mustRunOnce(Attempt attempt) {
        return classesRunOnce.contains(attempt.openRequest.request.requestClass());
    }

    private static void deliverRequest(double now, Events module, Request request, ClientConnection client) {
        try {
            module.requestReceived(now, request);
        } catch (Error e) { // its request may never be answered
            client.closeOnError(e);
        }
    }

    private static Request withId(Request request, String id) {
        return new Request(
                id,
                request.deadlineMs(),
                request.retry(),
                request.requestClass(),
                request.customer(),
                request.plan(),
                request.units(),
                request.first(),
                request.spread());
    }

    private void scheduleDeadline(OpenRequest openRequest) {
        double remainingMs = openRequest.deadlineMs() - clock.now();
        openRequest.deadlineTimer = openRequest.message.complete()
                ? loop.schedule(() -> deadlineReached(openRequest), toMicros(remainingMs), TimeUnit.MICROSECONDS)
                : loop.schedule(
                        () -> checkIncompleteBody(openRequest),
                        toMicros(remainingMs - UnreadBytes.SETTLE_MS),
                        TimeUnit.MICROSECONDS);
    }

    /**
     * Finds out, shortly before the deadline of a request whose body has not been read to its end, whether its client has
     * sent the end. If not, the deadline is extended.
     */
    private void checkIncompleteBody(OpenRequest openRequest) {
        openRequest.readBodyAhead();
        if (openRequest.message.complete() || openRequest.closed()) {
            return; // the timer was set anew, or is not needed
        }
        openRequest.deadlineTimer = loop.schedule(
                () -> deadlineReached(openRequest), toMicros(UnreadBytes.SETTLE_MS + 1), TimeUnit.MICROSECONDS);
    }

    /** The last byte of a request has been read whose body was still incomplete when it was accepted. */
    void bodyReceived(OpenRequest openRequest, double receivedMs) {
        openRequest.extendDeadline(receivedMs);
        if (!openRequest.closed()) {
            openRequest.deadlineTimer.cancel(false);
            scheduleDeadline(openRequest);
        }
    }

    /**
     * The time by which the response must be sent to a client that waits for {@code expiresInMs} from the time it sent
     * its request.
     */
    static double deadline(double now, double expiresInMs) {
        return now + Math.max(1, expiresInMs - RESPONSE_MARGIN_MS);
    }

    private static long toMicros(double ms) {
        return (long) (Math.max(0, ms) * MICROS_PER_MS);
    }

    /** The open request with this id; null if there is none. */
    OpenRequest openRequest(String id) {
        return openRequests.get(id);
    }

    /** Whether as many requests are open as the configuration allows. */
    boolean openLimitReached() {
        return openRequests.size() >= config.maxOpenRequests();
    }

    /**
     * Ends all attempts at the client's deadline. A request that the decision module then leaves unanswered fails here,
     * so that each request gets exactly one response.
     */
    private void deadlineReached(OpenRequest openRequest) {
        boolean extended = !openRequest.message.complete() && clock.now() < openRequest.deadlineMs();
        if (extended && !openRequest.closed()) {
            scheduleDeadline(openRequest);
            return;
        }
        abandonAttempts(openRequest, AbandonReason.DEADLINE);
        if (!openRequest.closed()) {
            log("defect: no response from the decision module by the deadline, request failed");
            respond(openRequest, HttpResponseStatus.GATEWAY_TIMEOUT, 0);
        }
    }

    /** Ends all attempts, unless one of them has a response in progress that is passed on. */
    private void abandonAttempts(OpenRequest openRequest, AbandonReason reason) {
        List<Attempt> attempts = List.copyOf(openRequest.attempts);
        attempts.forEach(attempt -> passOnResponse(attempt, reason));
        attempts.forEach(attempt -> abandonAttempt(attempt, reason));
    }

    /**
     * Passes on the response of an attempt that would be ended in the middle of it, if that must not be cut off. Returns
     * whether the attempt has ended so.
     */
    private boolean passOnResponse(Attempt attempt, AbandonReason reason) {
        if (attempt.ended || attempt.openRequest.closed()) {
            return false;
        }
        String progress = attempt.responseProgress();
        boolean passedOn = attempt.passOnResponse();
        if (passedOn) {
            tally.note(Tally.Count.RESPONSE_PASSED_ON, attempt.traceId(), attempt.host, reason + ", " + progress);
        }
        return passedOn;
    }

    /** Ends an attempt. If it was still waiting for a connection, it never ran and ends as {@code CONNECT_FAILED}. */
    private void abandonAttempt(Attempt attempt, AbandonReason reason) {
        if (!passOnResponse(attempt, reason) && !attempt.ended) {
            recordProgress(attempt, reason);
            attempt.abandon();
            attemptEnded(attempt, attempt.started() ? reason.outcome() : Outcome.CONNECT_FAILED, null);
        }
    }

    /** Records how far an attempt that is abandoned had come, if a part of a message would be lost with it. */
    private void recordProgress(Attempt attempt, AbandonReason reason) {
        String response = attempt.responseProgress();
        if (response != null) {
            metrics.recordAbandonedResponse(reason);
            tally.note(Tally.Count.RESPONSE_ABANDONED, attempt.traceId(), attempt.host, reason + ", " + response);
        }
        if (attempt.started() && attempt.openRequest.message.streamed() && !attempt.requestWritten()) {
            metrics.recordUnsentBody(reason);
            tally.note(
                    Tally.Count.BODY_UNSENT,
                    attempt.traceId(),
                    attempt.host,
                    reason + ", " + attempt.openRequest.message.progress());
        }
    }

    /**
     * Ends the attempts that still wait for a connection once no client waits for the request: they must not be sent
     * when their connection comes up, whether they may be cancelled or not.
     */
    private void cancelUnsentAttempts(OpenRequest openRequest) {
        for (Attempt attempt : List.copyOf(openRequest.attempts)) {
            if (!attempt.ended && !attempt.started()) {
                attempt.abandon();
                attemptEnded(attempt, Outcome.MOOT, null);
            }
        }
    }

    /** The client has disconnected: the request is closed, and attempts that were not sent yet end. */
    void clientDisconnected(OpenRequest openRequest) {
        if (openRequest.closed()) {
            return;
        }
        closeRequest(openRequest);
        tally.add(Tally.Count.CLIENT_LEFT);
        cancelUnsentAttempts(openRequest);
        deliver((now, m) -> m.clientDisconnected(now, openRequest.request.id()));
        removeIfDone(openRequest);
    }

    /** Ends an attempt, once. The first complete response with status 200 is passed to the client unchanged. */
    void attemptEnded(Attempt attempt, Outcome outcome, FullHttpResponse response) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        OpenRequest openRequest = attempt.openRequest;
        if (outcome == Outcome.OK) {
            ClientConnection client = closeRequest(openRequest);
            if (client != null) {
                tally.add(Tally.Count.SERVED);
                metrics.recordResult(openRequest.request.requestClass(), Metrics.Result.SUCCESS);
                client.sendResponse(response);
            }
        }
        reportAttempt(attempt, outcome, response);
    }

    /**
     * Reports the end of an attempt to the decision module, with the load metrics and the quota use from the head of
     * the response if there is one.
     */
    private void reportAttempt(Attempt attempt, Outcome outcome, HttpResponse response) {
        tally.addAttempt(outcome);
        if (outcome.neverRan()) {
            attempt.markNeverRan();
            if (attempt.started() && mustRunOnce(attempt)) {
                sentRequests.forget(attempt.traceId());
            }
        }
        OpenRequest openRequest = attempt.openRequest;
        openRequest.attemptsInFlight--;
        boolean closed = openRequest.closed();
        double latencyMs = clock.now() - attempt.sentAtMs;
        double[] loadMetrics =
                response == null ? NO_LOAD_METRICS : hostClient.responseReader().loadMetrics(response);
        int meterReading = response == null ? 0 : hostClient.responseReader().meterReading(response);
        deliver((now, m) -> m.attemptEnded(
                now,
                new AttemptResult(
                        openRequest.request.id(),
                        attempt.number,
                        attempt.host,
                        outcome,
                        latencyMs,
                        closed,
                        meterReading,
                        0,
                        loadMetrics)));
        removeIfDone(openRequest);
    }

    /**
     * Ends the request. Returns the client to answer to the first caller and null to all later ones, so that a request
     * gets only one response.
     */
    private ClientConnection closeRequest(OpenRequest openRequest) {
        if (!openRequest.closed()) {
            metrics.requestClosed();
        }
        return openRequest.close();
    }

    /**
     * Starts to stream a response that is too long to be buffered. The host has finished its work by then, which is
     * what counts for the decision module. Returns null if no client waits for the response. The request counts as open
     * until the transfer ends.
     */
    ResponseTransfer responseStarted(Attempt attempt, HttpResponse head, ResponseTransfer.Source source) {
        if (attempt.ended) {
            return null;
        }
        attempt.ended = true;
        OpenRequest openRequest = attempt.openRequest;
        ClientConnection client = openRequest.close();
        ResponseTransfer transfer = client == null
                ? null
                : new ResponseTransfer(
                        this,
                        openRequest.request.requestClass(),
                        client,
                        source,
                        HttpUtil.getContentLength(head, ResponseStreamingPolicy.UNKNOWN_LENGTH));
        if (transfer != null) {
            client.beginResponse(head, transfer);
        }
        reportAttempt(attempt, Outcome.OK, head);
        return transfer;
    }

    /** Records the end of a response transfer; {@code result} is null if the client closed its connection. */
    void transferEnded(String requestClass, Metrics.Result result) {
        metrics.requestClosed();
        if (result != null) {
            metrics.recordResult(requestClass, result);
            tally.add(result == Metrics.Result.SUCCESS ? Tally.Count.SERVED : Tally.Count.CUT_OFF);
        }
    }

    private void removeIfDone(OpenRequest openRequest) {
        if (openRequest.closed()
                && openRequest.attemptsInFlight == 0
                && openRequests.remove(openRequest.request.id(), openRequest)) {
            openRequest.deadlineTimer.cancel(false);
            openRequest.message.release();
        }
    }

    /** Applies a list of hosts and passes it to the decision module. */
    void hostListReceived(HostListKind kind, List<Discovery.Entry> entries) {
        Runnable rejectWaiting = hostClient.updateHosts(kind, entries);
        List<Host> list = new ArrayList<>(entries.size());
        entries.forEach(e -> list.add(e.host()));
        deliver((now, m) -> m.hostsUpdated(now, kind, list));
        rejectWaiting.run();
    }

    void probeEnded(String host, Outcome outcome, double latencyMs, double[] loadMetrics) {
        deliver((now, m) -> m.probeEnded(now, host, outcome, latencyMs, loadMetrics));
    }

    void counterCallEnded(String counter, Outcome outcome, double total) {
        tally.addCounterCall(outcome);
        deliver((now, m) -> m.counterCallEnded(now, counter, outcome, total));
    }

    void peerMessageReceived(int sender, byte[] data) {
        deliver((now, m) -> m.peerMessageReceived(now, sender, data));
    }

    // ---- actions of the decision module

    @Override
    public void send(String id, String host, double timeoutMs) {
        OpenRequest openRequest = openRequests.get(id);
        if (openRequest == null) {
            return;
        }
        double now = clock.now();
        Attempt attempt = new Attempt(this, openRequest, host, now);
        openRequest.attempts.add(attempt);
        openRequest.attemptsInFlight++;
        if (!maySend(attempt)) {
            return;
        }
        if (timeoutMs > 0) {
            loop.schedule(
                    () -> abandonAttempt(attempt, AbandonReason.ATTEMPT_TIMEOUT),
                    toMicros(timeoutMs),
                    TimeUnit.MICROSECONDS);
        }
        hostClient.send(attempt);
    }

    /** Whether an attempt may be sent now. An attempt that may not be sent ends as one that never ran. */
    boolean maySend(Attempt attempt) {
        DispatchRule.Verdict verdict = DispatchRule.check(
                attempt.openRequest,
                attempt.number,
                clock.now(),
                config.settings().limits().maxAttempts(),
                drainExpired);
        if (verdict == DispatchRule.Verdict.ALLOWED) {
            return true;
        }
        tally.notSent(verdict);
        if (verdict == DispatchRule.Verdict.CLIENT_GONE) {
            clientDisconnected(attempt.openRequest); // ends all attempts that have not started
        }
        if (!attempt.ended) {
            attempt.abandon();
            attemptEnded(attempt, Outcome.MOOT, null);
        }
        return false;
    }

    /**
     * Called before the first byte of an attempt is written. Checks that {@link #maySend} was obeyed: no byte is written
     * for a request that has ended.
     */
    void beforeWrite(Attempt attempt) {
        if (mustRunOnce(attempt)) {
            sentRequests.record(attempt.traceId());
        }
        if (attempt.ended || attempt.openRequest.closed() || drainExpired) {
            tally.add(Tally.Count.SENT_AFTER_END);
            log("defect: request " + attempt.openRequest.traceId + " sent to " + attempt.host + " after its end");
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        OpenRequest openRequest = openRequests.get(id);
        // The module cancels an attempt to try elsewhere, which a body that was streamed does not allow
        boolean useless = openRequest != null && !openRequest.closed() && openRequest.message.streamed();
        if (openRequest != null && !useless && attempt >= 0 && attempt < openRequest.attempts.size()) {
            abandonAttempt(openRequest.attempts.get(attempt), AbandonReason.CANCELLED);
        }
    }

    @Override
    public void refuse(String id, double retryAfterMs, Refusal reason) {
        if (openRequests.containsKey(id)) {
            tally.addRefusal(reason);
        }
        respond(openRequests.get(id), HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
    }

    @Override
    public void fail(String id) {
        respond(openRequests.get(id), HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void respond(OpenRequest openRequest, HttpResponseStatus status, double retryAfterMs) {
        ClientConnection client = openRequest == null ? null : closeRequest(openRequest);
        if (client != null) {
            boolean refused = status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                    || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
            tally.add(refused ? Tally.Count.REFUSED : Tally.Count.FAILED);
            metrics.recordResult(
                    openRequest.request.requestClass(), refused ? Metrics.Result.OVERLOAD : Metrics.Result.ERROR);
            client.respond(status, retryAfterMs);
        }
        if (openRequest != null) {
            removeIfDone(openRequest);
        }
    }

    @Override
    public void startTimer(double delayMs, String token) {
        loop.schedule(() -> deliver((now, m) -> m.timerFired(now, token)), toMicros(delayMs), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probeHost(String host) {
        hostClient.probe(host);
    }

    @Override
    public void sendPeerMessage(int peer, byte[] data) {
        peerLink.send(peer, data);
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        counterClient.add(counter, amount, lifetimeMs);
    }

    /** Does nothing, as discovery is always watched. */
    @Override
    public void subscribeHosts() {}

    // ---- shutdown

    /** Drains the node and ends the process. */
    void drainAndHalt() {
        log("ending: no new clients, " + metrics.openRequests() + " requests open");
        loop.execute(this::drain);
        try {
            boolean allAnswered = awaitDrained(SHUTDOWN_TIMEOUT_MS);
            loop.submit(this::logTally).await(FINAL_TALLY_TIMEOUT_MS);
            log("ended, " + (allAnswered ? "all answered" : metrics.openRequests() + " requests still open"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (siblingWatch != null) {
            siblingWatch.stop();
        }
        Runtime.getRuntime().halt(0);
    }

    /**
     * Drains the node: it accepts new connections for a while, as clients still arrive, answers all requests and then
     * lets the process end.
     */
    void drain() {
        terminating = true;
        if (clientServer.listener() == null) {
            drained.countDown(); // no client was ever accepted
            return;
        }
        drain.begin();
        double acceptUntilMs = clock.now() + Drain.acceptDeadlineMs(config.settings());
        loop.schedule(
                () -> stopAccepting(acceptUntilMs),
                Drain.MIN_ACCEPT_MS + DRAIN_POLL_INTERVAL_MS,
                TimeUnit.MILLISECONDS); // after the drain's first sweep, which is due at the same time
        loop.schedule(this::endOpenRequests, Drain.answerDeadlineMs(config.settings()), TimeUnit.MILLISECONDS);
    }

    /** Ends the drain: every open request is answered now, and so is every request that still arrives. */
    void endOpenRequests() {
        drainExpired = true;
        for (OpenRequest openRequest : List.copyOf(openRequests.values())) {
            // The module refuses or fails it, as further attempts are not allowed
            abandonAttempts(openRequest, AbandonReason.DRAIN_END);
        }
        for (OpenRequest openRequest : List.copyOf(openRequests.values())) {
            // Still queued. A request that was never sent is refused, as a retry by the client does no harm.
            if (!openRequest.closed()) {
                respond(
                        openRequest,
                        openRequest.attempts.isEmpty()
                                ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                : HttpResponseStatus.BAD_GATEWAY,
                        0);
            }
        }
        clientServer.closeAll();
    }

    /** Whether the drain's time is up. */
    boolean drainExpired() {
        return drainExpired;
    }

    /**
     * Stops accepting once no client is about to connect and none waits in the listener's queue.
     *
     * <p>Closing the listener in the loop iteration that closes idle connections would lose the requests that their
     * clients send at once on new connections. Closing it while connections wait in its queue would reset them. If
     * another process serves on the same listener, the queue may be left to that process.
     */
    private void stopAccepting(double acceptUntilMs) {
        boolean servedBySibling = clientServer.sharesListener() && servingProcesses > 1;
        boolean allAccepted = servedBySibling || clientServer.acceptQueued();
        boolean recentlyActive = !servedBySibling && clock.now() - clientServer.lastActivityMs() < Drain.RECONNECT_MS;
        if ((recentlyActive || !allAccepted) && clock.now() < acceptUntilMs) {
            loop.schedule(() -> stopAccepting(acceptUntilMs), DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        clientServer.stopAccepting();
        awaitAllAnswered();
    }

    private void awaitAllAnswered() {
        if (openRequests.isEmpty() && clientServer.hasNoConnections()) {
            drained.countDown();
        } else {
            loop.schedule(this::awaitAllAnswered, DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Waits until all requests are answered; false if the time limit passes first. */
    boolean awaitDrained(long ms) throws InterruptedException {
        return drained.await(ms, TimeUnit.MILLISECONDS);
    }

    PeerLink peerLink() {
        return peerLink;
    }

    /**
     * The port of the listener, which the system chooses if the configuration has port 0. Returns 0 before clients are
     * accepted.
     */
    int port() {
        return clientServer.listener() == null
                ? 0
                : ((java.net.InetSocketAddress) clientServer.listener().localAddress()).getPort();
    }

    /** Stops the event loop at once, without a response to open requests. */
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
