#include "../kernel/tables.h"
#include "test.h"

#include <string.h>

static json_t *
chat(const char *rules, const char *comment)
{
    return json_pack("[{s:s,s:s},{s:s,s:s}]", "role", "system", "content",
                     rules, "role", "user", "content", comment);
}

static const char long_rules[] =
    "These are the house rules of a newspaper, long enough to fill a few "
    "blocks of sixteen tokens each, so that a level ends somewhere inside "
    "the prompt and is worth remembering, line after line after line after "
    "line after line, until there is enough of it for the test to use.";

static void
compute_prefix(prefix_t *prefix, const char *rules, const char *salt,
               const char *version)
{
    CLEAN_JSON json_t *messages = chat(rules, long_rules);
    prefix_compute(prefix, messages, salt, version);
}

/* Guards against answers computed from another workspace's cached prefix or
 * from cache entries of older weights: if the workspace or the version
 * differs, equal texts must not have the same key at any level. */
START_TEST(keys_of_other_workspaces_and_versions_never_match)
{
    prefix_t own;
    prefix_t other_workspace;
    prefix_t older_version;
    prefix_t repeated;
    unsigned char secret[32] = {1};
    char salt_a[CS_ID_LEN + 1];
    char salt_b[CS_ID_LEN + 1];
    cache_salt_derive(secret, "ws-a", "m", salt_a);
    cache_salt_derive(secret, "ws-b", "m", salt_b);
    compute_prefix(&own, long_rules, salt_a, "v2");
    compute_prefix(&repeated, long_rules, salt_a, "v2");
    compute_prefix(&other_workspace, long_rules, salt_b, "v2");
    compute_prefix(&older_version, long_rules, salt_a, "v1");
    ck_assert_uint_eq(own.count, 2);
    ck_assert_uint_eq(prefix_shared_tokens(&own, &repeated),
                      own.levels[1].tokens);
    ck_assert_uint_eq(prefix_shared_tokens(&own, &other_workspace), 0);
    ck_assert_uint_eq(prefix_shared_tokens(&own, &older_version), 0);
}
END_TEST

/* Guards against stale cache entries of an engine that crashes between lookup
 * and send and restarts with an empty cache: one new epoch invalidates all its
 * levels, and levels added later count again. */
START_TEST(restarted_server_loses_all_cache_entries)
{
    cache_map_t *map = cache_map_new(100);
    prefix_t prefix;
    compute_prefix(&prefix, long_rules, "s", "v1");
    ck_assert(cache_map_add_holder(map, 3, prefix.levels[0].key,
                                   prefix.levels[0].tokens));
    ck_assert(!cache_map_add_holder(map, 3, prefix.levels[0].key, 1));
    ck_assert_uint_eq(cache_map_cached_tokens(map, &prefix, 3),
                      prefix.levels[0].tokens);
    ck_assert_uint_eq(cache_map_cached_tokens(map, &prefix, 4), 0);
    cache_map_clear_backend(map, 3);
    ck_assert_uint_eq(cache_map_cached_tokens(map, &prefix, 3), 0);
    ck_assert(cache_map_add_holder(map, 3, prefix.levels[1].key,
                                   prefix.levels[1].tokens));
    ck_assert_uint_eq(cache_map_cached_tokens(map, &prefix, 3),
                      prefix.levels[1].tokens);
    ck_assert(cache_map_remove_holder(map, 3, prefix.levels[1].key));
    ck_assert(!cache_map_remove_holder(map, 3, prefix.levels[1].key));
    cache_map_free(map);
}
END_TEST

START_TEST(cache_map_stays_within_its_bound)
{
    cache_map_t *map = cache_map_new(64);
    cached_level_t levels[256];
    for (uint64_t i = 0; i < 1000; i++) {
        (void)cache_map_add_holder(map, (uint16_t)(i % 12), i, 16);
        (void)cache_map_add_holder(map, (uint16_t)(i % 12), i, 16);
        (void)cache_map_add_holder(map, 1, 7, 16);
    }
    ck_assert_uint_eq(cache_map_size(map), 64);
    ck_assert(cache_map_has_key(map, 7));
    ck_assert_uint_ge(cache_map_list_levels(map, levels, 256), 64);
    cache_map_free(map);
}
END_TEST

