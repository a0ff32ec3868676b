/* Preloaded into a gateway by tests: calls on sockets fail for a moment, are interrupted or are short, in the ways that Linux
 * documents, by random numbers from FAILING_CALLS_SEED. No call fails for good, and no byte is lost. A letter for each call that
 * was changed is appended to the file that FAILING_CALLS_LOG names. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/types.h>
#include <unistd.h>

static _Atomic unsigned long long state;

static unsigned random_below(unsigned limit) {
    if (!atomic_load(&state)) {
        const char *seed = getenv("FAILING_CALLS_SEED");
        atomic_store(&state, (seed ? strtoull(seed, NULL, 10) : 1) * 0x9e3779b97f4a7c15ULL | 1);
    }
    unsigned long long next = atomic_fetch_add(&state, 0x9e3779b97f4a7c15ULL);
    next = (next ^ (next >> 30)) * 0xbf58476d1ce4e5b9ULL;
    return (unsigned)((next ^ (next >> 27)) >> 33) % limit;
}

static void record(char kind) {
    static _Atomic int log_fd = -1;
    const char *path = getenv("FAILING_CALLS_LOG");
    int saved = errno;
    if (atomic_load(&log_fd) < 0 && path) {
        atomic_store(&log_fd, open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    }
    if (atomic_load(&log_fd) >= 0) (void)!syscall(SYS_write, atomic_load(&log_fd), &kind, 1);
    errno = saved;
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (!real) real = (type (*)(__VA_ARGS__))dlsym(RTLD_NEXT, name)

static int fails_to_accept(void) {
    static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO,
                                 EINTR, ENETDOWN, EHOSTUNREACH, ENONET, ENETUNREACH};
    if (random_below(3)) return 0;
    errno = errors[random_below(sizeof errors / sizeof *errors)];
    record('a');
    return 1;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    return fails_to_accept() ? -1 : real(fd, address, length, flags);
}

/* Only TCP connections: a signal's handler wakes its process by a local socket, and that call is never interrupted. */
static int is_interrupted(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    if (getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) || domain != AF_INET) return 0;
    if (random_below(6)) return 0;
    errno = EINTR;
    record('i');
    return 1;
}

/* A third of the calls move a few bytes at most. */
static size_t shortened(size_t length) {
    if (length <= 5 || random_below(3)) return length;
    record('s');
    return 1 + random_below(5);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(ssize_t, "recv", int, void *, size_t, int);
    if (is_interrupted(fd)) return -1;
    return real(fd, buffer, flags & MSG_PEEK ? length : shortened(length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    REAL(ssize_t, "send", int, const void *, size_t, int);
    if (is_interrupted(fd)) return -1;
    return real(fd, buffer, shortened(length), flags);
}
