#include "../relay/relay.h"
#include "test.h"

#include <stdlib.h>

#define WEIGHTS_MS 10000

static relay_t *
relay_new(bool listed)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    relay->settings.old_weights_max_ms = WEIGHTS_MS;
    relay->weights_listed = listed;
    log_setup("test", LOG_ERROR);
    return relay;
}

/* During a rolling restart no host holds the lease while version 3 is
 * published.  A daemon that starts 1.3 s later finds it in its first list.  It
 * must not use version 2 for as long as if version 3 had just been
 * published. */
START_TEST(version_of_unknown_age_is_not_new)
{
    relay_t *relay = relay_new(false);
    weights_record_from_store(relay, "m", 3, 100000);
    const weights_t *weights = relay_find_weights(relay, "m");
    ck_assert_int_eq(weights->newest_version, 3);
    ck_assert_int_ge(weights_superseded_for_ms(weights, 2, 108000 - 1300),
                     8000);
    free(relay);
}
END_TEST

/* The publication time in the lease object replaces the estimate. */
START_TEST(known_time_replaces_estimate)
{
    relay_t *relay = relay_new(false);
    weights_record_from_store(relay, "m", 3, 100000);
    weights_record(relay, "m", 3, 99500);
    const weights_t *weights = relay_find_weights(relay, "m");
    ck_assert_int_eq(weights_superseded_for_ms(weights, 2, 101000), 1500);
    weights_record_from_store(relay, "m", 3, 100000);
    ck_assert_int_eq(weights_superseded_for_ms(weights, 2, 101000), 1500);
    free(relay);
}
END_TEST

/* The holder started after the publication and could only estimate its time. A
 * daemon that starts seven seconds later takes that estimate instead of a
 * later one of its own. */
START_TEST(earlier_estimate_replaces_own)
{
    relay_t *relay = relay_new(false);
    weights_record_from_store(relay, "m", 3, 107000);
    weights_record_estimate(relay, "m", 3, 95000);
    const weights_t *weights = relay_find_weights(relay, "m");
    ck_assert_int_eq(weights_superseded_for_ms(weights, 2, 107000), 12000);
    weights_record(relay, "m", 3, 99900);
    ck_assert_int_eq(weights_superseded_for_ms(weights, 2, 107000), 7100);
    free(relay);
}
END_TEST

START_TEST(version_observed_after_first_list_is_new)
{
    relay_t *relay = relay_new(true);
    weights_record_from_store(relay, "m", 3, 100000);
    const weights_t *weights = relay_find_weights(relay, "m");
    ck_assert_int_eq(weights_superseded_for_ms(weights, 2, 103000), 3000);
    ck_assert_int_eq(weights_superseded_for_ms(weights, 3, 103000), 0);
    free(relay);
}
END_TEST

/* Version 3 is published while version 2 is still being loaded.  The age of
 * version 1 counts from the publication of version 2, and of several times for
 * one version the earliest counts. */
START_TEST(first_newer_version_counts)
{
    relay_t *relay = relay_new(true);
    weights_record(relay, "m", 3, 107000);
    weights_record(relay, "m", 2, 102500);
    weights_record(relay, "m", 2, 102000);
    weights_record(relay, "m", 2, 109000);
    const weights_t *weights = relay_find_weights(relay, "m");
    ck_assert_int_eq(weights->newest_version, 3);
    ck_assert_int_eq(weights_superseded_for_ms(weights, 1, 110000), 8000);
    ck_assert_int_eq(weights_superseded_for_ms(weights, 2, 110000), 3000);
    free(relay);
}
END_TEST

/* Guards against an answer on weights that were replaced ten seconds ago: the
 * request was sent in time and then waited for two and a half seconds at a
 * slow server.  It must be withdrawn before it starts there. */
START_TEST(waiting_request_expires_with_weights)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    relay->weights_listed = true;
    relay->settings.old_weights_max_ms = 10000;
    weights_record_from_store(relay, "m1", 1, 1000);
    weights_record_from_store(relay, "m1", 2, 20000);
    const weights_t *weights = relay_find_weights(relay, "m1");
    ck_assert(!weights_expired(weights, 1, 27440, 10000));
    ck_assert(!weights_expired(weights, 1, 29400, 10000));
    ck_assert(weights_expired(weights, 1, 29500, 10000));
    ck_assert(!weights_expired(weights, 2, 90000, 10000));
    free(relay);
}
END_TEST

/* Guards against older weights that are taken for the newest ones: a server
 * that has newer ones shows that these are published, even if this daemon has
 * not read them from the store. */
START_TEST(weights_of_a_server_show_that_others_are_older)
{
    relay_t *relay = relay_new(true);
    ck_assert(weights_are_newest(relay, "m", 1));
    weights_record_from_store(relay, "m", 2, 100000);
    ck_assert(weights_are_newest(relay, "m", 2));
    ck_assert(!weights_are_newest(relay, "m", 1));
    weights_note_seen(relay, "m", 3);
    ck_assert(!weights_are_newest(relay, "m", 2));
    ck_assert(weights_are_newest(relay, "m", 3));
    ck_assert_int_eq(relay_find_weights(relay, "m")->newest_version, 2);
    free(relay);
}
END_TEST

/* Guards against requests on weights that were replaced long ago, since so
 * many versions were published meanwhile that the first newer one is not kept.
 */
START_TEST(versions_in_quick_succession_expire_in_time)
{
    relay_t *relay = relay_new(true);
    for (int64_t version = 1; version <= 100; version++) {
        int64_t now = 100000 + version * 1000;
        weights_record_from_store(relay, "m", version, now);
        const weights_t *weights = relay_find_weights(relay, "m");
        for (int64_t older = 1; older < version; older++) {
            int64_t replaced_ms = now - (100000 + (older + 1) * 1000);
            int64_t since_ms = weights_superseded_for_ms(weights, older, now);
            ck_assert_int_ge(since_ms, replaced_ms);
            if (replaced_ms <= WEIGHTS_MS) {
                ck_assert_int_eq(since_ms, replaced_ms);
            }
        }
    }
    free(relay);
}
END_TEST

TEST_MAIN("weights", versions_in_quick_succession_expire_in_time,
          waiting_request_expires_with_weights,
          version_of_unknown_age_is_not_new, known_time_replaces_estimate,
          earlier_estimate_replaces_own,
          version_observed_after_first_list_is_new, first_newer_version_counts,
          weights_of_a_server_show_that_others_are_older)
