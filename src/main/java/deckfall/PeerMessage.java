package deckfall;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * A message between two gateways and its binary form: version, checksum, the sender's epoch, the receiver's epoch as
 * far as the sender knows it, the serial number of this message, the serial number of the last message received from
 * the receiver, and entries on customers. An epoch is one run of a gateway process.
 *
 * <p>This class only encodes and decodes. Amounts are fixed-point numbers, clamped to the range of their fields.
 */
record PeerMessage(int epoch, int receiverEpoch, int serial, int receivedSerial, List<Entry> entries) {
    static final int HEADER_BYTES = 16;
    static final int MAX_ENTRY_BYTES = 27;
    private static final int CHECKSUM_START = 3; // the version byte before the checksum is covered too
    private static final int BASE_ENTRY_BYTES = 17; // the fields that every entry has
    private static final int SET_BYTES = 4; // first and spread, in reports only
    private static final int FULLNESS_BYTES = 2;
    private static final int CAP_UNITS_BYTES = 4;
    private static final byte VERSION = 3;
    private static final int ANSWER_FLAG = 1;
    private static final int ANSWER_WANTED_FLAG = 2;
    private static final int CAP_FLAG = 4;
    private static final int UNINFORMED_FLAG = 8;
    private static final int LEVEL_FLAG = 16;
    private static final double FIXED_POINT_PER_UNIT = 16; // steps in one unit
    private static final double FIXED_POINT_PER_BURST = 30_000; // steps in a full quota bucket
    private static final int MAX_UNSIGNED_SHORT = 0xffff;

    /**
     * What a message says about one customer. A report from a gateway of the customer's set carries the running total
     * of used units, the units wanted in addition, the gateway's demand and, if it has one, its view of the quota
     * level. An answer from an owner carries the units booked, the units granted of those wanted, the demand of the
     * other gateways, the quota level and the running total of cap units given in the receiver's epoch.
     *
     * @param cap in a report, whether the wanted units exceed the gateway's share of the cap; in an answer, whether it
     *     carries the total of cap units given
     * @param uninformed in an answer, whether the owner has no report of the use before its start
     */
    record Entry(
            boolean answer,
            boolean answerWanted,
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
            return BASE_ENTRY_BYTES
                    + (answer ? 0 : SET_BYTES)
                    + (answer || hasLevel ? FULLNESS_BYTES : 0)
                    + (answer && cap ? CAP_UNITS_BYTES : 0);
        }

        private void encode(ByteBuffer buffer) {
            buffer.put((byte) ((answer ? ANSWER_FLAG : 0)
                    | (answerWanted ? ANSWER_WANTED_FLAG : 0)
                    | (cap ? CAP_FLAG : 0)
                    | (uninformed ? UNINFORMED_FLAG : 0)
                    | (hasLevel ? LEVEL_FLAG : 0)));
            buffer.put((byte) plan).put((byte) (customer >>> 32)).putInt((int) customer);
            if (!answer) buffer.putShort((short) first).putShort((short) spread);
            buffer.putInt((int) Math.round(usedUnits * FIXED_POINT_PER_UNIT))
                    .putShort(toUnsignedShort(wantedUnits * FIXED_POINT_PER_UNIT));
            buffer.putShort(toUnsignedShort(demand * FIXED_POINT_PER_UNIT)).putShort(toUnsignedShort(openRequests));
            if (answer || hasLevel) {
                buffer.putShort((short) Math.round(Math.max(-1, Math.min(1, fullness)) * FIXED_POINT_PER_BURST));
            }
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
                    (flags & ANSWER_WANTED_FLAG) != 0,
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

    /** By how much running total {@code later} exceeds {@code earlier}, even if the field has wrapped around. */
    static double unitsAhead(double later, double earlier) {
        return ((int) Math.round(later * FIXED_POINT_PER_UNIT) - (int) Math.round(earlier * FIXED_POINT_PER_UNIT))
                / FIXED_POINT_PER_UNIT;
    }

    /** Whether serial number {@code later} follows {@code earlier}, even if the field has wrapped around. */
    static boolean isAfter(int later, int earlier) {
        return (short) (later - earlier) > 0;
    }

    private static short toUnsignedShort(double value) {
        return (short) Math.max(0, Math.min(MAX_UNSIGNED_SHORT, Math.round(value)));
    }

    /** The binary form of the message, with its checksum. */
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

    /** Decodes a message; returns null if it is truncated, corrupted or of another version. */
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
