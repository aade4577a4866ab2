#include "../relay/list-walk.h"
#include "test.h"

#include <string.h>

/* Reads lists of stores that differ in their order, in the size of their pages
 * and in what they answer to a name that they do not know.  Some entries have
 * a name in the list that is not the one by which the store goes on, or none.
 */

#define ENTRIES_MAX 60
#define RUNS 20000
#define CALLS_A_PAGE 4

typedef enum {
    UNKNOWN_REFUSED,
    UNKNOWN_EMPTY,
    UNKNOWN_FIRST,
    UNKNOWN_COUNT
} unknown_name_t;

typedef struct {
    char key[32];  /* by which the store goes on */
    char name[32]; /* in the list; empty for none */
} entry_t;

typedef struct {
    entry_t entries[ENTRIES_MAX];
    size_t count;
    size_t page_size;
    unknown_name_t unknown;
    unsigned calls;
} model_t;

/* What has been read. */
typedef struct {
    bool seen[ENTRIES_MAX];
    list_step_t step;
} reading_t;

/* Makes a store; of its entries one in odd_in is odd, 0 for none. */
static void
make_model(model_t *model, rng_t *rng, uint64_t odd_in)
{
    memset(model, 0, sizeof(*model));
    model->count = 1 + (size_t)rng_below(rng, ENTRIES_MAX);
    model->page_size = 1 + (size_t)rng_below(rng, 12);
    model->unknown = (unknown_name_t)rng_below(rng, UNKNOWN_COUNT);
    for (size_t i = 0; i < model->count; i++) {
        entry_t *entry = &model->entries[i];
        bool odd = odd_in > 0 && rng_below(rng, odd_in) == 0;
        (void)snprintf(entry->key, sizeof(entry->key), "e%zu%s", i,
                       odd ? "+" : "");
        str_copy(entry->name, sizeof(entry->name), entry->key);
        if (odd && rng_below(rng, 3) == 0) {
            str_copy(entry->name, sizeof(entry->name),
                     rng_below(rng, 2) == 0 ? "" : "e?");
        }
    }
    /* The order of the store is none that a name shows. */
    for (size_t i = model->count; i > 1; i--) {
        size_t other = (size_t)rng_below(rng, i);
        entry_t moved = model->entries[i - 1];
        model->entries[i - 1] = model->entries[other];
        model->entries[other] = moved;
    }
}

/* Returns where the store goes on; -1 if it refuses the call. */
static int
find_begin(const model_t *model, const char *cursor)
{
    if (cursor[0] == '\0') {
        return 0;
    }
    for (size_t i = 0; i < model->count; i++) {
        if (strcmp(model->entries[i].key, cursor) == 0) {
            return (int)i + 1;
        }
    }
    switch (model->unknown) {
        case UNKNOWN_EMPTY:
            return (int)model->count;
        case UNKNOWN_FIRST:
            return 0;
        case UNKNOWN_REFUSED:
        case UNKNOWN_COUNT:
            break;
    }
    return -1;
}

/* Answers one call. */
static list_step_t
call_once(model_t *model, list_walk_t *walk, reading_t *reading)
{
    store_object_t objects[ENTRIES_MAX];
    store_page_t page = {.objects = objects};
    int begin = find_begin(model, list_walk_cursor(walk));
    model->calls++;
    if (begin < 0) {
        return list_walk_fail(walk);
    }
    size_t end = (size_t)begin + model->page_size;
    end = end < model->count ? end : model->count;
    for (size_t i = (size_t)begin; i < end; i++) {
        reading->seen[i] = true;
        page.item_count++;
        if (model->entries[i].name[0] != '\0') {
            objects[page.count++].name = model->entries[i].name;
        }
    }
    page.has_more = end < model->count;
    return list_walk_page(walk, &page);
}

/* Reads the list to its end; the calls are bounded. */
static void
read_list(model_t *model, reading_t *reading)
{
    list_walk_t walk = {0};
    memset(reading, 0, sizeof(*reading));
    list_walk_reset(&walk);
    do {
        reading->step = call_once(model, &walk, reading);
        ck_assert_uint_le(model->calls, (model->count + 1) * CALLS_A_PAGE);
    } while (reading->step == LIST_NEXT || reading->step == LIST_RETRY);
    list_walk_reset(&walk);
}

