#ifndef CELERYSPOOL_FAKES_H
#define CELERYSPOOL_FAKES_H

/* Stand-ins for external systems, and the load tool that drives them. */

#include "../kernel/http.h"
#include "../kernel/prefix.h"

#include <ck_queue.h>

uint64_t answer_seed(const char *prompt, size_t len, const char *version);
void answer_format_token(uint64_t seed, uint32_t index, char out[16]);
uint32_t answer_count_tokens(const char *text);

/* The engine's block cache: a fixed number of blocks with LRU eviction, and
 * the numbered events that it publishes. */
typedef struct engine_cache engine_cache_t;

engine_cache_t *engine_cache_new(size_t blocks_max);
void engine_cache_free(engine_cache_t *cache);
void engine_cache_clear(engine_cache_t *cache);
bool engine_cache_lookup(engine_cache_t *cache, uint64_t key);
bool engine_cache_contains(const engine_cache_t *cache, uint64_t key);
void engine_cache_store(engine_cache_t *cache, uint64_t key);
size_t engine_cache_size(const engine_cache_t *cache);
json_t *engine_cache_list_events(engine_cache_t *cache, uint64_t after,
                                 unsigned drop_percent, rng_t *rng);

/* An engine's settings, injected faults included; POST /control changes them
 * at run time. */
typedef struct {
    unsigned step_ms;      /* duration of a decode step */
    unsigned prefill_rate; /* tokens per second */
    unsigned slots;        /* sequences that run concurrently */
    unsigned load_lag_ms;
    unsigned slow_factor; /* 1 is normal speed */
    unsigned event_drop_percent;
    unsigned version_load_ms;
    bool honours_fencing;
    bool frozen; /* no steps are executed */
} engine_settings_t;

typedef struct seq {
    CK_LIST_ENTRY(seq) entry;
    char id[CS_ID_LEN + 1];
    http_req_t *req; /* NULL while no client is attached */
    bool stream;
    bool stalled; /* nothing more is sent on its connection */
    int priority;
    uint64_t arrival;
    uint64_t seed;
    uint64_t *blocks;
    size_t block_count;
    size_t cached_block_count;
    uint32_t prompt_tokens;
    uint32_t cached_tokens;
    double prefill_remaining; /* tokens still to prefill */
    bool started;
    uint32_t emitted;
    uint32_t max_tokens;
    bool done;
    int64_t ended_ms;
} seq_t;

typedef CK_LIST_HEAD(seq_list, seq) seq_list_t;

typedef struct {
    pthread_mutex_t lock;
    char name[CS_NAME_MAX];
    char incarnation[CS_ID_LEN + 1];
    char version[CS_NAME_MAX];
    char loading[CS_NAME_MAX]; /* weights being loaded; empty if none */
    int64_t loading_until_ms;  /* end of the load in progress */
    int64_t fencing_token;
    engine_settings_t settings;
    engine_cache_t *cache;
    seq_list_t seqs;
    unsigned seq_count;
    uint64_t next_arrival;
    rng_t rng;
    uint64_t tokens_prefilled;
    uint64_t tokens_cached;
    uint64_t tokens_emitted;
    uint64_t requests;
    json_t *executed; /* request ids in order of admission, for checkers */
    json_t *loaded_versions; /* weights versions in order of loading */
    json_t *load_report;
    int64_t load_report_ms;
} engine_t;

void engine_init(engine_t *engine, const char *name, size_t blocks_max);
void engine_free(engine_t *engine);
void engine_restart_empty(engine_t *engine);
seq_t *engine_admit(engine_t *engine, const json_t *body, http_req_t *req,
                    err_t *err);
void engine_step(engine_t *engine, double seconds);
seq_t *engine_find(engine_t *engine, const char *id);
void engine_emit_tokens(engine_t *engine, seq_t *seq, uint32_t from,
                        uint32_t to);
void engine_finish_response(engine_t *engine, seq_t *seq);
json_t *engine_get_load_report(engine_t *engine);
void engine_handle(http_req_t *req, void *arg);

#endif
