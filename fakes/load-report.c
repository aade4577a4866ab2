#include "load.h"

#include <stdlib.h>
#include <string.h>

struct load_test_report {
    pthread_mutex_t lock;
    size_t count;
    size_t max;
    load_result_t *results;
};

/* Create a report that holds up to max results; more are dropped. */
load_test_report_t *
load_report_new(size_t max)
{
    load_test_report_t *report = mem_zalloc(sizeof(*report));
    (void)pthread_mutex_init(&report->lock, NULL);
    report->max = max;
    report->results = mem_zalloc((max + 1) * sizeof(load_result_t));
    return report;
}

void
load_report_free(load_test_report_t *report)
{
    (void)pthread_mutex_destroy(&report->lock);
    free(report->results);
    free(report);
}

void
load_report_add(load_test_report_t *report, const load_result_t *result)
{
    LOCK_SCOPE(&report->lock);
    if (report->count < report->max) {
        report->results[report->count++] = *result;
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static double
quantile(const double *sorted, size_t count, double fraction)
{
    if (count == 0) {
        return -1;
    }
    size_t index = (size_t)(fraction * (double)(count - 1) + 0.5);
    return sorted[index];
}

/* Outcome counts and quantiles of the time to first token for the requests
 * that started in [from_s, to_s), of one workspace or, if it is < 0, of all.
 */
static json_t *
row_json(const load_test_report_t *report, double from_s, double to_s,
         int workspace)
{
    double *ttfts_ms = mem_zalloc((report->count + 1) * sizeof(double));
    size_t outcomes[LOAD_OUTCOMES] = {0};
    size_t count = 0;
    for (size_t i = 0; i < report->count; i++) {
        const load_result_t *result = &report->results[i];
        if (result->started_s < from_s || result->started_s >= to_s ||
            (workspace >= 0 && result->workspace != (unsigned)workspace)) {
            continue;
        }
        outcomes[result->outcome]++;
        if (result->outcome == LOAD_DONE && result->ttft_ms >= 0) {
            ttfts_ms[count++] = result->ttft_ms;
        }
    }
    qsort(ttfts_ms, count, sizeof(double), compare_doubles);
    json_t *row = json_pack("{s:f,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:f}", "from_s",
                            from_s, "done", (json_int_t)outcomes[LOAD_DONE],
                            "refused", (json_int_t)outcomes[LOAD_REFUSED],
                            "not_run", (json_int_t)outcomes[LOAD_NOT_RUN],
                            "unknown", (json_int_t)outcomes[LOAD_UNKNOWN],
                            "wrong", (json_int_t)outcomes[LOAD_WRONG],
                            "ttft_p50_ms", quantile(ttfts_ms, count, 0.5),
                            "ttft_p95_ms", quantile(ttfts_ms, count, 0.95),
                            "ttft_p99_ms", quantile(ttfts_ms, count, 0.99));
    free(ttfts_ms);
    return row;
}

static json_t *
refusals_json(const load_test_report_t *report)
{
    double slowest_ms = 0;
    size_t slow = 0;
    for (size_t i = 0; i < report->count; i++) {
        const load_result_t *result = &report->results[i];
        if (result->outcome == LOAD_REFUSED) {
            slowest_ms =
                result->total_ms > slowest_ms ? result->total_ms : slowest_ms;
        }
        slow += result->slow_refusal;
    }
    return json_pack("{s:f,s:I}", "slowest_ms", slowest_ms,
                     "without_retry_after", (json_int_t)slow);
}

/* The complete report: totals, by second, and by workspace. */
json_t *
load_report_json(load_test_report_t *report, const load_opts_t *opts)
{
    LOCK_SCOPE(&report->lock);
    json_t *seconds = json_array();
    json_t *workspaces = json_array();
    unsigned resumes = 0;
    for (size_t i = 0; i < report->count; i++) {
        resumes += report->results[i].resumes;
    }
    for (unsigned s = 0; s < (unsigned)opts->seconds && s < LOAD_SECONDS_MAX;
         s++) {
        (void)json_array_append_new(seconds, row_json(report, s, s + 1, -1));
    }
    for (unsigned w = 0; w < opts->workspaces; w++) {
        (void)json_array_append_new(
            workspaces, row_json(report, opts->warmup_s, 1e9, (int)w));
    }
    return json_pack("{s:I,s:o,s:o,s:I,s:o,s:o}", "answered",
                     (json_int_t)report->count, "total",
                     row_json(report, opts->warmup_s, 1e9, -1), "refusals",
                     refusals_json(report), "resumes", (json_int_t)resumes,
                     "by_second", seconds, "by_workspace", workspaces);
}
