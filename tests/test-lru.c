#include "../kernel/lru.h"
#include "test.h"

typedef struct {
    int value;
    lru_link_t lru;
} item_t;

/* The values from the one used last to the one unused for longest, and that
 * the list reads the same from both ends. */
static void
expect(const lru_t *lru, const int *values, int count)
{
    const lru_link_t *last = NULL;
    lru_link_t *link = lru->newest;
    for (int i = 0; i < count; i++) {
        ck_assert_ptr_nonnull(link);
        ck_assert_int_eq(LRU_ENTRY(link, item_t, lru)->value, values[i]);
        ck_assert_ptr_eq(link->newer, last);
        last = link;
        link = link->older;
    }
    ck_assert_ptr_null(link);
    ck_assert_ptr_eq(lru->oldest, last);
}

/* What is used moves to the front, wherever it stood, and what is removed
 * leaves the others in order: else a cache would drop what is in use. */
START_TEST(the_order_is_that_of_last_use)
{
    lru_t lru = {0};
    item_t items[3] = {{.value = 1}, {.value = 2}, {.value = 3}};
    expect(&lru, NULL, 0);
    for (int i = 0; i < 3; i++) {
        lru_add(&lru, &items[i].lru);
    }
    expect(&lru, (const int[]){3, 2, 1}, 3);
    lru_touch(&lru, &items[0].lru);
    expect(&lru, (const int[]){1, 3, 2}, 3);
    lru_touch(&lru, &items[2].lru);
    expect(&lru, (const int[]){3, 1, 2}, 3);
    lru_touch(&lru, &items[2].lru);
    expect(&lru, (const int[]){3, 1, 2}, 3);
    lru_remove(&lru, &items[0].lru);
    expect(&lru, (const int[]){3, 2}, 2);
    lru_remove(&lru, &items[1].lru);
    lru_remove(&lru, &items[2].lru);
    expect(&lru, NULL, 0);
    ck_assert_ptr_null(LRU_ENTRY(lru.oldest, item_t, lru));
}
END_TEST

TEST_MAIN("lru", the_order_is_that_of_last_use)
