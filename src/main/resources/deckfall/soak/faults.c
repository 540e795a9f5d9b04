/*
 * Preloaded into a gateway process by the fault soak. Makes system calls fail for short windows of time, in ways that
 * Linux documents. The environment variable FAULTS holds the fault plan, entries separated by ';':
 *
 *     CALL,ERRNO,WINDOW_MS,PERIOD_MS,PHASE_MS[,SCOPE]  the call fails during the first WINDOW_MS of each period
 *     clock,STEP_MS,AT_MS                              steps the wall clock once, AT_MS after the start of the process
 *     buffers,BYTES                                    bounds the send and receive buffer of each connection, and its
 *                                                      segments to those of an Ethernet: on loopback the system
 *                                                      would otherwise take megabytes that the peer does not read
 *
 * CALL is accept, socket, connect, read, write, wait, disk or config. ERRNO is the name of an error, or SHORT for
 * partial transfers. SCOPE is client or server, the side of the connection; without it, both sides are affected. Faults
 * of transfers and files only affect connections that were accepted or connected, files below TMPDIR and the file that
 * NODE_CONFIG names, except that disk faults make the listing of any directory fail.
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The calls that a fault can name, in the order of CALL_NAMES. */
enum { ACCEPT, SOCKET, CONNECT, READ, WRITE, WAIT, DISK, CONFIG, CALLS };
/* Kinds of descriptors; as the scope of a fault, OTHER means any descriptor. */
enum { OTHER, CLIENT, SERVER, TEMP_FILE };
enum { MAX_FAULTS = 32, MAX_FDS = 65536, SHORT = -1 /* not an errno */, SHORT_READ_BYTES = 7 };
enum { ETHERNET_SEGMENT_BYTES = 1460 };

static const char *const CALL_NAMES[] = {"accept", "socket", "connect", "read", "write", "wait", "disk", "config"};
static const struct { const char *name; int value; } ERRORS[] = {
    {"ECONNABORTED", ECONNABORTED}, {"ENFILE", ENFILE}, {"EMFILE", EMFILE}, {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM}, {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EINTR", EINTR},
    {"ETIMEDOUT", ETIMEDOUT}, {"EHOSTUNREACH", EHOSTUNREACH}, {"ENOSPC", ENOSPC}, {"EIO", EIO}, {"EROFS", EROFS},
    {"SHORT", SHORT}};

struct fault { int call, error, scope; long window_ms, period_ms, phase_ms; };
static struct fault faults[MAX_FAULTS];
static int fault_count;
static struct { long step_ms, at_ms; } clock_steps[MAX_FAULTS];
static int clock_step_count;
static int buffer_bytes; /* of each connection, 0 if the system chooses */
static unsigned char fd_kinds[MAX_FDS];
static long start_ms;
static const char *temp_folder, *config_path;

static int (*real_clock_gettime)(clockid_t, struct timespec *);

static long monotonic_ms(void) {
    struct timespec t;
    if (!real_clock_gettime) {
        real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    }
    real_clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000L + t.tv_nsec / 1000000L;
}

static int parse_call(const char *name) {
    for (int i = 0; i < CALLS; i++) {
        if (!strcmp(name, CALL_NAMES[i])) {
            return i;
        }
    }
    return CALLS;
}

static int parse_error(const char *name) {
    for (unsigned i = 0; i < sizeof ERRORS / sizeof *ERRORS; i++) {
        if (!strcmp(name, ERRORS[i].name)) {
            return ERRORS[i].value;
        }
    }
    return EIO;
}

static void parse_entry(const char *text) {
    char call[32], error[32], scope[32] = "";
    long step_ms, at_ms;
    struct fault fault;
    if (sscanf(text, "buffers,%d", &buffer_bytes) == 1) {
        return;
    }
    if (sscanf(text, "clock,%ld,%ld", &step_ms, &at_ms) == 2 && clock_step_count < MAX_FAULTS) {
        clock_steps[clock_step_count].step_ms = step_ms;
        clock_steps[clock_step_count++].at_ms = at_ms;
    } else if (sscanf(text, "%31[^,],%31[^,],%ld,%ld,%ld,%31s", call, error, &fault.window_ms, &fault.period_ms,
                      &fault.phase_ms, scope) >= 5
               && fault_count < MAX_FAULTS) {
        fault.call = parse_call(call);
        fault.error = parse_error(error);
        fault.scope = !strcmp(scope, "client") ? CLIENT : !strcmp(scope, "server") ? SERVER : OTHER;
        faults[fault_count++] = fault;
    }
}

__attribute__((constructor)) static void load_plan(void) {
    start_ms = monotonic_ms();
    temp_folder = getenv("TMPDIR");
    config_path = getenv("NODE_CONFIG");
    const char *plan = getenv("FAULTS");
    char *copy = strdup(plan ? plan : "");
    for (char *rest = copy, *text; (text = strsep(&rest, ";"));) {
        parse_entry(text);
    }
    free(copy);
}

static void bound_buffers(int fd) {
    int segment_bytes = ETHERNET_SEGMENT_BYTES;
    if (fd >= 0 && buffer_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    }
}

static unsigned char fd_kind(int fd) {
    return fd >= 0 && fd < MAX_FDS ? fd_kinds[fd] : OTHER;
}

static void set_kind(int fd, unsigned char kind) {
    if (fd >= 0 && fd < MAX_FDS) {
        fd_kinds[fd] = kind;
    }
}

/* The error that the call fails with at this moment, SHORT for a short transfer, or 0. */
static int active_error(int call, int kind) {
    for (int i = 0; i < fault_count; i++) {
        const struct fault *fault = &faults[i];
        long offset_ms = (monotonic_ms() - start_ms + fault->phase_ms) % fault->period_ms;
        if (fault->call == call && offset_ms < fault->window_ms && (fault->scope == OTHER || fault->scope == kind)) {
            return fault->error;
        }
    }
    return 0;
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (!real) { real = dlsym(RTLD_NEXT, name); }
#define FAIL_IF(call, kind) \
    do { int error_ = active_error(call, kind); if (error_ > 0) { errno = error_; return -1; } } while (0)

/*
 * An injected ECONNABORTED leaves the connection in the accept queue, whereas Linux removes an aborted connection
 * before it reports the error.
 */
int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(int, "accept", int, struct sockaddr *, socklen_t *)
    FAIL_IF(ACCEPT, CLIENT);
    int accepted = real(fd, address, length);
    set_kind(accepted, CLIENT);
    bound_buffers(accepted);
    return accepted;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int)
    FAIL_IF(ACCEPT, CLIENT);
    int accepted = real(fd, address, length, flags);
    set_kind(accepted, CLIENT);
    bound_buffers(accepted);
    return accepted;
}

