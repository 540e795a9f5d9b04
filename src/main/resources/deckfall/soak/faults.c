/*
 * Preloaded into a gateway's process by the fault soak: makes system calls fail for short spells, as Linux documents
 * that they may. FAULTS holds the rules, separated by ';':
 *
 *     CALL,ERRNO,SPELL_MS,PERIOD_MS,PHASE_MS[,SCOPE]   fails in the first SPELL_MS of each period
 *     clock,STEP_MS,AT_MS                              steps the wall clock once, AT_MS after the process's start
 *
 * CALL is accept, socket, connect, read, write, wait, disk or config; ERRNO a name, or SHORT for transfers of a few
 * bytes. SCOPE is client or server, the side of the connection (both where it is left out). Only connections that
 * were accepted or connected and files below TMPDIR or named by NODE_CONFIG are touched.
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
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

enum { ACCEPT, SOCKET, CONNECT, READ, WRITE, WAIT, DISK, CONFIG, CALLS };
enum { OTHER, CLIENT, SERVER, FOLDER };
enum { MOST_RULES = 32, MOST_FDS = 65536, SHORT = -1, SHORT_READ = 7 };

static const char *const CALL_NAMES[] = {"accept", "socket", "connect", "read", "write", "wait", "disk", "config"};
static const struct { const char *name; int value; } ERRORS[] = {
    {"ECONNABORTED", ECONNABORTED}, {"ENFILE", ENFILE}, {"EMFILE", EMFILE}, {"ENOBUFS", ENOBUFS},
    {"ENOMEM", ENOMEM}, {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EINTR", EINTR},
    {"ETIMEDOUT", ETIMEDOUT}, {"EHOSTUNREACH", EHOSTUNREACH}, {"ENOSPC", ENOSPC}, {"EIO", EIO}, {"EROFS", EROFS},
    {"SHORT", SHORT}};

struct rule { int call, error, scope; long spell, period, phase; };
static struct rule rules[MOST_RULES];
static int rule_count;
static struct { long step, at; } clocks[MOST_RULES];
static int clock_count;
static unsigned char kinds[MOST_FDS];
static long started;
static const char *folder, *config;

static int (*real_clock)(clockid_t, struct timespec *);

static long monotonic_ms(void) {
    struct timespec t;
    if (!real_clock) {
        real_clock = dlsym(RTLD_NEXT, "clock_gettime");
    }
    real_clock(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000L + t.tv_nsec / 1000000L;
}

static int call_of(const char *name) {
    for (int i = 0; i < CALLS; i++) {
        if (!strcmp(name, CALL_NAMES[i])) {
            return i;
        }
    }
    return CALLS;
}

static int error_of(const char *name) {
    for (unsigned i = 0; i < sizeof ERRORS / sizeof *ERRORS; i++) {
        if (!strcmp(name, ERRORS[i].name)) {
            return ERRORS[i].value;
        }
    }
    return EIO;
}

static void read_rule(const char *text) {
    char call[32], error[32], scope[32] = "";
    long step, at;
    struct rule r;
    if (sscanf(text, "clock,%ld,%ld", &step, &at) == 2 && clock_count < MOST_RULES) {
        clocks[clock_count].step = step;
        clocks[clock_count++].at = at;
    } else if (sscanf(text, "%31[^,],%31[^,],%ld,%ld,%ld,%31s", call, error, &r.spell, &r.period, &r.phase, scope) >= 5
               && rule_count < MOST_RULES) {
        r.call = call_of(call);
        r.error = error_of(error);
        r.scope = !strcmp(scope, "client") ? CLIENT : !strcmp(scope, "server") ? SERVER : OTHER;
        rules[rule_count++] = r;
    }
}

__attribute__((constructor)) static void begin(void) {
    started = monotonic_ms();
    folder = getenv("TMPDIR");
    config = getenv("NODE_CONFIG");
    const char *plan = getenv("FAULTS");
    char *copy = strdup(plan ? plan : "");
    for (char *rest = copy, *text; (text = strsep(&rest, ";"));) {
        read_rule(text);
    }
    free(copy);
}

static unsigned char kind_of(int fd) {
    return fd >= 0 && fd < MOST_FDS ? kinds[fd] : OTHER;
}

static void set_kind(int fd, unsigned char kind) {
    if (fd >= 0 && fd < MOST_FDS) {
        kinds[fd] = kind;
    }
}

/* The error with which this call fails now; 0 where it does not. */
static int failing(int call, int kind) {
    for (int i = 0; i < rule_count; i++) {
        const struct rule *r = &rules[i];
        long in = (monotonic_ms() - started + r->phase) % r->period;
        if (r->call == call && in < r->spell && (r->scope == OTHER || r->scope == kind)) {
            return r->error;
        }
    }
    return 0;
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (!real) { real = dlsym(RTLD_NEXT, name); }
#define FAIL_IF(call, kind) \
    do { int e_ = failing(call, kind); if (e_ > 0) { errno = e_; return -1; } } while (0)

/* A connection that was aborted is taken from the queue first, as Linux does. */
int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(int, "accept", int, struct sockaddr *, socklen_t *)
    FAIL_IF(ACCEPT, CLIENT);
    int got = real(fd, address, length);
    set_kind(got, CLIENT);
    return got;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int)
    FAIL_IF(ACCEPT, CLIENT);
    int got = real(fd, address, length, flags);
    set_kind(got, CLIENT);
    return got;
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
    return real(fd, address, length);
}

