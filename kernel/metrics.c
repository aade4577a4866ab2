#include "metrics.h"

#include <ck_pr.h>
#include <ck_queue.h>
#include <stdlib.h>
#include <string.h>

/* A series belongs to one workspace and one model or service.  Series are
 * created under the lock and live as long as the table; counting takes no
 * lock.  Once SERIES_MAX exist, every lookup returns the series "others", so
 * that memory is bounded. */

#define SERIES_MAX 4096
#define BUCKET_UNIT_US 62.5

static const char *const counter_names[METRIC_COUNTER_COUNT] = {
    "requests_done_total",    "requests_not_run_total",
    "requests_unknown_total", "requests_refused_total",
    "prompt_tokens_total",    "cached_tokens_total",
    "output_tokens_total",    "streams_resumed_total",
    "streams_moved_total"};
static const char *const histogram_names[METRIC_HISTOGRAM_COUNT] = {
    "ttft_seconds", "token_gap_seconds", "overhead_seconds"};

struct series {
    CK_LIST_ENTRY(series) entry;
    char workspace[CS_NAME_MAX];
    char target[CS_NAME_MAX];
    uint64_t counters[METRIC_COUNTER_COUNT];
    histogram_t histograms[METRIC_HISTOGRAM_COUNT];
};

struct metrics {
    pthread_mutex_t lock;
    size_t count;
    CK_LIST_HEAD(series_list, series) series;
};

/* Create an empty table. */
metrics_t *
metrics_new(void)
{
    metrics_t *metrics = mem_zalloc(sizeof(*metrics));
    (void)pthread_mutex_init(&metrics->lock, NULL);
    return metrics;
}

void
metrics_free(metrics_t *metrics)
{
    series_t *series;
    while ((series = CK_LIST_FIRST(&metrics->series)) != NULL) {
        CK_LIST_REMOVE(series, entry);
        free(series);
    }
    (void)pthread_mutex_destroy(&metrics->lock);
    free(metrics);
}

/* The series of a workspace and target, created on first use. */
series_t *
metrics_get_series(metrics_t *metrics, const char *workspace,
                   const char *target)
{
    LOCK_SCOPE(&metrics->lock);
    series_t *series;
    if (metrics->count >= SERIES_MAX) {
        workspace = "others";
        target = "others";
    }
    CK_LIST_FOREACH (series, &metrics->series, entry) {
        if (strcmp(series->workspace, workspace) == 0 &&
            strcmp(series->target, target) == 0) {
            return series;
        }
    }
    series = mem_zalloc(sizeof(*series));
    str_copy(series->workspace, sizeof(series->workspace), workspace);
    str_copy(series->target, sizeof(series->target), target);
    CK_LIST_INSERT_HEAD(&metrics->series, series, entry);
    metrics->count++;
    return series;
}

/* Record a duration. */
void
histogram_add(histogram_t *histogram, int64_t us)
{
    unsigned bucket = 0;
    double bound_us = BUCKET_UNIT_US;
    while (bucket < HISTOGRAM_BUCKETS - 1 && (double)us > bound_us) {
        bound_us *= 2;
        bucket++;
    }
    ck_pr_inc_64(&histogram->buckets[bucket]);
    ck_pr_inc_64(&histogram->count);
    ck_pr_add_64(&histogram->sum_us, (uint64_t)(us < 0 ? 0 : us));
}

/* The upper bound, in ms, of the bucket that a quantile falls into. */
double
histogram_quantile(const histogram_t *histogram, double quantile)
{
    double rank = quantile * (double)histogram->count;
    double bound_us = BUCKET_UNIT_US;
    uint64_t cumulative = 0;
    for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
        cumulative += histogram->buckets[i];
        if (cumulative > 0 && (double)cumulative >= rank) {
            break;
        }
        bound_us *= 2;
    }
    return bound_us / 1000;
}

void
series_observe(series_t *series, metric_histogram_t metric, int64_t us)
{
    histogram_add(&series->histograms[metric], us);
}

