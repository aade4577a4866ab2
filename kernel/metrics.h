#ifndef CELERYSPOOL_METRICS_H
#define CELERYSPOOL_METRICS_H

/* The daemon's counters and histograms, in the Prometheus text format. */

#include "base.h"

#define HISTOGRAM_BUCKETS 28

/* Bucket i counts the values up to 2^i / 16 ms that exceed the bound of bucket
 * i - 1; the last one also counts all larger values. */
typedef struct {
    uint64_t buckets[HISTOGRAM_BUCKETS];
    uint64_t count;
    uint64_t sum_us;
} histogram_t;

void histogram_add(histogram_t *histogram, int64_t us);
double histogram_quantile(const histogram_t *histogram, double quantile);

typedef enum {
    METRIC_TTFT,
    METRIC_TOKEN_GAP,
    METRIC_OVERHEAD,
    METRIC_HISTOGRAM_COUNT
} metric_histogram_t;

typedef enum {
    METRIC_DONE,
    METRIC_NOT_RUN,
    METRIC_UNKNOWN,
    METRIC_REJECTED,
    METRIC_PROMPT_TOKENS,
    METRIC_CACHED_TOKENS,
    METRIC_OUTPUT_TOKENS,
    METRIC_RESUMED,
    METRIC_MOVED,
    METRIC_COUNTER_COUNT
} metric_counter_t;

typedef struct metrics metrics_t;
typedef struct series series_t;

metrics_t *metrics_new(void);
void metrics_free(metrics_t *metrics);
series_t *metrics_get_series(metrics_t *metrics, const char *workspace,
                             const char *target);
void series_observe(series_t *series, metric_histogram_t metric, int64_t us);
void series_increment(series_t *series, metric_counter_t metric,
                      uint64_t increment);
void metrics_write(metrics_t *metrics, buf_t *out);
void metrics_write_gauge(buf_t *out, const char *name, double value);
json_t *metrics_to_json(metrics_t *metrics);

#endif