static int is_connection(int kind) {
    return kind == CLIENT || kind == SERVER;
}

ssize_t read(int fd, void *to, size_t count) {
    REAL(ssize_t, "read", int, void *, size_t)
    int kind = kind_of(fd);
    int error = is_connection(kind) ? failing(READ, kind) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return real(fd, to, error == SHORT && count > SHORT_READ ? SHORT_READ : count);
}

ssize_t write(int fd, const void *from, size_t count) {
    REAL(ssize_t, "write", int, const void *, size_t)
    int kind = kind_of(fd);
    int error = is_connection(kind) ? failing(WRITE, kind) : kind == FOLDER ? failing(DISK, kind) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return real(fd, from, error == SHORT && count > 1 ? count / 2 : count);
}

ssize_t readv(int fd, const struct iovec *to, int count) {
    REAL(ssize_t, "readv", int, const struct iovec *, int)
    int kind = kind_of(fd);
    if (is_connection(kind)) {
        FAIL_IF(READ, kind);
    }
    return real(fd, to, count);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
    REAL(ssize_t, "writev", int, const struct iovec *, int)
    int kind = kind_of(fd);
    int error = is_connection(kind) ? failing(WRITE, kind) : 0;
    if (error > 0) {
        errno = error;
        return -1;
    }
    return real(fd, from, error == SHORT ? 1 : count);
}

int close(int fd) {
    REAL(int, "close", int)
    set_kind(fd, OTHER);
    return real(fd);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int)
    FAIL_IF(WAIT, OTHER);
    return real(fd, events, most, timeout);
}

static int in_folder(const char *path) {
    return folder && *folder && !strncmp(path, folder, strlen(folder)) && (!config || strcmp(path, config));
}

static int open_file(const char *name, const char *path, int flags, mode_t mode) {
    int (*real)(const char *, int, ...) = dlsym(RTLD_NEXT, name);
    if (config && !strcmp(path, config)) {
        FAIL_IF(CONFIG, OTHER);
    }
    int ours = in_folder(path);
    if (ours) {
        FAIL_IF(DISK, FOLDER);
    }
    int fd = real(path, flags, mode);
    set_kind(fd, ours ? FOLDER : OTHER);
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
    if (in_folder(to)) {
        FAIL_IF(DISK, FOLDER);
    }
    return real(from, to);
}

struct dirent64 *readdir64(DIR *d) {
    REAL(struct dirent64 *, "readdir64", DIR *)
    int error = failing(DISK, FOLDER);
    if (error > 0) {
        errno = error;
        return NULL;
    }
    return real(d);
}

struct dirent *readdir(DIR *d) {
    REAL(struct dirent *, "readdir", DIR *)
    int error = failing(DISK, FOLDER);
    if (error > 0) {
        errno = error;
        return NULL;
    }
    return real(d);
}

static long step_ms(void) {
    long since = monotonic_ms() - started, sum = 0;
    for (int i = 0; i < clock_count; i++) {
        sum += since >= clocks[i].at ? clocks[i].step : 0;
    }
    return sum;
}

int clock_gettime(clockid_t id, struct timespec *t) {
    if (!real_clock) {
        real_clock = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int done = real_clock(id, t);
    if (id == CLOCK_REALTIME && clock_count && !done) {
        t->tv_sec += step_ms() / 1000;
    }
    return done;
}

int gettimeofday(struct timeval *t, void *zone) {
    REAL(int, "gettimeofday", struct timeval *, void *)
    int done = real(t, zone);
    if (clock_count && !done) {
        t->tv_sec += step_ms() / 1000;
    }
    return done;
}
