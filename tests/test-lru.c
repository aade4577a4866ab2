#include "../kernel/lru.h"
#include "test.h"

typedef struct {
    int value;
    lru_link_t lru;
} item_t;

/* Checks the values from the most to the least recently used, and that the
 * links of both directions agree. */
static void
check_order(const lru_t *lru, const int *values, int count)
{
    const lru_link_t *previous = NULL;
    lru_link_t *link = lru->newest;
    for (int i = 0; i < count; i++) {
        ck_assert_ptr_nonnull(link);
        ck_assert_int_eq(LRU_ENTRY(link, item_t, lru)->value, values[i]);
        ck_assert_ptr_eq(link->newer, previous);
        previous = link;
        link = link->older;
    }
    ck_assert_ptr_null(link);
    ck_assert_ptr_eq(lru->oldest, previous);
}

/* A used entry moves to the front from any position, and removal keeps the
 * order of the others; otherwise a cache would evict entries in use. */
START_TEST(list_is_in_order_of_last_use)
{
    lru_t lru = {0};
    item_t items[3] = {{.value = 1}, {.value = 2}, {.value = 3}};
    check_order(&lru, NULL, 0);
    for (int i = 0; i < 3; i++) {
        lru_add(&lru, &items[i].lru);
    }
    check_order(&lru, (const int[]){3, 2, 1}, 3);
    lru_touch(&lru, &items[0].lru);
    check_order(&lru, (const int[]){1, 3, 2}, 3);
    lru_touch(&lru, &items[2].lru);
    check_order(&lru, (const int[]){3, 1, 2}, 3);
    lru_touch(&lru, &items[2].lru);
    check_order(&lru, (const int[]){3, 1, 2}, 3);
    lru_remove(&lru, &items[0].lru);
    check_order(&lru, (const int[]){3, 2}, 2);
    lru_remove(&lru, &items[1].lru);
    lru_remove(&lru, &items[2].lru);
    check_order(&lru, NULL, 0);
    ck_assert_ptr_null(LRU_ENTRY(lru.oldest, item_t, lru));
}
END_TEST

TEST_MAIN("lru", list_is_in_order_of_last_use)
