#include "../kernel/sent-ids.h"
#include "test.h"

#include <stdio.h>

static bool
has(const sent_ids_t *ids, const char *id)
{
    return sent_ids_has(ids, sent_ids_hash(id));
}

/* Guards against an id that is forgotten while its connection is still used.
 */
START_TEST(no_id_is_forgotten_until_the_connection_is_full)
{
    sent_ids_t ids = {0};
    char id[32];
    int sent = 0;
    ck_assert(!has(&ids, "0"));
    while (!sent_ids_is_full(&ids)) {
        (void)snprintf(id, sizeof(id), "%d", sent++);
        ck_assert(!has(&ids, id));
        sent_ids_add(&ids, sent_ids_hash(id));
    }
    ck_assert_int_ge(sent, 256);
    for (int i = 0; i < sent; i++) {
        (void)snprintf(id, sizeof(id), "%d", i);
        ck_assert(has(&ids, id));
    }
    sent_ids_free(&ids);
    ck_assert(!has(&ids, "0"));
    ck_assert(!sent_ids_is_full(&ids));
}
END_TEST

TEST_MAIN("sent ids", no_id_is_forgotten_until_the_connection_is_full)
