#include "../relay/origin-proof.h"
#include "test.h"

#define ENTRY_START_MS 1000
#define LATER_START_MS 2000
#define OPENED_US 50

/* A connection to a server whose entry names ENTRY_START_MS, and a report. */
static origin_evidence_t
make_evidence(int64_t sent_us, int64_t started_ms)
{
    return (origin_evidence_t){
        .entry_start_ms = ENTRY_START_MS,
        .opened_us = OPENED_US,
        .report = {.sent_us = sent_us, .started_ms = started_ms}};
}

/* Guards against a stream that begins at a restarted server and is recorded
 * with the software of the server's older entry. */
START_TEST(a_later_process_leaves_the_origin_unknown)
{
    origin_evidence_t evidence = make_evidence(OPENED_US, LATER_START_MS);
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_UNKNOWN);
    evidence.ended = true;
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_UNKNOWN);
}
END_TEST

/* Guards against streams that cannot go on, though their server has reported
 * that the later process runs them. */
START_TEST(the_process_that_lists_the_request_is_the_origin)
{
    origin_evidence_t evidence = make_evidence(OPENED_US, LATER_START_MS);
    evidence.listed_start_ms = LATER_START_MS;
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_REPORTED);
    /* Also if it has started again since. */
    evidence.report.started_ms++;
    evidence.ended = true;
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_REPORTED);
    /* The one of the entry is no later process. */
    evidence = make_evidence(OPENED_US, ENTRY_START_MS);
    evidence.listed_start_ms = ENTRY_START_MS;
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_ENTRY);
}
END_TEST

/* Guards against taking the process that answers for the one behind a
 * connection whose data a cut has held up since before the restart. */
START_TEST(data_behind_a_report_proves_no_later_process)
{
    for (int64_t sent_us = OPENED_US; sent_us < OPENED_US + 3; sent_us++) {
        origin_evidence_t evidence = make_evidence(sent_us, LATER_START_MS);
        ck_assert(origin_proof_covers(&evidence));
        ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_UNKNOWN);
        evidence.ended = true;
        ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_UNKNOWN);
    }
}
END_TEST

/* Guards against streams of sound servers that are rejected, or wait for data
 * that need not come. */
START_TEST(the_process_of_the_entry_is_proven_by_a_report_alone)
{
    origin_evidence_t evidence = make_evidence(OPENED_US, ENTRY_START_MS);
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_ENTRY);
    evidence.ended = true;
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_ENTRY);
}
END_TEST

/* Guards against a report from before the connection was made: the server may
 * have started again in between. */
START_TEST(an_older_report_proves_nothing)
{
    const int64_t starts[] = {0, ENTRY_START_MS, LATER_START_MS};
    for (size_t i = 0; i < sizeof(starts) / sizeof(starts[0]); i++) {
        origin_evidence_t evidence = make_evidence(OPENED_US - 1, starts[i]);
        ck_assert(!origin_proof_covers(&evidence));
        ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_OPEN);
        evidence.ended = true;
        ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_ENTRY);
    }
}
END_TEST

/* Guards against streams that are rejected because their server crashed
 * before it could be asked. */
START_TEST(a_server_that_does_not_answer_has_the_software_of_its_entry)
{
    origin_evidence_t evidence = make_evidence(0, 0);
    evidence.opened_us = 0;
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_OPEN);
    evidence.ended = true;
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_ENTRY);
}
END_TEST

/* Guards against servers that state no start time and are asked again and
 * again, or whose streams are rejected. */
START_TEST(without_start_times_the_entry_applies)
{
    origin_evidence_t evidence = make_evidence(OPENED_US, 0);
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_ENTRY);
    evidence = make_evidence(OPENED_US, LATER_START_MS);
    evidence.entry_start_ms = 0;
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_ENTRY);
}
END_TEST

/* Guards against answers that arrive in another order than the reports were
 * requested in. */
START_TEST(the_report_that_was_requested_last_is_kept)
{
    process_report_t report = {0};
    const process_report_t first = {.sent_us = 10, .started_ms = 1};
    const process_report_t last = {.sent_us = 20, .started_ms = 2};
    process_report_update(&report, &last);
    process_report_update(&report, &first);
    ck_assert_int_eq(report.sent_us, 20);
    ck_assert_int_eq(report.started_ms, 2);
}
END_TEST

/* Guards against streams that end at a sound server since its report states a
 * wrong, earlier start: a process older than the entry's has ended. */
START_TEST(an_earlier_start_than_the_entry_is_not_believed)
{
    origin_evidence_t evidence =
        make_evidence(OPENED_US + 1, ENTRY_START_MS - 1);
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_ENTRY);
    evidence.ended = true;
    ck_assert_int_eq(origin_proof_decide(&evidence), ORIGIN_ENTRY);
}
END_TEST

TEST_MAIN("origin-proof", the_process_that_lists_the_request_is_the_origin,
          an_earlier_start_than_the_entry_is_not_believed,
          a_later_process_leaves_the_origin_unknown,
          data_behind_a_report_proves_no_later_process,
          the_process_of_the_entry_is_proven_by_a_report_alone,
          an_older_report_proves_nothing,
          a_server_that_does_not_answer_has_the_software_of_its_entry,
          without_start_times_the_entry_applies,
          the_report_that_was_requested_last_is_kept)
