#include "config-former.h"
#include "list-walk.h"
#include "origin-store.h"
#include "peers.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 300
#define CALL_TIMEOUT_MS 1000
#define STALL_MS 700
/* Origins are read again for a stream that is not among them after this time,
 * ms, and as much more for every so many hosts, since all of them may read
 * after they have been killed together. */
#define READ_INTERVAL_MS 1000
#define HOSTS_PER_READ_INTERVAL 32
/* What was read is dropped after this time without use, ms. */
#define READ_KEPT_MS 60000
/* Objects whose origins have all expired this long ago, ms, are removed: their
 * host does not write them again.  So many are remembered at once. */
#define GARBAGE_AGE_MS 60000
#define GARBAGE_MAX 32
/* Most origins in one object. */
#define SEGMENT_ORIGINS_MAX 512
#define NAME_MAX_LEN (CS_NAME_MAX + 16)

typedef enum {
    WRITE_IDLE,
    WRITE_REPLACE,
    WRITE_CREATE, /* the object did not exist */
    WRITE_REMOVE  /* removes another one */
} write_step_t;

typedef struct {
    char name[NAME_MAX_LEN];
    int64_t revision;
} garbage_t;

struct origin_store {
    relay_t *relay;
    int64_t boot_wall_ms; /* wall clock when the monotonic one was 0, as of the
                             start: steps of the wall clock do not count */

    origin_batch_t batch;
    fetch_t *write;
    write_step_t step;
    size_t writing; /* origins of the batch that are being written */
    int64_t slot;   /* of the last write, since 1970 */
    char segment[NAME_MAX_LEN]; /* the object that is being written */
    garbage_t garbage[GARBAGE_MAX];
    size_t garbage_count;

    fetch_t *read;
    list_walk_t walk; /* of the list that is being read */
    origin_records_t reading;
    origin_records_t records;
    int64_t read_ms; /* when the last read began; 0 if there was none */
    int64_t used_ms;
};

origin_store_t *
origin_store_new(relay_t *relay)
{
    origin_store_t *store = mem_zalloc(sizeof(*store));
    store->relay = relay;
    store->boot_wall_ms = time_wall_ms() - time_mono_ms();
    return store;
}

static int64_t
longest_timeout_ms(const relay_t *relay)
{
    return relay->config != NULL
               ? config_former_timeout_ms(relay->config, time_mono_ms())
               : 0;
}

/* ---- what is recorded ---- */

static void
batch_origin(origin_store_t *store, const stream_origin_t *origin)
{
    const origin_record_t record = {
        .stream = origin->stream,
        .service = origin->service,
        .software = origin->software,
        .expires_ms = time_wall_ms() + origin->expires_ms - time_mono_ms()};
    origin_batch_add(&store->batch, &record);
}

/* Whether a service has several versions, or had while streams began that are
 * still under way. */
static bool
has_several(const origin_store_t *store, uint64_t service)
{
    const relay_t *relay = store->relay;
    int64_t window_ms = longest_timeout_ms(relay) + REQUEST_BEGAN_MARGIN_MS;
    return software_seen_several(&relay->software_seen, service,
                                 time_wall_ms() - window_ms);
}

/* Whether the origin of a stream is to be recorded by itself: the store's
 * record of the versions in use does not show it. */
static bool
needs_record(const origin_store_t *store, const stream_origin_t *origin)
{
    return has_several(store, origin->service) ||
           !software_record_lists(&store->relay->software_record,
                                  origin->service, origin->software,
                                  time_mono_ms());
}

/* Records the origin of a stream that this host began, itself or through the
 * host that does so for it. */
static void
record_origin(origin_store_t *store, const stream_origin_t *origin)
{
    relay_t *relay = store->relay;
    stream_origins_set_unrecorded(&relay->stream_origins, &origin->stream,
                                  false);
    if (!peers_send_to_recorder(relay->peers, origin)) {
        batch_origin(store, origin);
    }
}

/* Adds an origin that another host has sent to be recorded. */
void
origin_store_add(origin_store_t *store, const stream_origin_t *origin)
{
    batch_origin(store, origin);
}

/* Notes a stream that this host has begun, once it is known which process of
 * its server sent its first event. */
void
origin_store_note(origin_store_t *store, const stream_origin_t *origin)
{
    if (origin->software == SOFTWARE_UNKNOWN) {
        return;
    }
    stream_origins_set_unrecorded(&store->relay->stream_origins,
                                  &origin->stream, true);
    if (needs_record(store, origin)) {
        record_origin(store, origin);
    }
}

static bool
any_service_has_several(const origin_store_t *store)
{
    const software_seen_t *seen = &store->relay->software_seen;
    for (size_t i = 1; i < seen->count; i++) {
        if (has_several(store, seen->list[i].service)) {
            return true;
        }
    }
    return false;
}

