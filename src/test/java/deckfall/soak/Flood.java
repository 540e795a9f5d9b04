package deckfall.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** A client that writes requests on one connection as fast as it can, until it is closed or its connection ends. */
final class Flood implements AutoCloseable {
    private static final int BATCH = 200; // requests in one write

    /** What a client floods a gateway with. */
    enum Kind {
        /** Requests for a path that is no class, without an id. */
        IMPROPER,
        /** Lookups of one customer far beyond its quota. */
        BEYOND_QUOTA,
        /** Lookups, each of another customer. */
        NEW_CUSTOMERS,
        /** Requests for a path that is no class, whose answers the client does not read. */
        IMPROPER_UNREAD
    }

    private final Socket socket;
    private final Kind kind;
    private final AtomicLong written = new AtomicLong();
    private final long firstCustomer;
    private volatile boolean stopped;
    private final Thread writer = new Thread(this::write);

    Flood(Socket socket, Kind kind, long firstCustomer) {
        this.socket = socket;
        this.kind = kind;
        this.firstCustomer = firstCustomer;
        writer.start();
        if (kind != Kind.IMPROPER_UNREAD) {
            Thread reader = new Thread(this::discardAnswers);
            reader.setDaemon(true);
            reader.start();
        }
    }

    private String request(long number) {
        String target = kind == Kind.BEYOND_QUOTA || kind == Kind.NEW_CUSTOMERS ? "/seat-lookup/x" : "/nothing";
        if (target.equals("/nothing")) {
            return "GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        String id = String.format(Locale.ROOT, "f%015x", (firstCustomer << 24) + number);
        String text = SlowPeers.head("GET", target, id, 400);
        if (kind == Kind.NEW_CUSTOMERS) {
            String customer = String.format(Locale.ROOT, "%016x", firstCustomer + number);
            return text.replace("00000000b4d65521", customer) + "\r\n";
        }
        return text.replace("X-Plan: basic", "X-Plan: tiny") + "\r\n";
    }

    private void write() {
        try {
            OutputStream out = socket.getOutputStream();
            while (!stopped) {
                StringBuilder batch = new StringBuilder();
                for (int i = 0; i < BATCH; i++) {
                    batch.append(request(written.get() + i));
                }
                out.write(SlowPeers.ascii(batch.toString()));
                written.addAndGet(BATCH);
            }
        } catch (IOException e) {
            // the gateway has ended the connection
        }
    }

    private void discardAnswers() {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = socket.getInputStream();
            int read = in.read(buffer);
            while (read >= 0) {
                read = in.read(buffer);
            }
        } catch (IOException e) {
            // the connection has ended
        }
    }

    /** The number of requests that were written. */
    long written() {
        return written.get();
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        socket.close();
    }
}
