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
prefix_of(prefix_t *prefix, const char *rules, const char *salt,
          const char *version)
{
    CLEAN_JSON json_t *messages = chat(rules, long_rules);
    prefix_compute(prefix, messages, salt, version);
}

/* A verdict is built on another publisher's cached guidance, or on entries
 * of older weights.  The texts are equal; workspace or version differ.  No
 * level may then have the same key. */
START_TEST(keys_of_other_workspaces_and_versions_never_match)
{
    prefix_t mine;
    prefix_t theirs;
    prefix_t older;
    prefix_t again;
    unsigned char secret[32] = {1};
    char salt_a[CS_ID_LEN + 1];
    char salt_b[CS_ID_LEN + 1];
    cache_salt(secret, "ws-a", "m", salt_a);
    cache_salt(secret, "ws-b", "m", salt_b);
    prefix_of(&mine, long_rules, salt_a, "v2");
    prefix_of(&again, long_rules, salt_a, "v2");
    prefix_of(&theirs, long_rules, salt_b, "v2");
    prefix_of(&older, long_rules, salt_a, "v1");
    ck_assert_uint_eq(mine.count, 2);
    ck_assert_uint_eq(prefix_shared(&mine, &again), mine.levels[1].tokens);
    ck_assert_uint_eq(prefix_shared(&mine, &theirs), 0);
    ck_assert_uint_eq(prefix_shared(&mine, &older), 0);
}
END_TEST

/* An engine crashes and comes back empty between lookup and send.  Its
 * levels are forgotten by one new epoch, also those noted before. */
START_TEST(a_renewed_server_is_forgotten_whole)
{
    cache_map_t *map = cache_map_new(100);
    prefix_t prefix;
    prefix_of(&prefix, long_rules, "s", "v1");
    ck_assert(
        cache_map_note(map, 3, prefix.levels[0].key, prefix.levels[0].tokens));
    ck_assert(!cache_map_note(map, 3, prefix.levels[0].key, 1));
    ck_assert_uint_eq(cache_map_cached(map, &prefix, 3),
                      prefix.levels[0].tokens);
    ck_assert_uint_eq(cache_map_cached(map, &prefix, 4), 0);
    cache_map_forget(map, 3);
    ck_assert_uint_eq(cache_map_cached(map, &prefix, 3), 0);
    ck_assert(
        cache_map_note(map, 3, prefix.levels[1].key, prefix.levels[1].tokens));
    ck_assert_uint_eq(cache_map_cached(map, &prefix, 3),
                      prefix.levels[1].tokens);
    ck_assert(cache_map_drop(map, 3, prefix.levels[1].key));
    ck_assert(!cache_map_drop(map, 3, prefix.levels[1].key));
    cache_map_free(map);
}
END_TEST

START_TEST(the_map_stays_within_its_bound)
{
    cache_map_t *map = cache_map_new(64);
    cache_fact_t facts[256];
    for (uint64_t i = 0; i < 1000; i++) {
        (void)cache_map_note(map, (uint16_t)(i % 12), i, 16);
        (void)cache_map_note(map, (uint16_t)(i % 12), i, 16);
        (void)cache_map_note(map, 1, 7, 16);
    }
    ck_assert_uint_eq(cache_map_size(map), 64);
    ck_assert(cache_map_knows(map, 7));
    ck_assert_uint_ge(cache_map_hottest(map, facts, 256), 64);
    cache_map_free(map);
}
END_TEST

static load_report_t
report(const char *incarnation, int waiting)
{
    load_report_t load = {
        .slots = 8, .waiting_tokens = waiting, .prefill_rate = 10000};
    str_copy(load.incarnation, sizeof(load.incarnation), incarnation);
    str_copy(load.version, sizeof(load.version), "v1");
    return load;
}

START_TEST(a_lagging_report_is_corrected_by_what_was_sent)
{
    view_t *view = view_new();
    backend_state_t state;
    uint16_t id = view_id(view, "a");
    load_report_t load = report("x", 0);
    (void)view_report(view, id, &load, 0);
    view_sent(view, id, 5000);
    (void)view_get(view, id, &state);
    ck_assert_double_ge(view_wait_ms(&state), 499);
    /* The next report is from before our request: it still counts. */
    (void)view_report(view, id, &load, 10);
    (void)view_get(view, id, &state);
    ck_assert_double_ge(view_wait_ms(&state), 499);
    view_first_token(view, id, 5000, 500, 500);
    view_ended(view, id, true, 5000);
    (void)view_get(view, id, &state);
    ck_assert_double_lt(view_wait_ms(&state), 1);
    load = report("y", 0);
    ck_assert(view_report(view, id, &load, 20));
    view_free(view);
}
END_TEST

/* Callers of one replica wait while it is sick: it answers nothing, or five
 * times slower.  A few failures open its circuit for a while; slowness
 * lowers the rate that it is believed to have. */