/* Records the streams that began while their service had one version, once it
 * has several. */
static void
record_earlier(origin_store_t *store, int64_t now)
{
    const stream_origin_t *unrecorded[STREAM_ORIGINS_MAX];
    if (!any_service_has_several(store)) {
        return;
    }
    size_t count = stream_origins_list_unrecorded(
        &store->relay->stream_origins, unrecorded, now);
    uint64_t service = 0;
    bool needed = false;
    size_t recorded = 0;
    for (size_t i = 0; i < count; i++) {
        if (i == 0 || unrecorded[i]->service != service) {
            service = unrecorded[i]->service;
            needed = has_several(store, service);
        }
        if (needed) {
            record_origin(store, unrecorded[i]);
            recorded++;
        }
    }
    if (recorded > 0) {
        log_record(LOG_INFO, "origins", "recorded", "streams=%zu", recorded);
    }
}

/* ---- writes ---- */

static void on_written(void *arg, const fetch_result_t *result);

static void
send_write(origin_store_t *store, const buf_t *call)
{
    const char *addr = store->relay->settings.store_addr;
    const fetch_options_t options = {.addr = addr,
                                     .request = call,
                                     .connect_ms = CONNECT_TIMEOUT_MS,
                                     .total_ms = CALL_TIMEOUT_MS,
                                     .on_done = on_written,
                                     .arg = store};
    store->write = fetch_start(store->relay->exchanges, &options);
}

static void
write_segment(origin_store_t *store, write_step_t step)
{
    const char *addr = store->relay->settings.store_addr;
    CLEAN_BUF buf_t call = {0};
    CLEAN_JSON json_t *spec =
        platform_origins_spec(store->batch.all, store->writing);
    store->step = step;
    if (step == WRITE_CREATE) {
        platform_create_call(&call, addr, KIND_ORIGINS, store->segment, spec);
    }
    else {
        platform_replace_call(&call, addr, KIND_ORIGINS, store->segment, 0,
                              spec);
    }
    send_write(store, &call);
}

/* A failed write is repeated in the next slot, with what has come since: if it
 * was carried out nevertheless, the same origin is there twice. */
static void
on_written(void *arg, const fetch_result_t *result)
{
    origin_store_t *store = arg;
    store->write = NULL;
    bool done = result->complete && result->status / 100 == 2;
    switch (store->step) {
        case WRITE_REPLACE:
            if (result->complete && result->status == 404) {
                write_segment(store, WRITE_CREATE);
                return;
            }
            break;
        case WRITE_CREATE:
            break;
        case WRITE_REMOVE:
        case WRITE_IDLE:
            store->step = WRITE_IDLE;
            return;
    }
    store->step = WRITE_IDLE;
    if (!done) {
        log_record(LOG_WARN, "origins", "not-written",
                   "segment=%s status=%d origins=%zu", store->segment,
                   result->status, store->writing);
        return;
    }
    origin_batch_drop(&store->batch, store->writing);
}

/* Removes an object that a host which is gone has left. */
static void
remove_garbage(origin_store_t *store)
{
    CLEAN_BUF buf_t call = {0};
    const garbage_t *garbage = &store->garbage[--store->garbage_count];
    store->step = WRITE_REMOVE;
    platform_delete_call(&call, store->relay->settings.store_addr,
                         KIND_ORIGINS, garbage->name, garbage->revision);
    send_write(store, &call);
}

/* Writes what waits, once a slot. */
static void
write_batch(origin_store_t *store)
{
    int64_t slot_ms = origin_slot_ms(longest_timeout_ms(store->relay));
    int64_t slot = (store->boot_wall_ms + time_mono_ms()) / slot_ms;
    origin_batch_expire(&store->batch, time_wall_ms());
    if (store->batch.count == 0 || slot == store->slot) {
        return;
    }
    store->slot = slot;
    store->writing = store->batch.count < SEGMENT_ORIGINS_MAX
                         ? store->batch.count
                         : SEGMENT_ORIGINS_MAX;
    origin_segment_name(store->relay->settings.name, slot_ms, slot,
                        store->segment, sizeof(store->segment));
    write_segment(store, WRITE_REPLACE);
}

/* ---- reads ---- */

static void
add_record(void *arg, const origin_record_t *record)
{
    origin_records_add(arg, record, time_wall_ms());
}

/* Notes an object whose origins have expired.  One that states no time is not
 * of a host. */
static void
note_garbage(origin_store_t *store, const store_object_t *object)
{
    int64_t until_ms = platform_origins_until(object);
    if (store->garbage_count == GARBAGE_MAX || until_ms <= 0 ||
        until_ms >= time_wall_ms() - GARBAGE_AGE_MS ||
        strlen(object->name) >= NAME_MAX_LEN) {
        return;
    }
    garbage_t *garbage = &store->garbage[store->garbage_count++];
    str_copy(garbage->name, sizeof(garbage->name), object->name);
    garbage->revision = object->revision;
}

