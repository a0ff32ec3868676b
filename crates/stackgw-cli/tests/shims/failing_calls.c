/* Preloaded into a gateway by tests: calls on sockets fail for a moment, are interrupted or are short, in the ways that Linux
 * documents, by random numbers from FAILING_CALLS_SEED. No call fails for good, and no byte is lost. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/types.h>

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

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (!real) real = (type (*)(__VA_ARGS__))dlsym(RTLD_NEXT, name)

static int fails_to_accept(void) {
    static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO,
                                 EINTR, ENETDOWN, EHOSTUNREACH, ENONET, ENETUNREACH};
    if (random_below(3)) return 0;
    errno = errors[random_below(sizeof errors / sizeof *errors)];
    return 1;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    return fails_to_accept() ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(int, "socket", int, int, int);
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    if (domain == AF_INET && !random_below(8)) {
        errno = errors[random_below(sizeof errors / sizeof *errors)];
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, "connect", int, const struct sockaddr *, socklen_t);
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EAGAIN};
    if (address->sa_family == AF_INET && !random_below(8)) {
        errno = errors[random_below(sizeof errors / sizeof *errors)];
        return -1;
    }
    return real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
    if (!random_below(4)) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, count, timeout);
}

/* Only TCP connections: a signal's handler wakes its process by a local socket, and that call is never interrupted. */
static int is_interrupted(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    if (getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) || domain != AF_INET) return 0;
    if (random_below(6)) return 0;
    errno = EINTR;
    return 1;
}

/* A third of the calls move a few bytes at most. */
static size_t shortened(size_t length) {
    return length > 5 && !random_below(3) ? 1 + random_below(5) : length;
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
