#include "load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* What is asked when: Poisson arrivals; workspaces and publishers by Zipf's
 * law; threads that live for a while; one publisher that may turn hot. */

#define PUBLISHERS_MAX 256

struct load_plan {
    load_opts_t opts;
    rng_t rng;
    double at_s;
    double workspace_sums[LOAD_WORKSPACES_MAX];
    double publisher_sums[PUBLISHERS_MAX];
};

static void
fill_sums(double *sums, unsigned count, double zipf, double first_factor)
{
    double sum = 0;
    for (unsigned i = 0; i < count; i++) {
        sum += pow(i + 1.0, -zipf) * (i == 0 ? first_factor : 1.0);
        sums[i] = sum;
    }
}

/* Plan a load; equal options give equal plans. */
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
    fill_sums(plan->workspace_sums, plan->opts.workspaces, opts->zipf,
              opts->flood_factor);
    fill_sums(plan->publisher_sums, plan->opts.publishers, opts->zipf, 1);
    return plan;
}

void
load_plan_free(load_plan_t *plan)
{
    free(plan);
}

static unsigned
draw(rng_t *rng, const double *sums, unsigned count)
{
    double at = rng_unit(rng) * sums[count - 1];
    unsigned i = 0;
    while (i + 1 < count && sums[i] < at) {
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

/* The next chat; false at the end of the plan. */
bool
load_plan_next(load_plan_t *plan, load_ask_t *ask)
{
    const load_opts_t *opts = &plan->opts;
    plan->at_s += -log(1.0 - rng_unit(&plan->rng)) / rate_at(opts, plan->at_s);
    if (plan->at_s >= opts->seconds) {
        return false;
    }
    ask->at_s = plan->at_s;
    ask->workspace = draw(&plan->rng, plan->workspace_sums, opts->workspaces);
    ask->publisher = draw(&plan->rng, plan->publisher_sums, opts->publishers);
    double dice = rng_unit(&plan->rng);
    if (opts->hot_at_s > 0 && plan->at_s >= opts->hot_at_s &&
        dice < opts->hot_share) {
        ask->workspace = opts->workspaces - 1;
        ask->publisher = opts->publishers - 1;
    }
    unsigned era = opts->thread_life_s > 0
                       ? (unsigned)(plan->at_s / opts->thread_life_s)
                       : 0;
    ask->thread =
        (unsigned)rng_below(&plan->rng, opts->threads) + era * opts->threads;
    ask->comment = rng_next(&plan->rng);
    return true;
}

static json_t *
message(const char *role, uint64_t seed, unsigned tokens)
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
mix(uint64_t seed, uint64_t value)
{
    rng_t rng = {seed ^ (value * 0x9e3779b97f4a7c15ULL)};
    return rng_next(&rng);
}

/* The four levels of a chat: house rules, guidance, thread, comment. */
json_t *
load_messages(const load_opts_t *opts, const load_ask_t *ask)
{
    uint64_t rules = mix(opts->seed, ask->workspace);
    uint64_t guidance = mix(rules, ask->publisher + 1);
    uint64_t thread = mix(guidance, ask->thread + 1);
    json_t *messages = json_array();
    (void)json_array_append_new(messages,
                                message("system", rules, opts->tokens[0]));
    (void)json_array_append_new(messages,
                                message("system", guidance, opts->tokens[1]));
    (void)json_array_append_new(messages,
                                message("user", thread, opts->tokens[2]));
    (void)json_array_append_new(
        messages, message("user", ask->comment, opts->tokens[3]));
    return messages;
}
