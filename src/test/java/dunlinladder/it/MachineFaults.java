package dunlinladder.it;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;

/**
 * Faults of the machine under one process that a test starts: its wall clock is stepped, its system calls fail for a
 * while. {@code src/test/c/faults.c} brings them about, preloaded into the process; {@code make} builds it.
 */
final class MachineFaults implements AutoCloseable {

    private static final Path LIBRARY = Path.of("target", "libfaults.so").toAbsolutePath();
    private static final int FILE_BYTES = 64;
    private static final int WALL_CLOCK_OFFSET = 0;
    private static final int MAX_SOCKET_BYTES = 48;
    private static final int MAX_FILE_BYTES = 52;

    /** The calls that can be made to fail, with the place of each in the shared file. */
    enum Call {
        ACCEPT(8),
        SOCKET(16),
        CONNECT(24),
        SYNC(32),
        WRITE_FILE(40),
        /** Creating a thread. */
        THREAD(56);

        private final int offset;

        Call(int offset) {
            this.offset = offset;
        }
    }

    /** What a call fails with, by its number on Linux. */
    enum Errno {
        EIO(5),
        EAGAIN(11),
        ENOMEM(12),
        ENFILE(23),
        EMFILE(24),
        ENOSPC(28),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    private final Path file;
    private final MappedByteBuffer shared;

    MachineFaults() throws IOException {
        if (!Files.exists(LIBRARY)) {
            throw new IOException(LIBRARY + " is not there: run make faults, which needs a C compiler");
        }
        file = Files.createTempFile("faults", ".bin");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            shared = channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES);
        }
        shared.order(ByteOrder.nativeOrder());
    }

    /** What the environment of the process has to hold. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", LIBRARY.toString(), "FAULTS_FILE", file.toString());
    }

    /** Sets the wall clock off by so much from now on; the monotonic clock runs on. */
    void setWallClockOffset(Duration offset) {
        shared.putLong(WALL_CLOCK_OFFSET, offset.toNanos());
        shared.force();
    }

    /** Has the next {@code times} calls fail. */
    void fail(Call call, Errno errno, int times) {
        shared.putInt(call.offset + Integer.BYTES, errno.number);
        shared.putInt(call.offset, times);
        shared.force();
    }

    /** How many of the calls that were to fail have not been made yet. */
    int failuresLeft(Call call) {
        return shared.getInt(call.offset);
    }

    /** Bounds the bytes that one read or write of a socket moves; 0 for no bound. */
    void boundSocketBytes(int most) {
        shared.putInt(MAX_SOCKET_BYTES, most);
        shared.force();
    }

    /** Bounds the bytes that one write to a file moves; 0 for no bound. */
    void boundFileBytes(int most) {
        shared.putInt(MAX_FILE_BYTES, most);
        shared.force();
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(file);
    }
}