START_TEST(a_sick_server_is_believed_less)
{
    view_t *view = view_new();
    backend_state_t state;
    uint16_t id = view_id(view, "a");
    load_report_t load = report("x", 0);
    (void)view_report(view, id, &load, 0);
    for (int i = 0; i < 3; i++) {
        view_failed(view, id, 1000);
    }
    (void)view_get(view, id, &state);
    ck_assert_int_gt(state.broken_until, 1000);
    view_succeeded(view, id);
    for (int i = 0; i < 60; i++) {
        view_first_token(view, id, 0, 20, 125);
    }
    (void)view_get(view, id, &state);
    ck_assert_double_lt(view_rate(&state), 2500);
    view_free(view);
}
END_TEST

static candidate_t
candidate(const backend_t *backend, double wait_ms, uint32_t cached)
{
    return (candidate_t){.backend = backend,
                         .wait_ms = wait_ms,
                         .cached = cached,
                         .rate = 10000,
                         .same_dc = true,
                         .rank = place_weight(1, backend->name)};
}

static const char *
choose(const char *policy, const candidate_t *all, size_t count,
       objective_t objective)
{
    prefix_t prefix = {.tokens = 1000, .count = 1};
    place_ask_t ask = {.prefix = &prefix, .objective = objective};
    return all[policy_find(policy)->choose(all, count, &ask)].backend->name;
}

START_TEST(cost_weighs_waiting_against_recomputing)
{
    backend_t a = {.name = "a"};
    backend_t b = {.name = "b"};
    candidate_t held = candidate(&a, 80, 1000);
    candidate_t idle = candidate(&b, 0, 0);
    candidate_t all[2] = {held, idle};
    all[1].rank = 0;
    all[0].rank = 1;
    ck_assert_str_eq(choose("cost", all, 2, OBJECTIVE_TAIL_LATENCY), "a");
    all[0].wait_ms = 150;
    ck_assert_str_eq(choose("cost", all, 2, OBJECTIVE_TAIL_LATENCY), "b");
    ck_assert_str_eq(choose("cost", all, 2, OBJECTIVE_CACHE_HITS), "a");
    ck_assert_str_eq(choose("least-loaded", all, 2, OBJECTIVE_TAIL_LATENCY),
                     "b");
    ck_assert_ptr_null(policy_find("no-such"));
}
END_TEST

START_TEST(homes_are_the_same_without_any_state)
{
    backend_t a = {.name = "a"};
    backend_t b = {.name = "b"};
    backend_t c = {.name = "c"};
    candidate_t one[3] = {candidate(&a, 0, 0), candidate(&b, 0, 0),
                          candidate(&c, 0, 0)};
    candidate_t two[3] = {one[2], one[0], one[1]};
    ck_assert_str_eq(choose("cost", one, 3, OBJECTIVE_TAIL_LATENCY),
                     choose("cost", two, 3, OBJECTIVE_TAIL_LATENCY));
    ck_assert_str_eq(choose("first-level", one, 3, OBJECTIVE_TAIL_LATENCY),
                     choose("first-level", two, 3, OBJECTIVE_TAIL_LATENCY));
}
END_TEST

START_TEST(a_resume_token_opens_only_unchanged_and_with_our_key)
{
    unsigned char secret[32] = {1};
    unsigned char other[32] = {2};
    resume_t resume = {.workspace = "w",
                       .backend = "engine-1",
                       .incarnation = "abc",
                       .stream = "s",
                       .version = "v1",
                       .ask = 77};
    resume_t back;
    uint32_t offset;
    err_t err;
    char token[RESUME_TEXT_MAX];
    char id[RESUME_TEXT_MAX + 16];
    resume_seal(&resume, secret, token);
    (void)snprintf(id, sizeof(id), "%s.12", token);
    ck_assert_int_eq(resume_open(&back, secret, id, &offset, &err), 0);
    ck_assert_str_eq(back.backend, "engine-1");
    ck_assert_uint_eq(offset, 12);
    ck_assert_uint_eq(back.ask, 77);
    ck_assert_int_eq(resume_open(&back, other, id, &offset, &err), -1);
    for (size_t i = 0; i + 4 < strlen(id); i++) {
        char bad[RESUME_TEXT_MAX + 16];
        str_copy(bad, sizeof(bad), id);
        bad[i] = bad[i] == 'A' ? 'B' : 'A';
        ck_assert_int_eq(resume_open(&back, secret, bad, &offset, &err), -1);
    }
    ck_assert_int_eq(resume_open(&back, secret, token, &offset, &err), -1);
    ck_assert_int_eq(resume_open(&back, secret, ".", &offset, &err), -1);
}
END_TEST

TEST_MAIN("place", keys_of_other_workspaces_and_versions_never_match,
          a_renewed_server_is_forgotten_whole, the_map_stays_within_its_bound,
          a_lagging_report_is_corrected_by_what_was_sent,
          a_sick_server_is_believed_less,
          cost_weighs_waiting_against_recomputing,
          homes_are_the_same_without_any_state,
          a_resume_token_opens_only_unchanged_and_with_our_key)