static size_t
count_seen(const model_t *model, const reading_t *reading)
{
    size_t count = 0;
    for (size_t i = 0; i < model->count; i++) {
        count += reading->seen[i] ? 1 : 0;
    }
    return count;
}

/* Guards against lists of sound entries that are read more than once. */
START_TEST(sound_lists_are_read_once)
{
    rng_t rng = {1};
    for (int run = 0; run < RUNS; run++) {
        model_t model;
        reading_t reading;
        make_model(&model, &rng, 0);
        read_list(&model, &reading);
        ck_assert_int_eq(reading.step, LIST_COMPLETE);
        ck_assert_uint_eq(count_seen(&model, &reading), model.count);
        ck_assert_uint_eq(model.calls, (model.count + model.page_size - 1) /
                                           model.page_size);
    }
}
END_TEST

/* Guards against lists that are asked for without end, and against such as
 * pass for whole although they are not. */
START_TEST(odd_lists_end_and_are_whole_or_cut)
{
    size_t cut = 0;
    rng_t rng = {2};
    for (int run = 0; run < RUNS; run++) {
        model_t model;
        reading_t reading;
        make_model(&model, &rng, 2 + (uint64_t)run % 9);
        read_list(&model, &reading);
        ck_assert(reading.step == LIST_COMPLETE || reading.step == LIST_CUT);
        if (reading.step == LIST_COMPLETE) {
            ck_assert_uint_eq(count_seen(&model, &reading), model.count);
        }
        cut += reading.step == LIST_CUT ? 1 : 0;
    }
    ck_assert_uint_gt(cut, 0);
    ck_assert_uint_lt(cut, RUNS);
}
END_TEST

/* Guards against a list that ends at an odd entry although its page holds a
 * name with which it goes on. */
START_TEST(one_odd_entry_among_sound_ones_is_passed)
{
    rng_t rng = {3};
    for (int run = 0; run < RUNS; run++) {
        model_t model;
        reading_t reading;
        make_model(&model, &rng, 0);
        model.page_size += 1;
        entry_t *odd = &model.entries[rng_below(&rng, model.count)];
        (void)snprintf(odd->name, sizeof(odd->name),
                       rng_below(&rng, 2) == 0 ? "" : "x?%d", run % 10);
        read_list(&model, &reading);
        ck_assert_int_eq(reading.step, LIST_COMPLETE);
        ck_assert_uint_eq(count_seen(&model, &reading), model.count);
    }
}
END_TEST

/* Guards against a list that ends at a page on which no name is plain. */
START_TEST(pages_without_plain_names_are_passed)
{
    rng_t rng = {5};
    for (int run = 0; run < RUNS; run++) {
        model_t model;
        reading_t reading;
        make_model(&model, &rng, 0);
        for (size_t i = 0; i < model.count; i++) {
            entry_t *entry = &model.entries[i];
            (void)snprintf(entry->key, sizeof(entry->key), "&%zu", i);
            str_copy(entry->name, sizeof(entry->name), entry->key);
        }
        read_list(&model, &reading);
        ck_assert_int_eq(reading.step, LIST_COMPLETE);
        ck_assert_uint_eq(count_seen(&model, &reading), model.count);
    }
}
END_TEST

/* Guards against a list that ends because the last object of a page was
 * removed before the next one was asked for. */
START_TEST(removed_object_does_not_end_a_list)
{
    for (int unknown = 0; unknown < UNKNOWN_COUNT; unknown++) {
        model_t model;
        reading_t reading = {0};
        list_walk_t walk = {0};
        rng_t rng = {4};
        make_model(&model, &rng, 0);
        model.count = 9;
        model.page_size = 3;
        model.unknown = (unknown_name_t)unknown;
        ck_assert_int_eq(call_once(&model, &walk, &reading), LIST_NEXT);
        str_copy(model.entries[2].key, sizeof(model.entries[2].key), "gone");
        list_step_t step;
        do {
            step = call_once(&model, &walk, &reading);
        } while (step == LIST_NEXT || step == LIST_RETRY);
        ck_assert_int_eq(step, LIST_COMPLETE);
        ck_assert_uint_eq(count_seen(&model, &reading), model.count);
        list_walk_reset(&walk);
    }
}
END_TEST

TEST_MAIN("list-walk", sound_lists_are_read_once,
          odd_lists_end_and_are_whole_or_cut,
          one_odd_entry_among_sound_ones_is_passed,
          pages_without_plain_names_are_passed,
          removed_object_does_not_end_a_list)
