#ifndef CELERYSPOOL_REQUEST_WALK_H
#define CELERYSPOOL_REQUEST_WALK_H

/* Loops over all requests in which any of them may end: handling one may
 * reject others that wait, the next one too. */

#include <ck_queue.h>

struct request;

typedef CK_LIST_HEAD(request_list, request) request_list_t;

typedef struct request_walk {
    CK_LIST_ENTRY(request_walk) entry;
    struct request *next; /* NULL at the end */
} request_walk_t;

/* The loops that are under way; they may be nested. */
typedef CK_LIST_HEAD(request_walks, request_walk) request_walks_t;

void request_walk_begin(request_walk_t *walk, request_walks_t *walks,
                        const request_list_t *requests);
struct request *request_walk_next(request_walk_t *walk);
void request_walk_end(request_walk_t *walk);
void request_walks_note_end(request_walks_t *walks,
                            const struct request *request);

#define CLEAN_WALK __attribute__((cleanup(request_walk_end)))

#endif
