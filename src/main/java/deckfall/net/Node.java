package deckfall.net;

import deckfall.DecisionModule;
import deckfall.Gateway.Actions;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.CustomerSnapshot;
import deckfall.Gateway.Events;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Refusal;
import deckfall.Gateway.Request;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * One api gateway: the event loop on which everything runs, the clock, the timers, the decision module and the
 * table of open requests. It carries out what the module decides and tells it what came of it.
 */
public final class Node implements Actions {
    private static final double MARGIN_MS = 20; // the answer must reach the client within its time
    private static final long EXIT_MS = 30_000; // after SIGTERM: long answers have had their time, if there is any
    private static final long LAST_WORD_MS = 100; // for the last figures to be logged
    private static final long POLL_MS = 20; // how often a drain looks whether all is answered
    private static final long SURVEY_MS = 100; // how often the figures on hosts are brought up to date
    private static final int HEAP_SHARE = 4; // one byte of so many may hold what clients and hosts sent
    private static final double BODY_BYTES_PER_MS = 64; // what a client's body comes at, at least
    private static final double MICROS_PER_MS = 1000;
    private static final double[] NO_REPORT = new double[0];

    /** Something that the module is to be told. */
    private interface Event {
        void tell(double now, Events module);
    }

    final NodeConfig config;
    final Clock clock;
    final EventLoopLag loopDelay = new EventLoopLag();
    final NioEventLoopGroup group =
            new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), () -> loopDelay);
    final EventLoop loop = group.next();
    final Tally tally = new Tally();
    final MemoryBudget room = new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
    final Metrics figures;
    private final Events module;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final ClientServer clients;
    private final HostClient hosts;
    private final Discovery discovery;
    private final PeerLink peers;
    private final CounterClient counter;
    private final Drain drain;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean telling;
    private volatile boolean serving;
    private boolean rehearsing;
    private ConfigReloader reloader; // null where the configuration came from elsewhere
    private SiblingWatch siblings; // set before the start, where another process may serve as this gateway
    private List<CustomerSnapshot> recalled = List.of();
    private int processes = 1;
    private SiblingWatch.Siblings others = SiblingWatch.Siblings.NONE;
    private SiblingWatch.Siblings told = SiblingWatch.Siblings.NONE; // what others have last heard of this process
    private volatile boolean ending; // by SIGTERM: no operator takes that back
    private boolean over; // the drain's time is up: nothing more is sent
    private long repeats;

    Node(NodeConfig config) {
        this(config, DecisionModule::new);
    }

    /** With a module of the caller's making. */
    Node(NodeConfig config, Function<Actions, Events> maker) {
        this(config, maker, new Clock());
    }

    Node(NodeConfig config, Function<Actions, Events> maker, Clock clock) {
        this.config = config;
        this.clock = clock;
        this.figures = new Metrics(config.settings().classes());
        this.module = maker.apply(this);
        this.clients = new ClientServer(this);
        this.hosts = new HostClient(this);
        this.discovery = new Discovery(this);
        this.peers = new PeerLink(this);
        this.counter = new CounterClient(this);
        this.drain = new Drain(loop, clock, clients);
    }

    /** Serves until SIGTERM; a bad configuration or an address that can't be had ends it with one line. */
    public static void main(String configFile) {
        ReloadSignal reloadSignal = ReloadSignal.heard();
        AtomicReference<Node> started = new AtomicReference<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(started.get())));
        plainLogs();
        StartTimes times = new StartTimes(new Clock());
        try {
            NodeConfig config = config(configFile);
            times.ended("configuration");
            ServerSocketChannel inherited = InheritedListener.fromEnvironment();
            Node node = StartStep.retried("no event loop", () -> new Node(config));
            node.configuredBy(Path.of(configFile));
            if (config.operator() != null) { // it says no until clients are taken
                StartStep.retried("no operator address", () -> operator(config, node));
            }
            if (inherited != null && System.getenv("TMPDIR") != null) {
                node.watchSiblings(Path.of(System.getenv("TMPDIR")));
            }
            times.ended("operator and siblings");
            int rehearsed = Rehearsal.warm(config, inherited == null && config.wasInService());
            times.ended("warm-up");
            node.recall();
            started.set(node);
            node.start(inherited, times);
            log("serving on " + config.listen() + " after " + rehearsed + " rehearsed requests");
            log(times.line());
            node.serving = true;
            reloadSignal.actsBy(node::reload);
        } catch (NodeConfig.BadConfig | IOException | RuntimeException e) {
            System.err.println("deckfall: " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    /** What SIGTERM begins; a node that has not begun to serve owes nothing. */
    private static void end(Node node) {
        if (node == null) {
            Runtime.getRuntime().halt(0);
        } else {
            node.drainAndHalt();
        }
    }

    private static OperatorServer operator(NodeConfig config, Node node) throws IOException {
        OperatorServer operator = new OperatorServer(config.operator(), node.operations());
        operator.start();
        return operator;
    }

    /** The configuration, read again for a while where the file can't be read. */
    private static NodeConfig config(String file) throws NodeConfig.BadConfig, IOException {
        try {
            return NodeConfig.read(file);
        } catch (NodeConfig.BadConfig e) {
            if (!e.mayPass()) {
                throw e;
            }
            return StartStep.retried("no configuration", () -> NodeConfig.read(file));
        }
    }

    /** Reads a replaced configuration, from any thread. */
    private void reload() {
        reloader.reload();
    }

    /** Takes from a replaced configuration what may change while a node serves: where others are. */
    private void changed(NodeConfig to) {
        log("configuration read again: discovery at " + to.discovery());
        loop.execute(() -> {
            discovery.move(to.discovery());
            counter.move(to.counter());
        });
    }

    /** The file in which the platform tells of changes. */
    void configuredBy(Path file) {
        reloader = new ConfigReloader(file, this::changed);
    }

    /**
     * Where discovery can't be had it may have moved while nobody heard the signal, as in a start that had read the
     * file before it was replaced.
     */
    void discoveryLost() {
        if (reloader != null) {
            log("discovery can't be had");
            reload();
        }
    }

    /** Returns once clients are served at the configured address. */
    void start() throws IOException {
        start(null, new StartTimes(clock));
        serving = true;
    }

    /** Returns once clients are let in, at the inherited listener if there is one. */
    private void start(ServerSocketChannel inherited, StartTimes times) throws IOException {
        try {
            loop.submit(() -> {
                        tell((now, m) -> m.start(now, config.settings()));
                        tell((now, m) -> m.restoreCustomers(now, recalled));
                        peers.start();
                        if (config.known().hasNonNull(Discovery.LIST)) {
                            hostsTold(HostListKind.CACHED, Discovery.entries(config.known()));
                        }
                        discovery.start();
                        counter.start();
                        loop.scheduleAtFixedRate(
                                this::logTally, Tally.PERIOD_MS, Tally.PERIOD_MS, TimeUnit.MILLISECONDS);
                        loop.scheduleAtFixedRate(this::countHosts, SURVEY_MS, SURVEY_MS, TimeUnit.MILLISECONDS);
                    })
                    .sync();
            times.ended("module and known list"); // the counter is called, and not waited for
            if (!rehearsing) { // a rehearsal's discovery is the node itself
                discovery.awaitList();
            }
            times.ended("discovery");
            StartStep.retried(
                    "no listener",
                    () -> loop.submit(() -> listen(inherited)).sync().getNow().sync());
            times.ended("listener");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // netty throws what failed as it is, checked or not
            throw new IOException("can't start: " + e.getMessage(), e);
        }
    }

    private Future<?> listen(ServerSocketChannel inherited) {
        return ending ? loop.newSucceededFuture(null) : clients.start(inherited);
    }

    /**
     * One plain line for each thing that netty warns of. The system's own handler reads the time zones' file for
     * its first line, and where that line says that no descriptor is left, this would end the event loop.
     */
    static void plainLogs() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Logger root = Logger.getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        root.addHandler(new Handler() {
            @Override
            public void publish(LogRecord r) {
                log(r.getLevel() + " " + r.getMessage() + (r.getThrown() == null ? "" : " " + r.getThrown()));
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });
    }

    /** Netty tells elsewhere of a connect for which no descriptor was left; nothing here may run there. */
    void onLoop(Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
        } else {
            loop.execute(action);
        }
    }

    static void log(String line) {
        System.err.println(line);
    }

    private void logTally() {
        String line = tally.takeLine();
        if (line != null && !rehearsing) {
            log(line);
        }
    }

    // ---- telling the module

    /**
     * Tells the module in order, and never from inside itself: what its own actions bring about at once waits
     * until it has returned.
     */
    private void tell(Event event) {
        assert loop.inEventLoop() : "told beside the loop";
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        loopDelay.observeDelayMs(); // a timer's turn has no I/O
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.tell(clock.now(), module);
                } catch (RuntimeException e) { // the guard of its deadline still answers the request concerned
                    log("defect: the module threw " + e);
                    e.printStackTrace();
                }
            }
        } finally {
            telling = false;
        }
    }

    /** Other processes that serve as this gateway are told of this one from here on, by files in a folder. */
    SiblingWatch watchSiblings(Path folder) {
        SiblingFiles files = new SiblingFiles(folder, ProcessHandle.current().pid());
        siblings = new SiblingWatch(files, clock, new SiblingWatch.Gateway() {
            @Override
            public boolean takesClients() {
                return serving && !ending;
            }

            @Override
            public int clientConnections() {
                return clients.connectionCount();
            }

            @Override
            public int hostConnections() {
                return hosts.connections();
            }

            @Override
            public List<CustomerSnapshot> memory() throws InterruptedException, ExecutionException, TimeoutException {
                return loop.submit(() -> module.snapshotCustomers(clock.now()))
                        .get(SiblingWatch.MEMORY_MS, TimeUnit.MILLISECONDS);
            }

            @Override
            public void siblings(SiblingWatch.Siblings seen) {
                loop.execute(() -> heard(seen));
            }

            @Override
            public void told(SiblingWatch.Siblings own) {
                loop.execute(() -> told = own);
            }
        });
        siblings.start();
        return siblings;
    }

    private void heard(SiblingWatch.Siblings seen) {
        others = seen;
        share(1 + seen.serving());
    }

    private void share(int count) {
        if (count != processes && serving) {
            log("processes serving as this gateway: " + count);
            processes = count;
            tell((now, m) -> m.processCountChanged(now, count));
        }
    }

    /** What other processes of this gateway were last heard to hold. */
    SiblingWatch.Siblings others() {
        return others;
    }

    /** Connections from clients that all processes of this gateway hold. */
    int clientsHeld() {
        return clients.descriptorsHeld();
    }

    /** The same of connections to hosts. */
    int hostsHeld() {
        return hosts.held();
    }

    /**
     * What this process and the others hold of something, at most: since this process last told of itself each of the
     * others may have taken as much more as it has itself.
     */
    int heldByAll(int own, ToIntFunction<SiblingWatch.Siblings> held) {
        int grown = Math.max(0, own - held.applyAsInt(told));
        return own + held.applyAsInt(others) + grown * others.count();
    }

    /** What a process that serves now remembers; it is shared out as soon as this one serves too. */
    private void recall() {
        if (siblings != null) {
            recalled = siblings.memoryOfOther();
            log("recalled " + recalled.size() + " customers of another process");
        }
    }

    private void countHosts() {
        figures.targets(hosts.listed(), module.avoidedHostCount(clock.now()));
    }

    boolean draining() {
        return drain.active();
    }

    /** A client's connection has ended; what it had asked is owed, unless the client has gone. */
    void connectionEnded(CloseReason why, int unanswered) {
        tally.addClose(why);
        if (unanswered > 0 && why != CloseReason.CLIENT && why != CloseReason.BROKEN) {
            tally.add(Tally.Count.CLOSED_UNANSWERED);
            log("defect: " + unanswered + " requests unanswered on a connection closed as " + why);
        }
    }

    /** What an operator may ask of this node. */
    OperatorServer.Commands operations() {
        return new OperatorServer.Commands() {
            @Override
            public String notReadyReason() {
                return !serving ? "not ready yet" : drain.active() ? "draining" : null;
            }

            @Override
            public String metrics() {
                return figures.text();
            }

            @Override
            public void quiesce() {
                log("operator: quiesce");
                drain.begin();
            }

            @Override
            public void resume() {
                log("operator: resume");
                if (!ending) {
                    drain.resume();
                }
            }
        };
    }

    /** From here on this node is no gateway to clients. */
    void rehearse() {
        rehearsing = true;
    }

    boolean rehearsing() {
        return rehearsing;
    }

    /** Whether clients may be let in. */
    boolean ready() {
        return serving && !drain.active() && !rehearsing;
    }

    /**
     * Takes a request from its client, whole or as far as its body is kept; the entry owns the message from here on.
     * The client's time starts with the last byte, so the module is told of the longest that the rest may take.
     */
    void taken(Request read, IncomingRequest message, ClientConnection client) {
        Request r = message.complete() ? read : due(read, read.id(), message.remainingBytes() / BODY_BYTES_PER_MS);
        String id = r.id();
        while (open.containsKey(id)) { // the module knows requests by id, and a client may repeat one
            id = r.id() + '#' + ++repeats;
        }
        Request told = id.equals(r.id()) ? r : due(r, id, 0);
        OpenRequest entry = new OpenRequest(told, message, r.id(), client);
        open.put(id, entry);
        figures.requestOpened();
        tally.add(Tally.Count.TAKEN);
        client.setOpenRequest(entry);
        guard(entry);
        tell((now, m) -> m.requestReceived(now, told));
    }

    private static Request due(Request r, String id, double laterMs) {
        return new Request(
                id,
                r.deadlineMs() + laterMs,
                r.retry(),
                r.requestClass(),
                r.customer(),
                r.plan(),
                r.units(),
                r.first(),
                r.spread());
    }

    private void guard(OpenRequest r) {
        r.deadlineTimer = loop.schedule(() -> deadline(r), micros(r.deadlineMs - clock.now()), TimeUnit.MICROSECONDS);
    }

    /** The last byte of a request has come that was taken before. */
    void bodyCame(OpenRequest r, double deadlineMs) {
        r.deadlineMs = deadlineMs;
        if (!r.closed()) {
            r.deadlineTimer.cancel(false);
            guard(r);
        }
    }

    /** When the answer must have left for a client that waits this long from its sending. */
    static double deadline(double now, double expiresInMs) {
        return now + Math.max(1, expiresInMs - MARGIN_MS);
    }

    private static long micros(double ms) {
        return (long) (Math.max(0, ms) * MICROS_PER_MS);
    }

    boolean full() {
        return open.size() >= config.maxOpen();
    }

    /** Rule 1: attempts end with the client's time, and what the module then leaves unanswered fails here. */
    private void deadline(OpenRequest r) {
        endAttempts(r);
        if (!r.closed()) {
            log("defect: no answer from the module in time, request failed");
            answer(r, HttpResponseStatus.GATEWAY_TIMEOUT, 0);
        }
    }

    private void endAttempts(OpenRequest r) {
        for (Attempt a : List.copyOf(r.attempts)) {
            giveUp(a, Outcome.TIMEOUT);
        }
    }

    /** What still waited for a connection has never run, whatever else it would count as. */
    private void giveUp(Attempt a, Outcome begun) {
        if (!a.ended) {
            a.abandon();
            attemptEnded(a, a.begun() ? begun : Outcome.CONNECT_FAILED, null);
        }
    }

    /** Nobody waits for it any more: it must not leave when its connection comes up, may it be cancelled or not. */
    private void withdrawUnsent(OpenRequest r) {
        for (Attempt a : List.copyOf(r.attempts)) {
            if (!a.ended && !a.begun()) {
                a.abandon();
                attemptEnded(a, Outcome.MOOT, null);
            }
        }
    }

    void clientLeft(OpenRequest r) {
        if (r.closed()) {
            return;
        }
        close(r);
        tally.add(Tally.Count.CLIENT_LEFT);
        withdrawUnsent(r);
        tell((now, m) -> m.clientDisconnected(now, r.request.id()));
        forgetIfOver(r);
    }

    /** The end of an attempt, told once; the first whole 200 goes to the client unchanged. */
    void attemptEnded(Attempt a, Outcome outcome, FullHttpResponse response) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        OpenRequest r = a.owner;
        if (outcome == Outcome.OK) {
            ClientConnection client = close(r);
            if (client != null) {
                tally.add(Tally.Count.SERVED);
                figures.recordResult(r.request.requestClass(), Metrics.Result.SUCCESS);
                client.sendResponse(response);
            }
        }
        finished(a, outcome, response);
    }

    /** What the module learns of an attempt; the head of the answer, where there is one, may tell more. */
    private void finished(Attempt a, Outcome outcome, HttpResponse response) {
        tally.addAttempt(outcome);
        OpenRequest r = a.owner;
        r.attemptsInFlight--;
        boolean closed = r.closed();
        double took = clock.now() - a.sentAt;
        double[] report = response == null ? NO_REPORT : hosts.report(response);
        int usedPct = response == null ? 0 : hosts.usedPct(response);
        tell((now, m) -> m.attemptEnded(
                now, new AttemptResult(r.request.id(), a.number, a.host, outcome, took, closed, usedPct, 0, report)));
        forgetIfOver(r);
    }

    /** Whom to answer, for the one caller that ends the request; null for all later ones (rule 1). */
    private ClientConnection close(OpenRequest r) {
        if (!r.closed()) {
            figures.requestClosed();
        }
        return r.close();
    }

    /**
     * An answer too long to be kept has begun: with it the host's work is done, which is what the module asks. Null
     * where no client waits for it. The request counts as open until the transfer ends.
     */
    ResponseTransfer answerBegun(Attempt a, HttpResponse head, ResponseTransfer.Source source) {
        if (a.ended) {
            return null;
        }
        a.ended = true;
        OpenRequest r = a.owner;
        ClientConnection client = r.close();
        ResponseTransfer transfer =
                client == null ? null : new ResponseTransfer(this, r.request.requestClass(), client, source);
        if (transfer != null) {
            client.beginResponse(head, transfer);
        }
        finished(a, Outcome.OK, head);
        return transfer;
    }

    /** The end of an answer's transfer; {@code end} is null where its client had left. */
    void transferred(String requestClass, Metrics.Result end) {
        figures.requestClosed();
        if (end != null) {
            figures.recordResult(requestClass, end);
            tally.add(end == Metrics.Result.SUCCESS ? Tally.Count.SERVED : Tally.Count.CUT_OFF);
        }
    }

    private void forgetIfOver(OpenRequest r) {
        if (r.closed() && r.attemptsInFlight == 0 && open.remove(r.request.id(), r)) {
            r.deadlineTimer.cancel(false);
            r.message.release();
        }
    }

    void hostsTold(HostListKind kind, List<Discovery.Entry> entries) {
        Runnable turnBack = hosts.listed(kind, entries);
        List<Host> list = new ArrayList<>(entries.size());
        entries.forEach(e -> list.add(e.host()));
        tell((now, m) -> m.hostsUpdated(now, kind, list));
        turnBack.run();
    }

    void probed(String host, Outcome outcome, double took, double[] report) {
        tell((now, m) -> m.probeEnded(now, host, outcome, took, report));
    }

    void counted(String name, Outcome outcome, double total) {
        tally.addCounterCall(outcome);
        tell((now, m) -> m.counterCallEnded(now, name, outcome, total));
    }

    void peerSaid(int peer, byte[] data) {
        tell((now, m) -> m.peerMessageReceived(now, peer, data));
    }

    // ---- what the module does

    @Override
    public void send(String id, String host, double timeoutMs) {
        OpenRequest r = open.get(id);
        if (r == null) {
            return;
        }
        double now = clock.now();
        Attempt a = new Attempt(this, r, host, now);
        r.attempts.add(a);
        r.attemptsInFlight++;
        if (!maySend(a)) {
            return;
        }
        if (timeoutMs > 0) {
            loop.schedule(() -> giveUp(a, Outcome.TIMEOUT), micros(timeoutMs), TimeUnit.MICROSECONDS);
        }
        hosts.send(a);
    }

    /** Whether an attempt may go out now; one that may not has ended without having run. */
    boolean maySend(Attempt a) {
        DispatchRule.Verdict verdict = DispatchRule.judge(
                a.owner, a.number, clock.now(), config.settings().limits().maxAttempts(), over);
        if (verdict == DispatchRule.Verdict.ALLOWED) {
            return true;
        }
        tally.notSent(verdict);
        if (verdict == DispatchRule.Verdict.CLIENT_GONE) {
            clientLeft(a.owner); // ends all attempts that have not begun
        }
        if (!a.ended) {
            a.abandon();
            attemptEnded(a, Outcome.MOOT, null);
        }
        return false;
    }

    /** Checks at run time what {@link #maySend} has decided: no byte leaves for a request that has ended. */
    void leaves(Attempt a) {
        if (a.ended || a.owner.closed() || over) {
            tally.add(Tally.Count.SENT_AFTER_END);
            log("defect: request " + a.owner.traceId + " sent to " + a.host + " after its end");
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        OpenRequest r = open.get(id);
        if (r != null && attempt >= 0 && attempt < r.attempts.size()) {
            giveUp(r.attempts.get(attempt), Outcome.CANCELLED);
        }
    }

    @Override
    public void refuse(String id, double retryAfterMs, Refusal why) {
        if (open.containsKey(id)) {
            tally.addRefusal(why);
        }
        answer(open.get(id), HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
    }

    @Override
    public void fail(String id) {
        answer(open.get(id), HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void answer(OpenRequest r, HttpResponseStatus status, double retryAfterMs) {
        ClientConnection client = r == null ? null : close(r);
        if (client != null) {
            boolean refused = status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                    || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
            tally.add(refused ? Tally.Count.REFUSED : Tally.Count.FAILED);
            figures.recordResult(r.request.requestClass(), refused ? Metrics.Result.OVERLOAD : Metrics.Result.ERROR);
            client.respond(status, retryAfterMs);
        }
        if (r != null) {
            forgetIfOver(r);
        }
    }

    @Override
    public void startTimer(double delayMs, String token) {
        loop.schedule(() -> tell((now, m) -> m.timerFired(now, token)), micros(delayMs), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probeHost(String host) {
        hosts.probe(host);
    }

    @Override
    public void sendPeerMessage(int peer, byte[] data) {
        peers.send(peer, data);
    }

    @Override
    public void addToCounter(String name, double amount, double lifetimeMs) {
        counter.add(name, amount, lifetimeMs);
    }

    /** Discovery is always watched. */
    @Override
    public void subscribeHosts() {}

    // ---- the end

    private void drainAndHalt() {
        log("ending: no new clients, " + figures.openRequests() + " requests open");
        loop.execute(this::drain);
        try {
            boolean all = awaitDrained(EXIT_MS);
            loop.submit(this::logTally).await(LAST_WORD_MS);
            log("ended, " + (all ? "all answered" : figures.openRequests() + " requests still open"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (siblings != null) {
            siblings.stop();
        }
        Runtime.getRuntime().halt(0);
    }

    /** Accepts on for a while, since clients still come; answers all; then lets the process end. */
    void drain() {
        ending = true;
        if (clients.listener() == null) {
            drained.countDown(); // nobody was let in
            return;
        }
        drain.begin();
        double latest = clock.now() + Drain.acceptDeadlineMs(config.settings());
        loop.schedule(
                () -> stopAccepting(latest),
                Drain.MIN_ACCEPT_MS + POLL_MS,
                TimeUnit.MILLISECONDS); // after the first sweep, which is due at the same time
        loop.schedule(this::answerAll, Drain.answerDeadlineMs(config.settings()), TimeUnit.MILLISECONDS);
    }

    /** The drain's time is up: whatever is open is answered now, and so is whatever still comes. */
    void answerAll() {
        over = true;
        for (OpenRequest r : List.copyOf(open.values())) {
            endAttempts(r); // the module refuses or fails it, as its further attempts are void now
        }
        for (OpenRequest r : List.copyOf(open.values())) {
            if (!r.closed()) { // still held: what was never sent is refused, as coming again does no harm
                answer(
                        r,
                        r.attempts.isEmpty() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.BAD_GATEWAY,
                        0);
            }
        }
        clients.closeAll();
    }

    boolean over() {
        return over;
    }

    /**
     * Not in the turn that closes idle connections: what their clients ask anew would wait in a closed listener. Nor
     * while some wait to be accepted, as a close would reset them; a listener that another process serves too may be
     * left to it.
     */
    private void stopAccepting(double latest) {
        boolean leftToOther = clients.sharesListener() && processes > 1;
        boolean allAccepted = leftToOther || clients.acceptQueued();
        boolean stirs = !leftToOther && clock.now() - clients.lastActivityMs() < Drain.RECONNECT_MS;
        if ((stirs || !allAccepted) && clock.now() < latest) {
            loop.schedule(() -> stopAccepting(latest), POLL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        clients.stopAccepting();
        awaitEmpty();
    }

    private void awaitEmpty() {
        if (open.isEmpty() && clients.hasNoConnections()) {
            drained.countDown();
        } else {
            loop.schedule(this::awaitEmpty, POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    boolean awaitDrained(long ms) throws InterruptedException {
        return drained.await(ms, TimeUnit.MILLISECONDS);
    }

    PeerLink peers() {
        return peers;
    }

    /** The port of the listener, where the configuration left it to the system; 0 before clients are let in. */
    int port() {
        return clients.listener() == null
                ? 0
                : ((java.net.InetSocketAddress) clients.listener().localAddress()).getPort();
    }

    /** Ends everything at once and answers nothing. */
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