/* Guards against slow first tokens after a restart of one daemon: the snapshot
 * that it gets from a peer lacks the levels that only other daemons' requests
 * share, which were announced to the peer once. */
START_TEST(snapshot_holds_levels_announced_by_peers)
{
    cache_map_t *map = cache_map_new(64);
    cached_level_t levels[3];
    (void)cache_map_add_holder(map, 1, 10, 16);
    (void)cache_map_add_holder(map, 2, 20, 16);
    (void)cache_map_add_holder(map, 2, 20, 16);
    (void)cache_map_add_holder(map, 3, 30, 16);
    ck_assert_uint_eq(cache_map_list_levels(map, levels, 3), 3);
    ck_assert_uint_eq(levels[0].key, 20);
    ck_assert_uint_eq(levels[1].key, 30);
    ck_assert_uint_eq(levels[2].key, 10);
    ck_assert_uint_eq(levels[2].backend, 1);
    ck_assert_uint_eq(cache_map_list_levels(map, levels, 1), 1);
    ck_assert_uint_eq(levels[0].key, 20);
    cache_map_free(map);
}
END_TEST

static load_report_t
make_report(const char *incarnation, int waiting)
{
    load_report_t load = {
        .slots = 8, .waiting_tokens = waiting, .prefill_rate = 10000};
    str_copy(load.incarnation, sizeof(load.incarnation), incarnation);
    str_copy(load.version, sizeof(load.version), "v1");
    return load;
}

START_TEST(stale_report_is_corrected_by_sent_requests)
{
    view_t *view = view_new();
    backend_state_t state;
    uint16_t id = view_assign_id(view, "a");
    load_report_t load = make_report("x", 0);
    (void)view_apply_report(view, id, &load, 0);
    view_add_request(view, id, 5000);
    (void)view_get(view, id, &state);
    ck_assert_double_ge(view_expected_wait_ms(&state), 499);
    /* This report was made before the request arrived: the request still
     * counts. */
    (void)view_apply_report(view, id, &load, 10);
    (void)view_get(view, id, &state);
    ck_assert_double_ge(view_expected_wait_ms(&state), 499);
    view_record_first_token(view, id, 5000, 500, 500);
    view_remove_request(view, id, true, 5000);
    (void)view_get(view, id, &state);
    ck_assert_double_lt(view_expected_wait_ms(&state), 1);
    load = make_report("y", 0);
    ck_assert(view_apply_report(view, id, &load, 20));
    view_free(view);
}
END_TEST

/* Guards against requests waiting for a replica that does not answer or is
 * five times slower than expected: a few failures open its circuit for a
 * while, and slowness lowers its estimated prefill rate. */
START_TEST(failing_or_slow_server_is_rated_lower)
{
    view_t *view = view_new();
    backend_state_t state;
    uint16_t id = view_assign_id(view, "a");
    load_report_t load = make_report("x", 0);
    (void)view_apply_report(view, id, &load, 0);
    for (int i = 0; i < 3; i++) {
        view_record_failure(view, id, 1000);
    }
    (void)view_get(view, id, &state);
    ck_assert_int_gt(state.circuit_open_until_ms, 1000);
    view_record_success(view, id);
    for (int i = 0; i < 60; i++) {
        view_record_first_token(view, id, 0, 20, 125);
    }
    (void)view_get(view, id, &state);
    ck_assert_double_lt(view_prefill_rate(&state), 2500);
    view_free(view);
}
END_TEST

static candidate_t
make_candidate(const backend_t *backend, double wait_ms, uint32_t cached)
{
    return (candidate_t){
        .backend = backend,
        .wait_ms = wait_ms,
        .cached_tokens = cached,
        .prefill_rate = 10000,
        .same_dc = true,
        .rendezvous_weight = place_rendezvous_weight(1, backend->name)};
}

static const char *
choose(const char *policy, const candidate_t *candidates, size_t count,
       objective_t objective)
{
    prefix_t prefix = {.tokens = 1000, .count = 1};
    place_query_t query = {.prefix = &prefix, .objective = objective};
    return candidates[policy_find(policy)->choose(candidates, count, &query)]
        .backend->name;
}

