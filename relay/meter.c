#include "meter.h"

#include <stdlib.h>
#include <string.h>

/* Quantiles that are written for each histogram. */
static const double quantiles[] = {0.5, 0.95, 0.99};

static const char *const outcome_names[METER_OUTCOME_COUNT] = {
    "answered", "server_failure", "refused", "failed", "caller_left"};

void
meter_init(meter_t *meter)
{
    memset(meter, 0, sizeof(*meter));
    CK_SLIST_INIT(&meter->routes);
}

/* Returns the metrics of a route, created at its first request. */
meter_route_t *
meter_get_route(meter_t *meter, const char *name)
{
    meter_route_t *route;
    CK_SLIST_FOREACH (route, &meter->routes, entry) {
        if (strcmp(route->name, name) == 0) {
            return route;
        }
    }
    route = mem_zalloc(sizeof(*route));
    str_copy(route->name, sizeof(route->name), name);
    CK_SLIST_INSERT_HEAD(&meter->routes, route, entry);
    return route;
}

static void
write_histogram(const histogram_t *histogram, const char *name,
                const char *route, buf_t *out)
{
    for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        buf_fmt(out, "celeryspool_%s_ms{route=\"%s\",quantile=\"%g\"} %.1f\n",
                name, str_escape(route), quantiles[i],
                histogram_quantile(histogram, quantiles[i]));
    }
    buf_fmt(out, "celeryspool_%s_ms_sum{route=\"%s\"} %.1f\n", name,
            str_escape(route), (double)histogram->sum_us / 1000);
    buf_fmt(out, "celeryspool_%s_ms_count{route=\"%s\"} %llu\n", name,
            str_escape(route), (unsigned long long)histogram->count);
}

void
meter_write_value(buf_t *out, const char *name, double value)
{
    buf_fmt(out, "celeryspool_%s %g\n", name, value);
}

/* Writes all counters and histograms. */
void
meter_write(const meter_t *meter, buf_t *out)
{
    const meter_route_t *route;
    CK_SLIST_FOREACH (route, &meter->routes, entry) {
        for (size_t i = 0; i < METER_OUTCOME_COUNT; i++) {
            buf_fmt(out,
                    "celeryspool_requests_total{route=\"%s\","
                    "outcome=\"%s\"} %llu\n",
                    str_escape(route->name), outcome_names[i],
                    (unsigned long long)route->outcomes[i]);
        }
        write_histogram(&route->first_answer, "first_answer", route->name,
                        out);
        write_histogram(&route->total, "total", route->name, out);
        write_histogram(&route->overhead, "added", route->name, out);
    }
    meter_write_value(out, "sends_total", (double)meter->sends);
    meter_write_value(out, "retries_total", (double)meter->retries);
    meter_write_value(out, "retry_shares_counted_total",
                      (double)meter->shares_counted);
    meter_write_value(out, "forwards_total", (double)meter->forwards);
    meter_write_value(out, "forwards_refused_total",
                      (double)meter->forwards_refused);
    meter_write_value(out, "taken_from_hosts_total", (double)meter->taken);
    meter_write_value(out, "not_let_in_total", (double)meter->not_admitted);
    meter_write_value(out, "streams_taken_up_total", (double)meter->resumes);
    meter_write_value(out, "streams_asked_for_total",
                      (double)meter->resumes_asked);
    meter_write_value(out, "streams_origin_reports_total",
                      (double)meter->origin_reports);
    meter_write_value(out, "streams_unknown_total",
                      (double)meter->resumes_unknown);
    meter_write_value(out, "answers_unnamed_total",
                      (double)meter->answers_unnamed);
    meter_write_value(out, "answers_stray_total",
                      (double)meter->answers_stray);
    meter_write_value(out, "reads_stopped_total",
                      (double)meter->reads_stopped);
    meter_write_value(out, "unread_answers_dropped_total",
                      (double)meter->answers_dropped);
    meter_write_value(out, "prompt_tokens_total",
                      (double)meter->prompt_tokens);
    meter_write_value(out, "held_tokens_total", (double)meter->cached_tokens);
    meter_write_value(out, "cache_events_total", (double)meter->cache_events);
    meter_write_value(out, "cache_appeared_total",
                      (double)meter->cache_parts_appeared);
    meter_write_value(out, "cache_evicted_total",
                      (double)meter->cache_parts_evicted);
}