int socket(int domain, int type, int protocol) {
    REAL(int, "socket", int, int, int)
    FAIL_IF(SOCKET, SERVER);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, "connect", int, const struct sockaddr *, socklen_t)
    FAIL_IF(CONNECT, SERVER);
    set_kind(fd, SERVER);
    bound_buffers(fd);
    return real(fd, address, length);
}

static int is_connection(int kind) {
    return kind == CLIENT || kind == SERVER;
}

ssize_t read(int fd, void *buffer, size_t count) {
    REAL(ssize_t, "read", int, void *, size_t)
    int kind = fd_kind(fd);
    int error = is_connection(kind) ? active_error(READ, kind) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return real(fd, buffer, error == SHORT && count > SHORT_READ_BYTES ? SHORT_READ_BYTES : count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    REAL(ssize_t, "write", int, const void *, size_t)
    int kind = fd_kind(fd);
    int error = is_connection(kind) ? active_error(WRITE, kind) : kind == TEMP_FILE ? active_error(DISK, kind) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return real(fd, buffer, error == SHORT && count > 1 ? count / 2 : count);
}

ssize_t readv(int fd, const struct iovec *vectors, int count) {
    REAL(ssize_t, "readv", int, const struct iovec *, int)
    int kind = fd_kind(fd);
    if (is_connection(kind)) {
        FAIL_IF(READ, kind);
    }
    return real(fd, vectors, count);
}

ssize_t writev(int fd, const struct iovec *vectors, int count) {
    REAL(ssize_t, "writev", int, const struct iovec *, int)
    int kind = fd_kind(fd);
    int error = is_connection(kind) ? active_error(WRITE, kind) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return real(fd, vectors, error == SHORT ? 1 : count);
}

int close(int fd) {
    REAL(int, "close", int)
    set_kind(fd, OTHER);
    return real(fd);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int)
    FAIL_IF(WAIT, OTHER);
    return real(fd, events, max_events, timeout);
}

static int is_temp_file(const char *path) {
    return temp_folder && *temp_folder && !strncmp(path, temp_folder, strlen(temp_folder))
        && (!config_path || strcmp(path, config_path));
}

static int open_file(const char *name, const char *path, int flags, mode_t mode) {
    int (*real)(const char *, int, ...) = dlsym(RTLD_NEXT, name);
    if (config_path && !strcmp(path, config_path)) {
        FAIL_IF(CONFIG, OTHER);
    }
    int is_temp = is_temp_file(path);
    if (is_temp) {
        FAIL_IF(DISK, TEMP_FILE);
    }
    int fd = real(path, flags, mode);
    set_kind(fd, is_temp ? TEMP_FILE : OTHER);
    return fd;
}

#define OPEN(name) \
    int name(const char *path, int flags, ...) { \
        va_list rest; \
        va_start(rest, flags); \
        mode_t mode = va_arg(rest, mode_t); \
        va_end(rest); \
        return open_file(#name, path, flags, mode); \
    }
OPEN(open)
OPEN(open64)

int rename(const char *from, const char *to) {
    REAL(int, "rename", const char *, const char *)
    if (is_temp_file(to)) {
        FAIL_IF(DISK, TEMP_FILE);
    }
    return real(from, to);
}

struct dirent64 *readdir64(DIR *d) {
    REAL(struct dirent64 *, "readdir64", DIR *)
    int error = active_error(DISK, TEMP_FILE);
    if (error > 0) {
        errno = error;
        return NULL;
    }
    return real(d);
}

struct dirent *readdir(DIR *d) {
    REAL(struct dirent *, "readdir", DIR *)
    int error = active_error(DISK, TEMP_FILE);
    if (error > 0) {
        errno = error;
        return NULL;
    }
    return real(d);
}

/* The sum of all steps of the wall clock so far. */
static long clock_offset_ms(void) {
    long elapsed_ms = monotonic_ms() - start_ms, offset_ms = 0;
    for (int i = 0; i < clock_step_count; i++) {
        offset_ms += elapsed_ms >= clock_steps[i].at_ms ? clock_steps[i].step_ms : 0;
    }
    return offset_ms;
}

int clock_gettime(clockid_t id, struct timespec *t) {
    if (!real_clock_gettime) {
        real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real_clock_gettime(id, t);
    if (id == CLOCK_REALTIME && clock_step_count && !result) {
        t->tv_sec += clock_offset_ms() / 1000;
    }
    return result;
}

int gettimeofday(struct timeval *t, void *zone) {
    REAL(int, "gettimeofday", struct timeval *, void *)
    int result = real(t, zone);
    if (clock_step_count && !result) {
        t->tv_sec += clock_offset_ms() / 1000;
    }
    return result;
}
