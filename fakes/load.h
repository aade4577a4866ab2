#ifndef CELERYSPOOL_LOAD_H
#define CELERYSPOOL_LOAD_H

/* The load tool: callers with nested prompts, who check each answer, come
 * back with Last-Event-ID after a cut, and keep a history. */

#include "fakes.h"

#define LOAD_TARGETS_MAX 16
#define LOAD_WORKSPACES_MAX 64
#define LOAD_VERSIONS_MAX 4
#define LOAD_SECONDS_MAX 600

typedef struct {
    char targets[LOAD_TARGETS_MAX][CS_ADDR_MAX];
    unsigned target_count;
    char engines[LOAD_TARGETS_MAX][CS_ADDR_MAX]; /* asked for their truth */
    unsigned engine_count;
    double warm_s; /* what began before is left out of the figures */
    char model[CS_NAME_MAX];
    char service[CS_NAME_MAX];
    char versions[LOAD_VERSIONS_MAX][CS_NAME_MAX];
    unsigned version_count;
    uint64_t seed;
    double rate; /* chats a second */
    double seconds;
    unsigned workspaces;
    unsigned publishers; /* of a workspace */
    unsigned threads;    /* live at once under a publisher */
    double zipf;         /* how unequal workspaces and publishers are */
    unsigned tokens[4];  /* of each level */
    unsigned max_tokens;
    double thread_life_s; /* after which a publisher's threads are others */
    double hot_at_s;      /* when one publisher turns hot; 0 for never */
    double hot_share;     /* of all chats, to the hot publisher */
    double burst_at_s;
    double burst_s;
    double burst_factor;
    double flood_factor;  /* workspace 0 sends so many times its share */
    double keyed_rate;    /* service calls with a key, a second */
    unsigned key_repeats; /* attempts for each key, at other targets */
    bool direct;          /* straight to engines, without router */
    bool whole;           /* not streamed */
    unsigned deadline_ms;
    unsigned resumes_max;
    char history[256];
} load_opts_t;

int load_opts_set(load_opts_t *opts, const char *key, const char *value);
int load_opts_read(load_opts_t *opts, const char *path, err_t *err);
void load_opts_default(load_opts_t *opts);

/* One planned chat. */
typedef struct {
    double at_s;
    unsigned workspace;
    unsigned publisher;
    unsigned thread;
    uint64_t comment;
} load_ask_t;

typedef struct load_plan load_plan_t;

load_plan_t *load_plan_new(const load_opts_t *opts);
void load_plan_free(load_plan_t *plan);
bool load_plan_next(load_plan_t *plan, load_ask_t *ask);
json_t *load_messages(const load_opts_t *opts, const load_ask_t *ask);

typedef enum {
    LOAD_DONE,
    LOAD_REFUSED, /* not run, with Retry-After */
    LOAD_NOT_RUN, /* not run, for another reason */
    LOAD_UNKNOWN,
    LOAD_WRONG, /* an answer that looked whole and was not right */
    LOAD_OUTCOMES
} load_outcome_t;

typedef struct {
    unsigned workspace;
    double at_s;
    double ttft_ms; /* < 0 without a first token */
    double total_ms;
    unsigned resumes;
    load_outcome_t outcome;
    bool slow_refusal; /* refused without Retry-After, or after long */
} load_result_t;

/* What prompts have in common: which blocks some prompt had before. */
typedef struct load_blocks load_blocks_t;

load_blocks_t *load_blocks_new(void);
void load_blocks_free(load_blocks_t *blocks);
void load_blocks_add(load_blocks_t *blocks, unsigned workspace,
                     const json_t *messages, bool count);
json_t *load_blocks_json(const load_blocks_t *blocks);
json_t *load_engines_json(const load_opts_t *opts);

typedef struct load_report load_report_out_t;

load_report_out_t *load_report_new(size_t max);
void load_report_add(load_report_out_t *report, const load_result_t *result);
json_t *load_report_json(load_report_out_t *report, const load_opts_t *opts);
void load_report_free(load_report_out_t *report);

typedef struct load_client load_client_t;

load_client_t *load_client_new(const load_opts_t *opts,
                               load_report_out_t *report);
void load_client_chat(load_client_t *client, const load_ask_t *ask);
void load_client_keyed(load_client_t *client, uint64_t number);
size_t load_client_running(load_client_t *client);
json_t *load_client_keyed_json(load_client_t *client);
void load_client_free(load_client_t *client);

#endif