void
series_increment(series_t *series, metric_counter_t metric, uint64_t increment)
{
    ck_pr_add_64(&series->counters[metric], increment);
}

static void
write_histogram(buf_t *out, const series_t *series, metric_histogram_t metric)
{
    const histogram_t *histogram = &series->histograms[metric];
    const char *name = histogram_names[metric];
    uint64_t sum = 0;
    double bound_us = BUCKET_UNIT_US;
    for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
        sum += histogram->buckets[i];
        buf_fmt(out,
                "celeryspool_%s_bucket{workspace=\"%s\",target=\"%s\","
                "le=\"%g\"} %llu\n",
                name, str_escape(series->workspace),
                str_escape(series->target), bound_us / 1e6,
                (unsigned long long)sum);
        bound_us *= 2;
    }
    buf_fmt(out, "celeryspool_%s_sum{workspace=\"%s\",target=\"%s\"} %g\n",
            name, str_escape(series->workspace), str_escape(series->target),
            (double)histogram->sum_us / 1e6);
    buf_fmt(out, "celeryspool_%s_count{workspace=\"%s\",target=\"%s\"} %llu\n",
            name, str_escape(series->workspace), str_escape(series->target),
            (unsigned long long)histogram->count);
}

/* Write all series in the Prometheus text exposition format. */
void
metrics_write(metrics_t *metrics, buf_t *out)
{
    LOCK_SCOPE(&metrics->lock);
    const series_t *series;
    for (int i = 0; i < METRIC_COUNTER_COUNT; i++) {
        buf_fmt(out, "# TYPE celeryspool_%s counter\n", counter_names[i]);
        CK_LIST_FOREACH (series, &metrics->series, entry) {
            buf_fmt(out,
                    "celeryspool_%s{workspace=\"%s\",target=\"%s\"} %llu\n",
                    counter_names[i], str_escape(series->workspace),
                    str_escape(series->target),
                    (unsigned long long)series->counters[i]);
        }
    }
    for (int i = 0; i < METRIC_HISTOGRAM_COUNT; i++) {
        buf_fmt(out, "# TYPE celeryspool_%s histogram\n", histogram_names[i]);
        CK_LIST_FOREACH (series, &metrics->series, entry) {
            write_histogram(out, series, (metric_histogram_t)i);
        }
    }
}

/* Write one gauge without labels. */
void
metrics_write_gauge(buf_t *out, const char *name, double value)
{
    buf_fmt(out, "# TYPE celeryspool_%s gauge\nceleryspool_%s %g\n", name,
            name, value);
}

/* One row per series, for the query language. */
json_t *
metrics_to_json(metrics_t *metrics)
{
    LOCK_SCOPE(&metrics->lock);
    json_t *rows = json_array();
    const series_t *series;
    CK_LIST_FOREACH (series, &metrics->series, entry) {
        const uint64_t *counters = series->counters;
        uint64_t prompt = counters[METRIC_PROMPT_TOKENS];
        double hit_rate =
            prompt == 0
                ? 0
                : (double)counters[METRIC_CACHED_TOKENS] / (double)prompt;
        (void)json_array_append_new(
            rows,
            json_pack(
                "{s:s,s:s,s:I,s:I,s:I,s:I,s:f,s:f,s:f}", "workspace",
                series->workspace, "target", series->target, "done",
                (json_int_t)counters[METRIC_DONE], "not_run",
                (json_int_t)counters[METRIC_NOT_RUN], "unknown",
                (json_int_t)counters[METRIC_UNKNOWN], "refused",
                (json_int_t)counters[METRIC_REJECTED], "hit_rate", hit_rate,
                "ttft_p50_ms",
                histogram_quantile(&series->histograms[METRIC_TTFT], 0.5),
                "ttft_p99_ms",
                histogram_quantile(&series->histograms[METRIC_TTFT], 0.99)));
    }
    return rows;
}