START_TEST(cost_weighs_waiting_against_recomputing)
{
    backend_t a = {.name = "a"};
    backend_t b = {.name = "b"};
    candidate_t cached = make_candidate(&a, 80, 1000);
    candidate_t idle = make_candidate(&b, 0, 0);
    candidate_t candidates[2] = {cached, idle};
    candidates[1].rendezvous_weight = 0;
    candidates[0].rendezvous_weight = 1;
    ck_assert_str_eq(choose("cost", candidates, 2, OBJECTIVE_TAIL_LATENCY),
                     "a");
    candidates[0].wait_ms = 150;
    ck_assert_str_eq(choose("cost", candidates, 2, OBJECTIVE_TAIL_LATENCY),
                     "b");
    ck_assert_str_eq(choose("cost", candidates, 2, OBJECTIVE_CACHE_HITS), "a");
    ck_assert_str_eq(
        choose("least-loaded", candidates, 2, OBJECTIVE_TAIL_LATENCY), "b");
    ck_assert_ptr_null(policy_find("no-such"));
}
END_TEST

START_TEST(choice_without_state_ignores_candidate_order)
{
    backend_t a = {.name = "a"};
    backend_t b = {.name = "b"};
    backend_t c = {.name = "c"};
    candidate_t candidates[3] = {make_candidate(&a, 0, 0),
                                 make_candidate(&b, 0, 0),
                                 make_candidate(&c, 0, 0)};
    candidate_t reordered[3] = {candidates[2], candidates[0], candidates[1]};
    ck_assert_str_eq(choose("cost", candidates, 3, OBJECTIVE_TAIL_LATENCY),
                     choose("cost", reordered, 3, OBJECTIVE_TAIL_LATENCY));
    ck_assert_str_eq(
        choose("first-level", candidates, 3, OBJECTIVE_TAIL_LATENCY),
        choose("first-level", reordered, 3, OBJECTIVE_TAIL_LATENCY));
}
END_TEST

START_TEST(resume_token_is_valid_only_unmodified_with_same_secret)
{
    unsigned char secret[32] = {1};
    unsigned char other_secret[32] = {2};
    resume_t resume = {.workspace = "w",
                       .backend = "engine-1",
                       .incarnation = "abc",
                       .stream = "s",
                       .version = "v1",
                       .prompt_hash = 77};
    resume_t verified;
    uint32_t offset;
    err_t err;
    char token[RESUME_TOKEN_MAX];
    char id[RESUME_TOKEN_MAX + 16];
    resume_token_sign(&resume, secret, token);
    (void)snprintf(id, sizeof(id), "%s.12", token);
    ck_assert_int_eq(resume_token_verify(&verified, secret, id, &offset, &err),
                     0);
    ck_assert_str_eq(verified.backend, "engine-1");
    ck_assert_uint_eq(offset, 12);
    ck_assert_uint_eq(verified.prompt_hash, 77);
    ck_assert_int_eq(
        resume_token_verify(&verified, other_secret, id, &offset, &err), -1);
    for (size_t i = 0; i + 4 < strlen(id); i++) {
        char modified[RESUME_TOKEN_MAX + 16];
        str_copy(modified, sizeof(modified), id);
        modified[i] = modified[i] == 'A' ? 'B' : 'A';
        ck_assert_int_eq(
            resume_token_verify(&verified, secret, modified, &offset, &err),
            -1);
    }
    ck_assert_int_eq(
        resume_token_verify(&verified, secret, token, &offset, &err), -1);
    ck_assert_int_eq(
        resume_token_verify(&verified, secret, ".", &offset, &err), -1);
}
END_TEST

TEST_MAIN("place", keys_of_other_workspaces_and_versions_never_match,
          restarted_server_loses_all_cache_entries,
          cache_map_stays_within_its_bound,
          snapshot_holds_levels_announced_by_peers,
          stale_report_is_corrected_by_sent_requests,
          failing_or_slow_server_is_rated_lower,
          cost_weighs_waiting_against_recomputing,
          choice_without_state_ignores_candidate_order,
          resume_token_is_valid_only_unmodified_with_same_secret)
