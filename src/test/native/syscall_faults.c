/*
 * A shim for LD_PRELOAD that makes system calls of one process fail for as long as a test wants.
 *
 * The file named by SYSCALL_FAULTS is mapped and read at each call. It begins with a header of two
 * ints (seed, port); then each kind of call, in the order of enum call, has four ints:
 *   error      the errno to fail with; SHORT_WRITE to hand only the first byte of a write on
 *   permille   how many of a thousand calls fail; 0 for none, EVERY_SECOND for each second one
 *   remaining  how many more calls may fail; negative for no limit
 *   injected   how many calls have failed, counted by the shim
 * With a port other than 0, reads and writes fail only on sockets with that local or remote port.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

enum call {
    READ,
    WRITE,
    ACCEPT,
    SOCKET,
    CONNECT,
    EPOLL_CTL,
    EPOLL_WAIT,
    FCNTL_SET_FLAGS,
    FCNTL_GET_FLAGS,
    SHUTDOWN,
    SETSOCKOPT,
    GETSOCKOPT,
    OPEN,
    FILE_READ,
    FILE_WRITE,
    FSYNC,
    THREAD_CREATE,
    CALLS
};

enum { SHORT_WRITE = -1, EVERY_SECOND = -1, FILE_BYTES = 4096 };

struct fault {
    int error;
    int permille;
    int remaining;
    int injected;
};

struct control {
    int seed;
    int port;
    struct fault faults[CALLS];
};

static volatile struct control *control;
static unsigned random_state;

/* How many calls have been made that fail each second time. */
static unsigned calls;

#define REAL(name) ((__typeof__(&name)) real(#name))

static void *real(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

__attribute__((constructor)) static void load(void) {
    const char *path = getenv("SYSCALL_FAULTS");
    int fd = path == NULL ? -1 : REAL(open)(path, O_RDWR);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, FILE_BYTES, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) {
        control = mapped;
        random_state = (unsigned) control->seed;
    }
}

/* Returns the error that this call is to fail with, or 0. */
static int next_fault(enum call call) {
    if (control == NULL) {
        return 0;
    }
    volatile struct fault *fault = &control->faults[call];
    if (fault->permille == 0 || fault->remaining == 0) {
        return 0;
    }
    if (fault->permille == EVERY_SECOND) {
        calls++;
        if (calls % 2 != 0) {
            return 0;
        }
    } else if (rand_r(&random_state) % 1000 >= fault->permille) {
        return 0;
    }
    if (fault->remaining > 0) {
        __sync_fetch_and_sub(&fault->remaining, 1);
    }
    __sync_fetch_and_add(&fault->injected, 1);
    return fault->error;
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_file(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

static int port_matches(int fd) {
    struct sockaddr_in address;
    if (control->port == 0) {
        return 1;
    }
    for (int peer = 0; peer < 2; peer++) {
        socklen_t length = sizeof address;
        int status = peer ? getpeername(fd, (struct sockaddr *) &address, &length)
                          : getsockname(fd, (struct sockaddr *) &address, &length);
        if (status == 0 && ntohs(address.sin_port) == control->port) {
            return 1;
        }
    }
    return 0;
}

/* Returns the error that a read or write of a descriptor is to fail with, or 0. */
static int transfer_fault(int fd, enum call on_socket, enum call on_file) {
    if (control == NULL
            || (control->faults[on_socket].permille == 0 && control->faults[on_file].permille == 0)) {
        return 0;
    }
    if (is_socket(fd)) {
        return port_matches(fd) ? next_fault(on_socket) : 0;
    }
    return is_file(fd) ? next_fault(on_file) : 0;
}

static int fail(int error) {
    errno = error;
    return -1;
}

#define FAIL_IF(expression)          \
    do {                             \
        int error = (expression);    \
        if (error != 0) {            \
            return fail(error);      \
        }                            \
    } while (0)

ssize_t read(int fd, void *buffer, size_t size) {
    FAIL_IF(transfer_fault(fd, READ, FILE_READ));
    return REAL(read)(fd, buffer, size);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    FAIL_IF(transfer_fault(fd, READ, FILE_READ));
    return REAL(readv)(fd, parts, count);
}

ssize_t pread64(int fd, void *buffer, size_t size, off64_t at) {
    FAIL_IF(transfer_fault(fd, READ, FILE_READ));
    return REAL(pread64)(fd, buffer, size, at);
}

ssize_t write(int fd, const void *buffer, size_t size) {
    int error = transfer_fault(fd, WRITE, FILE_WRITE);
    if (error == SHORT_WRITE && size > 1) {
        return REAL(write)(fd, buffer, 1);
    }
    if (error > 0) {
        return fail(error);
    }
    return REAL(write)(fd, buffer, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    int error = transfer_fault(fd, WRITE, FILE_WRITE);
    if (error == SHORT_WRITE && count > 0 && parts[0].iov_len > 0) {
        return REAL(write)(fd, parts[0].iov_base, 1);
    }
    if (error > 0) {
        return fail(error);
    }
    return REAL(writev)(fd, parts, count);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    FAIL_IF(next_fault(ACCEPT));
    return REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    FAIL_IF(next_fault(ACCEPT));
    return REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    FAIL_IF(next_fault(SOCKET));
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_IF(next_fault(CONNECT));
    return REAL(connect)(fd, address, length);
}

int epoll_ctl(int epfd, int operation, int fd, struct epoll_event *event) {
    FAIL_IF(next_fault(EPOLL_CTL));
    return REAL(epoll_ctl)(epfd, operation, fd, event);
}

int epoll_wait(int epfd, struct epoll_event *events, int count, int timeout) {
    FAIL_IF(next_fault(EPOLL_WAIT));
    return REAL(epoll_wait)(epfd, events, count, timeout);
}

int fcntl(int fd, int command, ...) {
    va_list arguments;
    va_start(arguments, command);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    FAIL_IF(command == F_SETFL ? next_fault(FCNTL_SET_FLAGS) : 0);
    FAIL_IF(command == F_GETFL ? next_fault(FCNTL_GET_FLAGS) : 0);
    return REAL(fcntl)(fd, command, argument);
}

int shutdown(int fd, int how) {
    FAIL_IF(next_fault(SHUTDOWN));
    return REAL(shutdown)(fd, how);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    FAIL_IF(next_fault(SETSOCKOPT));
    return REAL(setsockopt)(fd, level, name, value, length);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *length) {
    FAIL_IF(next_fault(GETSOCKOPT));
    return REAL(getsockopt)(fd, level, name, value, length);
}

static mode_t mode_argument(int flags, va_list arguments) {
    return flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
}

int open(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_argument(flags, arguments);
    va_end(arguments);
    FAIL_IF(next_fault(OPEN));
    return REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_argument(flags, arguments);
    va_end(arguments);
    FAIL_IF(next_fault(OPEN));
    return REAL(open64)(path, flags, mode);
}

int fsync(int fd) {
    FAIL_IF(next_fault(FSYNC));
    return REAL(fsync)(fd);
}

int fdatasync(int fd) {
    FAIL_IF(next_fault(FSYNC));
    return REAL(fdatasync)(fd);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*run)(void *),
        void *argument) {
    int error = next_fault(THREAD_CREATE);
    return error != 0 ? error : REAL(pthread_create)(thread, attributes, run, argument);
}
