#include "request-walk.h"

#include "request.h"

/* Starts a loop over the requests of a list.  Requests that are added
 * meanwhile are not visited. */
void
request_walk_begin(request_walk_t *walk, request_walks_t *walks,
                   const request_list_t *requests)
{
    walk->next = CK_LIST_FIRST(requests);
    CK_LIST_INSERT_HEAD(walks, walk, entry);
}

/* Returns the next request, or NULL after the last one. */
request_t *
request_walk_next(request_walk_t *walk)
{
    request_t *request = walk->next;
    if (request != NULL) {
        walk->next = CK_LIST_NEXT(request, entry);
    }
    return request;
}

void
request_walk_end(request_walk_t *walk)
{
    CK_LIST_REMOVE(walk, entry);
}

/* A request is about to leave its list: no loop may return it any more. */
void
request_walks_note_end(request_walks_t *walks, const request_t *request)
{
    request_walk_t *walk;
    CK_LIST_FOREACH (walk, walks, entry) {
        if (walk->next == request) {
            walk->next = CK_LIST_NEXT(request, entry);
        }
    }
}
