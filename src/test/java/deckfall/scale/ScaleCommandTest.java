package deckfall.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the scale command rejects invalid arguments. */
class ScaleCommandTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "fish",
                "hollow --servers many",
                "hollow --servers 0",
                "hollow --seconds",
                "hollow --bogus 1",
                "hollow more",
                "hollow --spread 101",
                "hollow --rps NaN",
                "hollow --zones 0",
                "hollow --fault 3",
                "hollow --fault 3:fish:1",
                "hollow --fault x:rack:1",
                "hollow --fault 3:rack:1:-1",
                "hollow --fault 3:rack:1:1:1",
                "hollow --fault 3:region-cut:1",
                "hollow --deadline-ms 1",
                "real --processes 0",
                "real --processes 101",
                "real --fault 1:rack:1",
                "real --deploy /no/such/file",
                "real --hollow 99",
                "hollow --json /no/such/folder/file",
                "hollow --seed 1.5"
            })
    void invalidArgumentsGiveOneErrorLineAndExitCodeTwo(String line) {
        StringWriter errors = new StringWriter();
        int code = ScaleCommand.run(new PrintWriter(errors, true), line.isEmpty() ? new String[0] : line.split(" "));
        assertEquals(2, code);
        assertTrue(errors.toString().matches("scale: .+\\R"), errors.toString());
    }
}
