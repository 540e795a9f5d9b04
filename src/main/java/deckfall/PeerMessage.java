package deckfall;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * A message between gateways and its bytes: version, check sum, the sender's life, the life it knows of the
 * receiver, its own count of messages to the receiver and the last one it had from there; then entries on
 * customers. Translation only: amounts are fixed point, held within what their field can say.
 */
record PeerMessage(int epoch, int receiverEpoch, int serial, int receivedSerial, List<Entry> entries) {
    static final int HEADER_BYTES = 16;
    private static final int CHECKSUM_START = 3;
    static final int MAX_ENTRY_BYTES = 27; // the longest entry
    private static final byte VERSION = 3;
    private static final int ANSWER_FLAG = 1;
    private static final int REPLY_WANTED_FLAG = 2;
    private static final int CAP_FLAG = 4;
    private static final int UNINFORMED_FLAG = 8;
    private static final int LEVEL_FLAG = 16;
    private static final double FIXED_POINT_PER_UNIT = 16; // fixed point of units
    private static final double FIXED_POINT_PER_BURST = 30_000; // fixed point of a store's filling
    private static final int MAX_UNSIGNED_SHORT = 0xffff;

    /**
     * One customer. From a gateway of its set: units used so far and wanted beside, its demand, its view of the
     * store where it has one. The answer of a keeper: units booked, units granted of what was wanted, the demand of
     * the others, the store, ceiling units given so far in the receiver's life.
     */
    record Entry(
            boolean answer,
            boolean replyWanted,
            boolean cap,
            boolean uninformed,
            boolean hasLevel,
            long customer,
            int plan,
            int first,
            int spread,
            double usedUnits,
            double wantedUnits,
            double demand,
            double fullness,
            int openRequests,
            double capUnitsGiven) {
        private int encodedLength() {
            return 17 + (answer ? 0 : 4) + (answer || hasLevel ? 2 : 0) + (answer && cap ? 4 : 0);
        }

        private void encode(ByteBuffer buffer) {
            buffer.put((byte) ((answer ? ANSWER_FLAG : 0)
                    | (replyWanted ? REPLY_WANTED_FLAG : 0)
                    | (cap ? CAP_FLAG : 0)
                    | (uninformed ? UNINFORMED_FLAG : 0)
                    | (hasLevel ? LEVEL_FLAG : 0)));
            buffer.put((byte) plan).put((byte) (customer >>> 32)).putInt((int) customer);
            if (!answer) buffer.putShort((short) first).putShort((short) spread);
            buffer.putInt((int) Math.round(usedUnits * FIXED_POINT_PER_UNIT))
                    .putShort(toUnsignedShort(wantedUnits * FIXED_POINT_PER_UNIT));
            buffer.putShort(toUnsignedShort(demand * FIXED_POINT_PER_UNIT)).putShort(toUnsignedShort(openRequests));
            if (answer || hasLevel)
                buffer.putShort((short) Math.round(Math.max(-1, Math.min(1, fullness)) * FIXED_POINT_PER_BURST));
            if (answer && cap) buffer.putInt((int) Math.round(capUnitsGiven * FIXED_POINT_PER_UNIT));
        }

        private static Entry decode(ByteBuffer buffer) {
            int flags = buffer.get();
            boolean answer = (flags & ANSWER_FLAG) != 0;
            boolean cap = (flags & CAP_FLAG) != 0;
            boolean hasLevel = (flags & LEVEL_FLAG) != 0;
            int plan = buffer.get() & 0xff;
            long customer = (buffer.get() & 0xffL) << 32 | buffer.getInt() & 0xffffffffL;
            int first = answer ? 0 : buffer.getShort() & MAX_UNSIGNED_SHORT;
            int spread = answer ? 0 : buffer.getShort() & MAX_UNSIGNED_SHORT;
            double usedUnits = buffer.getInt() / FIXED_POINT_PER_UNIT;
            double wantedUnits = (buffer.getShort() & MAX_UNSIGNED_SHORT) / FIXED_POINT_PER_UNIT;
            double demand = (buffer.getShort() & MAX_UNSIGNED_SHORT) / FIXED_POINT_PER_UNIT;
            int openRequests = buffer.getShort() & MAX_UNSIGNED_SHORT;
            double fullness = answer || hasLevel ? buffer.getShort() / FIXED_POINT_PER_BURST : 0;
            double capUnitsGiven = answer && cap ? buffer.getInt() / FIXED_POINT_PER_UNIT : 0;
            return new Entry(
                    answer,
                    (flags & REPLY_WANTED_FLAG) != 0,
                    cap,
                    (flags & UNINFORMED_FLAG) != 0,
                    hasLevel,
                    customer,
                    plan,
                    first,
                    spread,
                    usedUnits,
                    wantedUnits,
                    demand,
                    fullness,
                    openRequests,
                    capUnitsGiven);
        }
    }

    /** What running total {@code later} is ahead of {@code earlier}, also where the field has run over between. */
    static double unitsAhead(double later, double earlier) {
        return ((int) Math.round(later * FIXED_POINT_PER_UNIT) - (int) Math.round(earlier * FIXED_POINT_PER_UNIT))
                / FIXED_POINT_PER_UNIT;
    }

    /** Whether count {@code a} comes after {@code b}, also where the field has run over between. */
    static boolean isAfter(int later, int earlier) {
        return (short) (later - earlier) > 0;
    }

    private static short toUnsignedShort(double value) {
        return (short) Math.max(0, Math.min(MAX_UNSIGNED_SHORT, Math.round(value)));
    }

    byte[] encode() {
        int size =
                HEADER_BYTES + entries.stream().mapToInt(Entry::encodedLength).sum();
        ByteBuffer buffer = ByteBuffer.allocate(size);
        buffer.put(VERSION)
                .putShort((short) 0)
                .putInt(epoch)
                .putInt(receiverEpoch)
                .putShort((short) serial);
        buffer.putShort((short) receivedSerial).put((byte) entries.size());
        entries.forEach(e -> e.encode(buffer));
        byte[] data = buffer.array();
        buffer.putShort(1, checksum(data));
        return data;
    }

    /** Null where the message is short, damaged or of another version. */
    static PeerMessage decode(byte[] data) {
        if (data.length < HEADER_BYTES || data[0] != VERSION) return null;
        ByteBuffer buffer = ByteBuffer.wrap(data, 1, data.length - 1);
        if (buffer.getShort() != checksum(data)) return null;
        try {
            int epoch = buffer.getInt();
            int receiverEpoch = buffer.getInt();
            int serial = buffer.getShort() & MAX_UNSIGNED_SHORT;
            int receivedSerial = buffer.getShort() & MAX_UNSIGNED_SHORT;
            int count = buffer.get() & 0xff;
            List<Entry> entries = new ArrayList<>(count);
            while (entries.size() < count) entries.add(Entry.decode(buffer));
            return buffer.hasRemaining()
                    ? null
                    : new PeerMessage(epoch, receiverEpoch, serial, receivedSerial, entries);
        } catch (java.nio.BufferUnderflowException e) {
            return null;
        }
    }

    private static short checksum(byte[] data) {
        CRC32 crc = new CRC32();
        crc.update(data, 0, 1);
        crc.update(data, CHECKSUM_START, data.length - CHECKSUM_START);
        return (short) crc.getValue();
    }
}
