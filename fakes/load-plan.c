#include "load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Plans the chats of a load: Poisson arrivals, Zipf distributions of
 * workspaces and publishers, threads with a limited lifetime, and optionally
 * one publisher that becomes hot. */

#define PUBLISHERS_MAX 256

struct load_plan {
    load_opts_t opts;
    rng_t rng;
    double at_s;
    double workspace_weight_sums[LOAD_WORKSPACES_MAX];
    double publisher_weight_sums[PUBLISHERS_MAX];
};

static void
fill_cumulative_weights(double *cumulative, unsigned count, double zipf,
                        double first_factor)
{
    double sum = 0;
    for (unsigned i = 0; i < count; i++) {
        sum += pow(i + 1.0, -zipf) * (i == 0 ? first_factor : 1.0);
        cumulative[i] = sum;
    }
}

/* Create a plan.  It is deterministic: equal options give equal plans. */
load_plan_t *
load_plan_new(const load_opts_t *opts)
{
    load_plan_t *plan = mem_zalloc(sizeof(*plan));
    plan->opts = *opts;
    plan->rng.state = opts->seed;
    if (plan->opts.workspaces > LOAD_WORKSPACES_MAX) {
        plan->opts.workspaces = LOAD_WORKSPACES_MAX;
    }
    if (plan->opts.publishers > PUBLISHERS_MAX) {
        plan->opts.publishers = PUBLISHERS_MAX;
    }
    fill_cumulative_weights(plan->workspace_weight_sums, plan->opts.workspaces,
                            opts->zipf, opts->flood_factor);
    fill_cumulative_weights(plan->publisher_weight_sums, plan->opts.publishers,
                            opts->zipf, 1);
    return plan;
}

void
load_plan_free(load_plan_t *plan)
{
    free(plan);
}

static unsigned
draw_index(rng_t *rng, const double *cumulative, unsigned count)
{
    double target = rng_unit(rng) * cumulative[count - 1];
    unsigned i = 0;
    while (i + 1 < count && cumulative[i] < target) {
        i++;
    }
    return i;
}

static double
rate_at(const load_opts_t *opts, double at_s)
{
    bool burst = opts->burst_s > 0 && at_s >= opts->burst_at_s &&
                 at_s < opts->burst_at_s + opts->burst_s;
    return opts->rate * (burst ? opts->burst_factor : 1.0);
}

/* Produce the next chat; false at the end of the plan. */
bool
load_plan_next(load_plan_t *plan, load_chat_t *chat)
{
    const load_opts_t *opts = &plan->opts;
    plan->at_s += -log(1.0 - rng_unit(&plan->rng)) / rate_at(opts, plan->at_s);
    if (plan->at_s >= opts->seconds) {
        return false;
    }
    chat->due_s = plan->at_s;
    chat->workspace =
        draw_index(&plan->rng, plan->workspace_weight_sums, opts->workspaces);
    chat->publisher =
        draw_index(&plan->rng, plan->publisher_weight_sums, opts->publishers);
    double hot_draw = rng_unit(&plan->rng);
    if (opts->hot_at_s > 0 && plan->at_s >= opts->hot_at_s &&
        hot_draw < opts->hot_share) {
        chat->workspace = opts->workspaces - 1;
        chat->publisher = opts->publishers - 1;
    }
    unsigned thread_period = opts->thread_life_s > 0
                                 ? (unsigned)(plan->at_s / opts->thread_life_s)
                                 : 0;
    chat->thread = (unsigned)rng_below(&plan->rng, opts->live_threads) +
                   thread_period * opts->live_threads;
    chat->comment_seed = rng_next(&plan->rng);
    return true;
}

static json_t *
random_message(const char *role, uint64_t seed, unsigned tokens)
{
    static const char letters[] = "etaoin shrdlu cm";
    rng_t rng = {seed};
    CLEAN_BUF buf_t text = {0};
    for (unsigned i = 0; i < tokens; i++) {
        char token[PREFIX_TOKEN_BYTES];
        uint64_t bits = rng_next(&rng);
        for (int j = 0; j < PREFIX_TOKEN_BYTES; j++) {
            token[j] = letters[(bits >> (4 * j)) & 15];
        }
        buf_add(&text, token, sizeof(token));
    }
    return json_pack("{s:s,s:s}", "role", role, "content", buf_text(&text));
}

static uint64_t
derive_seed(uint64_t seed, uint64_t value)
{
    rng_t rng = {seed ^ (value * 0x9e3779b97f4a7c15ULL)};
    return rng_next(&rng);
}

/* The four messages of a chat: the workspace's rules, the publisher's
 * guidance, the thread, and the comment.  Chats share prefixes of these. */
json_t *
load_plan_messages(const load_opts_t *opts, const load_chat_t *chat)
{
    uint64_t rules = derive_seed(opts->seed, chat->workspace);
    uint64_t guidance = derive_seed(rules, chat->publisher + 1);
    uint64_t thread = derive_seed(guidance, chat->thread + 1);
    json_t *messages = json_array();
    (void)json_array_append_new(
        messages, random_message("system", rules, opts->level_tokens[0]));
    (void)json_array_append_new(
        messages, random_message("system", guidance, opts->level_tokens[1]));
    (void)json_array_append_new(
        messages, random_message("user", thread, opts->level_tokens[2]));
    (void)json_array_append_new(
        messages,
        random_message("user", chat->comment_seed, opts->level_tokens[3]));
    return messages;
}
