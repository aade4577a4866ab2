#ifndef CELERYSPOOL_STORE_H
#define CELERYSPOOL_STORE_H

/* A client of the platform's object API: versioned objects, conditional
 * update, watch. */

#define STORE_VALUE_MAX (1 << 20) /* bytes of one object */

#include "http.h"

typedef enum {
    STORE_OK,
    STORE_ABSENT,   /* no such object, or a watch that timed out */
    STORE_CONFLICT, /* the object has another version than expected */
    STORE_REFUSED,  /* no effect: unreachable, invalid or rate limited */
    STORE_UNKNOWN   /* effect unknown: disconnected, timeout, server error */
} store_result_t;

typedef struct {
    store_result_t result;
    int64_t version;
    json_t *value; /* result of a read; valid only during the callback */
} store_reply_t;

typedef void (*store_callback_t)(void *arg, const store_reply_t *reply);

typedef struct store store_t;

store_t *store_new(http_client_t *client, const char *addr, int timeout_ms);
void store_free(store_t *store);
void store_get(store_t *store, const char *name, store_callback_t done,
               void *arg);
void store_put(store_t *store, const char *name, int64_t version,
               const json_t *value, store_callback_t done, void *arg);
/* These block the calling thread. */
store_result_t store_get_wait(store_t *store, const char *name,
                              int64_t *version, json_t **value);
store_result_t store_watch_wait(store_t *store, const char *name,
                                int64_t after, int wait_ms, int64_t *version,
                                json_t **value);
store_result_t store_put_wait(store_t *store, const char *name,
                              int64_t expected, const json_t *value,
                              int64_t *version);
json_t *store_list_hosts_wait(store_t *store);
const char *store_result_name(store_result_t result);
uint64_t store_call_count(const store_t *store);

#endif
