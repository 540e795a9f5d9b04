package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the responses to an operator's commands, however other callers behave. */
class OperatorServerTest {
    private static final int MANY_CONNECTIONS = 100;

    private final List<String> commandsReceived = new CopyOnWriteArrayList<>();
    private volatile String notReadyReason;
    private OperatorServer operator;

    @BeforeEach
    void start() throws IOException {
        operator = new OperatorServer(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new OperatorServer.Commands() {
                    @Override
                    public String notReadyReason() {
                        return notReadyReason;
                    }

                    @Override
                    public String metrics() {
                        return "a 1\nb 2\n";
                    }

                    @Override
                    public void quiesce() {
                        commandsReceived.add("quiesce");
                    }

                    @Override
                    public void resume() {
                        commandsReceived.add("resume");
                    }
                });
        operator.start();
    }

    @AfterEach
    void stop() {
        operator.stop();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), operator.port());
        socket.setSoTimeout(TestEndpoints.TIMEOUT_MS);
        return socket;
    }

    /** Sends a command and returns the whole response, up to the end of the connection. */
    private String call(String text) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(TestEndpoints.bytes(text));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void eachCommandGetsOneResponse() throws Exception {
        assertEquals("ACK\n", call("health\n"));
        notReadyReason = "draining";
        assertEquals("NAK draining\n", call("health\r\n"));
        assertEquals("a 1\nb 2\n--\n", call("counters\n"));
        assertEquals("ACK\n", call("quiesce\n"));
        assertEquals("ACK\n", call(" \t quiesce \t\r\n"));
        assertEquals("ACK\n", call("resume\n"));
        assertEquals(List.of("quiesce", "quiesce", "resume"), commandsReceived);
    }

    @Test
    void unknownCommandsAreRejectedWithAReason() throws Exception {
        for (String wrong : List.of(
                "reboot\n",
                "\n",
                "HEALTH\n",
                "health quiesce\n",
                "quiesce\u0000\n",
                "\u0000quiesce\n",
                "\u000bresume\n",
                "resume\u001f\n",
                "quiesce\r\r\n",
                "quiesce\u00a0\n",
                "x".repeat(5000) + "\n")) {
            String response = call(wrong);
            assertTrue(response.matches("NAK \\S.*\\n"), response);
        }
        assertEquals(List.of(), commandsReceived);
    }

    @Test
    void silentConnectionsDoNotBlockOthers() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < MANY_CONNECTIONS; i++) {
                Socket s = connect();
                silent.add(s);
                s.getOutputStream().write('h');
            }
            assertEquals("ACK\n", call("health\n"));
            assertEquals(-1, silent.get(0).getInputStream().read()); // the oldest connection was closed
        } catch (java.net.SocketException e) {
            assertEquals("Connection reset", e.getMessage()); // the byte of the closed connection had not been read
        } finally {
            for (Socket s : silent) {
                s.close();
            }
        }
    }
}
