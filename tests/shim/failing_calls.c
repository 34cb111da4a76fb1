/* Makes one system call of a process fail now and then, by LD_PRELOAD.

   SHIM_CALL   the call's name
   SHIM_ERRNO  what it fails with
   SHIM_SHARE  in so many of 1000 calls, by a seeded draw
   SHIM_SEED   of that draw
   SHIM_UNTIL  seconds after the start of the process; later no call fails

   `fail_from_now` makes each such call fail for a span, from within the process.
*/
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

static const char *failing_call;
static int failing_errno;
static uint64_t share, state;
static double until;

static double now(void) {
    struct timespec at;
    clock_gettime(CLOCK_MONOTONIC, &at);
    return at.tv_sec + at.tv_nsec / 1e9;
}

static double number(const char *name, double otherwise) {
    const char *text = getenv(name);
    return text ? atof(text) : otherwise;
}

__attribute__((constructor)) static void begin(void) {
    failing_call = getenv("SHIM_CALL");
    failing_errno = (int)number("SHIM_ERRNO", 0);
    share = (uint64_t)number("SHIM_SHARE", 0);
    state = (uint64_t)number("SHIM_SEED", 1) * 2654435761u + 1;
    until = now() + number("SHIM_UNTIL", 1e9);
}

void fail_from_now(double seconds) {
    share = 1000;
    until = now() + seconds;
}

static int fails(const char *call) {
    if (!failing_call || strcmp(call, failing_call) || now() >= until)
        return 0;
    state = state * 6364136223846793005u + 1442695040888963407u;
    return (state >> 33) % 1000 < share;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define WRAP(result, name, parameters, arguments)                                                            \
    result name parameters {                                                                                 \
        static __typeof__(&name) real;                                                                       \
        if (!real)                                                                                           \
            real = REAL(name);                                                                               \
        if (fails(#name)) {                                                                                  \
            errno = failing_errno;                                                                           \
            return -1;                                                                                       \
        }                                                                                                    \
        return real arguments;                                                                               \
    }

WRAP(int, socket, (int domain, int type, int protocol), (domain, type, protocol))
WRAP(int, socketpair, (int domain, int type, int protocol, int ends[2]), (domain, type, protocol, ends))
WRAP(int, bind, (int fd, const struct sockaddr *address, socklen_t size), (fd, address, size))
WRAP(int, listen, (int fd, int backlog), (fd, backlog))
WRAP(int, accept, (int fd, struct sockaddr *address, socklen_t *size), (fd, address, size))
WRAP(int, accept4, (int fd, struct sockaddr *address, socklen_t *size, int flags), (fd, address, size, flags))
WRAP(int, connect, (int fd, const struct sockaddr *address, socklen_t size), (fd, address, size))
WRAP(int, getsockname, (int fd, struct sockaddr *address, socklen_t *size), (fd, address, size))
WRAP(int, getpeername, (int fd, struct sockaddr *address, socklen_t *size), (fd, address, size))
WRAP(int, setsockopt, (int fd, int level, int name, const void *value, socklen_t size),
     (fd, level, name, value, size))
WRAP(int, getsockopt, (int fd, int level, int name, void *value, socklen_t *size), (fd, level, name, value, size))
WRAP(int, shutdown, (int fd, int how), (fd, how))
WRAP(int, dup, (int fd), (fd))
WRAP(int, epoll_create1, (int flags), (flags))
WRAP(int, epoll_ctl, (int epoll, int what, int fd, struct epoll_event *event), (epoll, what, fd, event))
WRAP(ssize_t, recv, (int fd, void *data, size_t size, int flags), (fd, data, size, flags))
WRAP(ssize_t, send, (int fd, const void *data, size_t size, int flags), (fd, data, size, flags))
WRAP(ssize_t, sendmsg, (int fd, const struct msghdr *message, int flags), (fd, message, flags))
WRAP(ssize_t, read, (int fd, void *data, size_t size), (fd, data, size))
WRAP(ssize_t, write, (int fd, const void *data, size_t size), (fd, data, size))
