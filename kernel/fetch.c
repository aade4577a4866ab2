#include "fetch.h"

#include <stdlib.h>
#include <string.h>

/* Longest answer: a page of the store is about a megabyte.  A longer one is
 * not read to its end. */
#define ANSWER_BYTES_MAX (4u << 20)

struct fetch {
    exchanges_t *exchanges;
    exchange_t *exchange;
    exchange_request_t call;
    char addr[CS_ADDR_MAX];
    buf_t request; /* kept while the request may be sent again */
    const char *other_header;
    int64_t sent_us;
    int64_t answered_ms;
    int status;
    buf_t answer;
    void (*on_done)(void *arg, const fetch_result_t *result);
    void *arg;
};

static head_action_t
on_head(void *arg, const http_head_t *head)
{
    fetch_t *fetch = arg;
    if (fetch->other_header != NULL &&
        http_head_find(head, fetch->other_header) != NULL) {
        return HEAD_SKIP;
    }
    fetch->status = head->status;
    fetch->sent_us = exchange_sent_us(fetch->exchange);
    fetch->answered_ms = time_mono_ms();
    return HEAD_ACCEPT;
}

static void
on_body(void *arg, const char *data, size_t len)
{
    fetch_t *fetch = arg;
    if (fetch->answer.len + len > ANSWER_BYTES_MAX) {
        exchange_stop(fetch->exchange);
        return;
    }
    buf_add(&fetch->answer, data, len);
}

static void
fetch_free(fetch_t *fetch)
{
    buf_free(&fetch->request);
    buf_free(&fetch->answer);
    free(fetch);
}

static void on_end(void *arg, exchange_end_t end);

static const exchange_hooks_t fetch_hooks = {on_head, on_body, on_end, NULL};

/* Sends the request again over a new connection; false if it may not be. */
static bool
repeat(fetch_t *fetch, exchange_end_t end)
{
    if (end != EXCHANGE_NO_ANSWER || fetch->request.len == 0) {
        return false;
    }
    CLEAN_BUF buf_t request = fetch->request;
    exchange_hooks_t hooks = fetch_hooks;
    hooks.arg = fetch;
    memset(&fetch->request, 0, sizeof(fetch->request));
    fetch->call.head = request.data;
    fetch->call.next_id = NULL;
    fetch->call.new_connection = true;
    fetch->exchange = exchange_start(fetch->exchanges, &fetch->call, &hooks);
    return true;
}

static void
on_end(void *arg, exchange_end_t end)
{
    fetch_t *fetch = arg;
    if (repeat(fetch, end)) {
        return;
    }
    fetch_result_t result = {.complete = end == EXCHANGE_COMPLETE,
                             .sent = end != EXCHANGE_UNSENT,
                             .sent_us = fetch->sent_us,
                             .answered_ms = fetch->answered_ms,
                             .status = fetch->status,
                             .text = buf_text(&fetch->answer),
                             .len = fetch->answer.len};
    fetch->on_done(fetch->arg, &result);
    fetch_free(fetch);
}

/* Starts a request; on_done is not called before this returns. */
fetch_t *
fetch_start(exchanges_t *exchanges, const fetch_options_t *options)
{
    fetch_t *fetch = mem_zalloc(sizeof(*fetch));
    exchange_hooks_t hooks = fetch_hooks;
    hooks.arg = fetch;
    str_copy(fetch->addr, sizeof(fetch->addr), options->addr);
    fetch->exchanges = exchanges;
    fetch->call =
        (exchange_request_t){.addr = fetch->addr,
                             .head = options->request->data,
                             .head_len = options->request->len,
                             .new_connection = options->new_connection,
                             .next_id = options->next_id,
                             .connect_ms = options->connect_ms,
                             .total_ms = options->total_ms,
                             .stall_ms = options->stall_ms};
    fetch->other_header = options->other_header;
    fetch->on_done = options->on_done;
    fetch->arg = options->arg;
    fetch->exchange = exchange_start(exchanges, &fetch->call, &hooks);
    if (options->repeatable && exchange_is_reused(fetch->exchange)) {
        buf_add(&fetch->request, options->request->data,
                options->request->len);
    }
    return fetch;
}

/* Whether the answer has begun to arrive. */
bool
fetch_is_answered(const fetch_t *fetch)
{
    return fetch->status != 0;
}

/* Cancels a request; on_done is not called any more. */
void
fetch_cancel(fetch_t *fetch)
{
    exchange_cancel(fetch->exchange);
    fetch_free(fetch);
}
