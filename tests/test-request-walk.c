#include "../relay/request-walk.h"
#include "../relay/request.h"
#include "test.h"

#include <stdlib.h>

#define COUNT 5

typedef struct {
    request_list_t list;
    request_walks_t walks;
    request_t *requests[COUNT]; /* in the order of the list */
} fixture_t;

static void
fixture_open(fixture_t *fixture)
{
    CK_LIST_INIT(&fixture->list);
    CK_LIST_INIT(&fixture->walks);
    for (int i = COUNT - 1; i >= 0; i--) {
        fixture->requests[i] = mem_zalloc(sizeof(request_t));
        CK_LIST_INSERT_HEAD(&fixture->list, fixture->requests[i], entry);
    }
}

static void
end_request(fixture_t *fixture, int index)
{
    request_t *request = fixture->requests[index];
    request_walks_note_end(&fixture->walks, request);
    CK_LIST_REMOVE(request, entry);
    free(request);
    fixture->requests[index] = NULL;
}

static void
fixture_close(fixture_t *fixture)
{
    ck_assert(CK_LIST_EMPTY(&fixture->walks));
    for (int i = 0; i < COUNT; i++) {
        free(fixture->requests[i]);
    }
}

/* Guards against the use of a freed request by a loop whose next request ends
 * while it handles the current one. */
START_TEST(next_request_may_end)
{
    fixture_t fixture;
    fixture_open(&fixture);
    {
        CLEAN_WALK request_walk_t walk;
        request_walk_begin(&walk, &fixture.walks, &fixture.list);
        ck_assert_ptr_eq(request_walk_next(&walk), fixture.requests[0]);
        end_request(&fixture, 1);
        end_request(&fixture, 2);
        end_request(&fixture, 0);
        ck_assert_ptr_eq(request_walk_next(&walk), fixture.requests[3]);
        end_request(&fixture, 4);
        ck_assert_ptr_null(request_walk_next(&walk));
    }
    fixture_close(&fixture);
}
END_TEST

/* Guards against a loop that goes on with a freed request since one within it
 * has ended that request. */
START_TEST(loops_may_be_nested)
{
    fixture_t fixture;
    fixture_open(&fixture);
    {
        CLEAN_WALK request_walk_t outer;
        request_walk_begin(&outer, &fixture.walks, &fixture.list);
        ck_assert_ptr_eq(request_walk_next(&outer), fixture.requests[0]);
        {
            CLEAN_WALK request_walk_t inner;
            request_walk_begin(&inner, &fixture.walks, &fixture.list);
            for (int i = 0; i < COUNT; i++) {
                ck_assert_ptr_eq(request_walk_next(&inner),
                                 fixture.requests[i]);
                end_request(&fixture, i);
            }
            ck_assert_ptr_null(request_walk_next(&inner));
        }
        ck_assert_ptr_null(request_walk_next(&outer));
    }
    fixture_close(&fixture);
}
END_TEST

TEST_MAIN("request-walk", next_request_may_end, loops_may_be_nested)
