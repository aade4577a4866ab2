#include "../relay/relay.h"
#include "test.h"

#include <stdlib.h>

#define WEIGHTS_MS 10000

static relay_t *
relay_of(bool listed)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    relay->settings.old_weights_max_ms = WEIGHTS_MS;
    relay->weights_listed = listed;
    log_setup("test", LOG_ERROR);
    return relay;
}

/* Hosts restart in turn, so that nobody holds the lease while version 3 is
 * named.  A daemon that starts 1.3 s later finds it in its first list.  It
 * must not send requests to version 2 for as long as if it had just been
 * named. */
START_TEST(a_version_of_unknown_age_is_not_taken_for_new)
{
    relay_t *relay = relay_of(false);
    weights_observe(relay, "m", 3, 100000);
    const weights_t *weights = relay_weights(relay, "m");
    ck_assert_int_eq(weights->version, 3);
    ck_assert_int_ge(weights_older_ms(weights, 2, 108000 - 1300), 8000);
    free(relay);
}
END_TEST

/* The lease's object tells the time after all. */
START_TEST(a_known_time_goes_before_a_guess)
{
    relay_t *relay = relay_of(false);
    weights_observe(relay, "m", 3, 100000);
    weights_note(relay, "m", 3, 99500);
    const weights_t *weights = relay_weights(relay, "m");
    ck_assert_int_eq(weights_older_ms(weights, 2, 101000), 1500);
    weights_observe(relay, "m", 3, 100000);
    ck_assert_int_eq(weights_older_ms(weights, 2, 101000), 1500);
    free(relay);
}
END_TEST

/* The holder itself started behind the naming and could only guess.  A daemon
 * that starts seven seconds later takes that guess, not a later one of its
 * own. */
START_TEST(an_older_guess_goes_before_ones_own)
{
    relay_t *relay = relay_of(false);
    weights_observe(relay, "m", 3, 107000);
    weights_note_bound(relay, "m", 3, 95000);
    const weights_t *weights = relay_weights(relay, "m");
    ck_assert_int_eq(weights_older_ms(weights, 2, 107000), 12000);
    weights_note(relay, "m", 3, 99900);
    ck_assert_int_eq(weights_older_ms(weights, 2, 107000), 7100);
    free(relay);
}
END_TEST

START_TEST(a_version_that_is_seen_to_be_named_is_new)
{
    relay_t *relay = relay_of(true);
    weights_observe(relay, "m", 3, 100000);
    const weights_t *weights = relay_weights(relay, "m");
    ck_assert_int_eq(weights_older_ms(weights, 2, 103000), 3000);
    ck_assert_int_eq(weights_older_ms(weights, 3, 103000), 0);
    free(relay);
}
END_TEST

/* A third version is named while the second is still being loaded.  What is on
 * the first counts from the naming of the second, and the earliest time that
 * anybody knows holds. */
START_TEST(the_oldest_newer_version_counts)
{
    relay_t *relay = relay_of(true);
    weights_note(relay, "m", 3, 107000);
    weights_note(relay, "m", 2, 102500);
    weights_note(relay, "m", 2, 102000);
    weights_note(relay, "m", 2, 109000);
    const weights_t *weights = relay_weights(relay, "m");
    ck_assert_int_eq(weights->version, 3);
    ck_assert_int_eq(weights_older_ms(weights, 1, 110000), 8000);
    ck_assert_int_eq(weights_older_ms(weights, 2, 110000), 3000);
    free(relay);
}
END_TEST

/* A caller gets an answer of weights that were replaced ten seconds ago: its
 * request was sent to them in time and then waited two and a half seconds at
 * a slow server.  It must be taken back before it begins there. */
START_TEST(a_waiting_request_outlives_its_weights)
{
    relay_t *relay = mem_zalloc(sizeof(*relay));
    relay->weights_listed = true;
    relay->settings.old_weights_max_ms = 10000;
    weights_observe(relay, "m1", 1, 1000);
    weights_observe(relay, "m1", 2, 20000);
    const weights_t *weights = relay_weights(relay, "m1");
    ck_assert(!weights_expired(weights, 1, 27440, 10000));
    ck_assert(!weights_expired(weights, 1, 29400, 10000));
    ck_assert(weights_expired(weights, 1, 29500, 10000));
    ck_assert(!weights_expired(weights, 2, 90000, 10000));
    free(relay);
}
END_TEST

TEST_MAIN("weights", a_waiting_request_outlives_its_weights,
          a_version_of_unknown_age_is_not_taken_for_new,
          a_known_time_goes_before_a_guess,
          an_older_guess_goes_before_ones_own,
          a_version_that_is_seen_to_be_named_is_new,
          the_oldest_newer_version_counts)
