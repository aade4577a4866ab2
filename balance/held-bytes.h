#ifndef CELERYSPOOL_HELD_BYTES_H
#define CELERYSPOOL_HELD_BYTES_H

/* Accounts the bytes that a host holds for callers and for servers that have
 * not read them, and decides from which servers it reads no further until
 * their callers have read (back pressure).
 *
 * Each holder, the answers of one caller's connection, may hold a fixed part
 * of the budget that is still free.  The more is held, the less a single
 * holder may hold, so the largest ones are stopped first and the total
 * approaches the budget without reaching it.  Bytes that no caller can read
 * yet, of an answer that is passed on when it is complete, are stopped only
 * once the budget is used up, and the largest of those never: it is the
 * nearest to its end. */

#include "../kernel/base.h"

#include <ck_queue.h>

/* A holder is never stopped while it has fewer bytes than this: a few hundred
 * events of usual size, or one large one. */
#define HELD_FLOOR_BYTES (32u << 10)
/* A holder with more bytes than this is stopped whatever is free: it is
 * several seconds of the fastest stream. */
#define HELD_HOLDER_BYTES_MAX (4u << 20)
/* A server is read from again after this time even if its caller reads
 * nothing, ms.  Servers cut off an answer that is left unread for some
 * seconds. */
#define HELD_STOP_MS_MAX 1700
/* Kernel buffers of a connection, bytes.  What the kernel holds is charged to
 * the host's memory, too: the buffer of a server's connection is full while
 * nothing is read from it (the kernel takes twice as much as is asked for),
 * and a caller's holds what was not sent yet. */
#define HELD_RECEIVE_BYTES (16u << 10)
#define HELD_UNSENT_BYTES (32u << 10)
/* Bytes that are then read before the next stop: the whole receive buffer.
 * Linux opens a closed window only once about all of the buffer is free: with
 * a buffer of 64 KiB, no second read of 32 KiB let the server send. */
#define HELD_REOPEN_BYTES (2 * HELD_RECEIVE_BYTES)

/* What is held for one caller's connection. */
typedef struct held_holder {
    CK_LIST_ENTRY(held_holder) entry;
    size_t ready;       /* bytes that the caller can read */
    size_t unready;     /* bytes of an answer or event that is not complete */
    size_t reopen_end;  /* not stopped below; 0 if there is no such bound */
    int64_t stopped_ms; /* when reading from its server was stopped */
    int64_t read_ms;    /* when its caller last read, or bytes were first held
                         */
    bool stopped;
} held_holder_t;

typedef CK_LIST_HEAD(held_holder_list, held_holder) held_holder_list_t;

typedef struct {
    size_t budget; /* 0: nothing is ever stopped */
    size_t hard_max;
    size_t caller_bytes; /* of all holders */
    size_t server_bytes; /* bodies of requests */
    size_t holding;      /* number of holders with bytes */
    size_t stopped;      /* number of holders that are stopped */
    held_holder_list_t holders;
} held_bytes_t;

void held_bytes_init(held_bytes_t *held, size_t memory_bytes);
void held_bytes_add(held_bytes_t *held, held_holder_t *holder);
void held_bytes_remove(held_bytes_t *held, held_holder_t *holder);
void held_bytes_set(held_bytes_t *held, held_holder_t *holder, size_t ready,
                    size_t unready, bool caller_read, int64_t now_ms);
void held_bytes_set_servers(held_bytes_t *held, size_t bytes);
size_t held_bytes_total(const held_bytes_t *held);
size_t held_bytes_holder_max(const held_bytes_t *held);
size_t held_bytes_body_max(const held_bytes_t *held, bool small);
bool held_bytes_should_stop(const held_bytes_t *held,
                            const held_holder_t *holder);
bool held_bytes_should_resume(const held_bytes_t *held,
                              const held_holder_t *holder, int64_t now_ms);
void held_bytes_stop(held_bytes_t *held, held_holder_t *holder,
                     int64_t now_ms);
void held_bytes_resume(held_bytes_t *held, held_holder_t *holder);
held_holder_t *held_bytes_find_excess(const held_bytes_t *held);

#endif
