#ifndef CELERYSPOOL_LOAD_H
#define CELERYSPOOL_LOAD_H

/* The load tool: simulates callers whose prompts share prefixes, checks each
 * answer, resumes broken streams with Last-Event-ID, and records a history. */

#include "fakes.h"

#define LOAD_TARGETS_MAX 16
#define LOAD_WORKSPACES_MAX 64
#define LOAD_VERSIONS_MAX 4
#define LOAD_SECONDS_MAX 600

typedef struct {
    char targets[LOAD_TARGETS_MAX][CS_ADDR_MAX];
    unsigned target_count;
    char engines[LOAD_TARGETS_MAX][CS_ADDR_MAX]; /* to read /truth from */
    unsigned engine_count;
    double warmup_s; /* totals exclude requests started before */
    char model[CS_NAME_MAX];
    char service[CS_NAME_MAX];
    char versions[LOAD_VERSIONS_MAX][CS_NAME_MAX];
    unsigned version_count;
    uint64_t seed;
    double rate; /* chats per second */
    double seconds;
    unsigned workspaces;
    unsigned publishers;   /* per workspace */
    unsigned live_threads; /* per publisher, at any one time */
    double zipf; /* exponent of the workspace and publisher distribution */
    unsigned level_tokens[4]; /* tokens of each message of a prompt */
    unsigned max_tokens;
    double thread_life_s; /* lifetime of threads; 0 for no limit */
    double hot_at_s;      /* when one publisher becomes hot; 0 for never */
    double hot_share;     /* share of all chats for the hot publisher */
    double burst_at_s;
    double burst_s;
    double burst_factor;
    double flood_factor;   /* multiplies the weight of workspace 0 */
    double keyed_rate;     /* idempotent service calls per second */
    unsigned key_attempts; /* calls with each key, at successive targets */
    bool bypass_router;    /* the targets are engines */
    bool unstreamed;       /* request complete JSON answers */
    unsigned deadline_ms;
    unsigned resumes_max;
    char history[256];
} load_opts_t;

int load_opts_set(load_opts_t *opts, const char *key, const char *value);
int load_opts_read(load_opts_t *opts, const char *path, err_t *err);
void load_opts_default(load_opts_t *opts);

/* A planned chat. */
typedef struct {
    double due_s; /* when to send it, from the start of the load */
    unsigned workspace;
    unsigned publisher;
    unsigned thread;
    uint64_t comment_seed;
} load_chat_t;

typedef struct load_plan load_plan_t;

load_plan_t *load_plan_new(const load_opts_t *opts);
void load_plan_free(load_plan_t *plan);
bool load_plan_next(load_plan_t *plan, load_chat_t *chat);
json_t *load_plan_messages(const load_opts_t *opts, const load_chat_t *chat);

typedef enum {
    LOAD_DONE,
    LOAD_REFUSED, /* not run, with Retry-After */
    LOAD_NOT_RUN, /* not run, for another reason */
    LOAD_UNKNOWN,
    LOAD_WRONG, /* complete with status 200, but not the expected answer */
    LOAD_OUTCOMES
} load_outcome_t;

typedef struct {
    unsigned workspace;
    double started_s; /* from the start of the load */
    double ttft_ms;   /* < 0 if no token arrived */
    double total_ms;
    unsigned resumes;
    load_outcome_t outcome;
    bool slow_refusal; /* refused, but after too long a wait */
} load_result_t;

/* The set of prompt blocks sent so far. */
typedef struct load_blocks load_blocks_t;

load_blocks_t *load_blocks_new(void);
void load_blocks_free(load_blocks_t *blocks);
void load_blocks_add(load_blocks_t *blocks, unsigned workspace,
                     const json_t *messages, bool counted);
json_t *load_blocks_json(const load_blocks_t *blocks);
json_t *load_blocks_engines_json(const load_opts_t *opts);

typedef struct load_test_report load_test_report_t;

load_test_report_t *load_report_new(size_t max);
void load_report_add(load_test_report_t *report, const load_result_t *result);
json_t *load_report_json(load_test_report_t *report, const load_opts_t *opts);
void load_report_free(load_test_report_t *report);

typedef struct load_client load_client_t;

load_client_t *load_client_new(const load_opts_t *opts,
                               load_test_report_t *report);
void load_client_send_chat(load_client_t *client, const load_chat_t *chat);
void load_client_send_keyed(load_client_t *client, uint64_t number);
size_t load_client_running_count(load_client_t *client);
json_t *load_client_keyed_json(load_client_t *client);
void load_client_free(load_client_t *client);

#endif