static void read_page(origin_store_t *store);

/* Ends a read.  What an earlier one has found is kept if it failed. */
static void
end_read(origin_store_t *store, bool complete)
{
    if (complete) {
        origin_records_complete(&store->reading);
        origin_records_clear(&store->records);
        store->records = store->reading;
        memset(&store->reading, 0, sizeof(store->reading));
    }
    else {
        origin_records_clear(&store->reading);
    }
    list_walk_reset(&store->walk);
    log_record(LOG_INFO, "origins", complete ? "read" : "not-read",
               "origins=%zu after_ms=%lld", store->records.count,
               (long long)(time_mono_ms() - store->read_ms));
    requests_apply_records(store->relay, complete);
}

/* Applies a page of the list. */
static list_step_t
apply_page(origin_store_t *store, const fetch_result_t *result)
{
    store_page_t page;
    err_t err = {0};
    if (platform_page_read(&page, result->text, result->len, &err) != 0) {
        return LIST_CUT;
    }
    for (size_t i = 0; i < page.count; i++) {
        platform_origins_read(&page.objects[i], add_record, &store->reading);
        note_garbage(store, &page.objects[i]);
    }
    list_step_t step = list_walk_page(&store->walk, &page);
    platform_page_free(&page);
    return step;
}

/* Returns how the read goes on after an answer.  A name after which the store
 * refuses to go on is replaced by another one. */
static list_step_t
apply_answer(origin_store_t *store, const fetch_result_t *result)
{
    if (result->complete && result->status == 200) {
        return apply_page(store, result);
    }
    bool refused = result->complete && list_walk_has_page(&store->walk);
    return refused ? list_walk_fail(&store->walk) : LIST_CUT;
}

static void
on_page(void *arg, const fetch_result_t *result)
{
    origin_store_t *store = arg;
    store->read = NULL;
    switch (apply_answer(store, result)) {
        case LIST_NEXT:
        case LIST_RETRY:
            read_page(store);
            return;
        case LIST_COMPLETE:
            end_read(store, true);
            return;
        case LIST_CUT:
            end_read(store, false);
            return;
    }
}

static void
read_page(origin_store_t *store)
{
    const char *addr = store->relay->settings.store_addr;
    CLEAN_BUF buf_t call = {0};
    platform_list_call(&call, addr, KIND_ORIGINS,
                       list_walk_cursor(&store->walk));
    const fetch_options_t options = {.addr = addr,
                                     .request = &call,
                                     .repeatable = true,
                                     .connect_ms = CONNECT_TIMEOUT_MS,
                                     .total_ms = CALL_TIMEOUT_MS,
                                     .stall_ms = STALL_MS,
                                     .on_done = on_page,
                                     .arg = store};
    store->read = fetch_start(store->relay->exchanges, &options);
}

/* Begins a read unless the last one was a short time ago. */
static void
begin_read(origin_store_t *store, int64_t now)
{
    size_t daemons = peers_live_count(store->relay->peers);
    int64_t interval_ms =
        READ_INTERVAL_MS * (1 + (int64_t)(daemons / HOSTS_PER_READ_INTERVAL));
    if (store->read != NULL ||
        (store->read_ms != 0 && now - store->read_ms < interval_ms)) {
        return;
    }
    store->read_ms = now;
    list_walk_reset(&store->walk);
    read_page(store);
}

/* Finds the origin of a stream that no host knows. */
origin_store_answer_t
origin_store_find(origin_store_t *store, const stream_id_t *stream,
                  stream_origin_t *out)
{
    origin_record_t record;
    int64_t now = time_mono_ms();
    int64_t wall = time_wall_ms();
    store->used_ms = now;
    if (origin_records_find(&store->records, stream, wall, &record)) {
        *out = (stream_origin_t){.stream = *stream,
                                 .service = record.service,
                                 .software = record.software,
                                 .expires_ms = now + record.expires_ms - wall};
        return ORIGIN_STORE_FOUND;
    }
    begin_read(store, now);
    return store->read != NULL ? ORIGIN_STORE_READING : ORIGIN_STORE_NONE;
}

/* Does the periodic work. */
void
origin_store_tick(origin_store_t *store, int64_t now)
{
    record_earlier(store, now);
    if (store->write == NULL) {
        write_batch(store);
    }
    if (store->write == NULL && store->garbage_count > 0) {
        remove_garbage(store);
    }
    if (store->records.count > 0 && now - store->used_ms > READ_KEPT_MS) {
        origin_records_clear(&store->records);
    }
}
