/* Preloaded into a gateway by tests: calls on sockets fail for a moment, are interrupted or are short, in the ways that Linux
 * documents, by random numbers from FAILING_CALLS_SEED. No call fails for good, and no byte is lost. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
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

static int is_interrupted(void) {
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
    if (is_interrupted()) return -1;
    return real(fd, buffer, flags & MSG_PEEK ? length : shortened(length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    REAL(ssize_t, "send", int, const void *, size_t, int);
    if (is_interrupted()) return -1;
    return real(fd, buffer, shortened(length), flags);
}
