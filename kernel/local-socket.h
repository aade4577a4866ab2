#ifndef CELERYSPOOL_LOCAL_SOCKET_H
#define CELERYSPOOL_LOCAL_SOCKET_H

/* Sockets on local addresses.  An address may be unavailable for a while: a
 * former process of this daemon still runs, another program's connection has
 * it as its local address, or it is not configured yet. */

#include "base.h"

typedef enum {
    LOCAL_LISTENER, /* a listening TCP socket */
    LOCAL_DATAGRAMS /* a UDP socket */
} local_socket_kind_t;

typedef struct {
    const char *use; /* what the address is for, in the log */
    const char *addr;
    local_socket_kind_t kind;
    int fd;         /* set by the functions below; -1 if not open */
    int last_errno; /* why the last try failed, or 0 */
    int64_t unavailable_since_ms; /* 0 before a try has failed */
} local_socket_t;

bool local_socket_error_passes(int error);
int local_socket_open(local_socket_t *local, err_t *err);
void local_socket_release(int fd);
int local_sockets_wait(local_socket_t *locals, size_t count, err_t *err);

#endif
