#include "peers-apply.h"
#include "cache-source.h"

#include <stdlib.h>

/* A server that a peer reports as loading weights gets no requests for this
 * long, ms: its running requests end first, then it loads.  The peer announces
 * the end of the load too; the timeout covers the loss of that datagram. */
#define LOADING_TIMEOUT_MS 2500

static void
apply_weights(relay_t *relay, server_t *server, const load_report_t *load)
{
    if (load->version[0] == '\0') {
        return; /* the report does not include weights */
    }
    int64_t weights = strtoll(load->version, NULL, 10);
    int64_t loading = strtoll(load->loading, NULL, 10);
    weights_note_seen(relay, server->info.model, weights);
    weights_note_seen(relay, server->info.model, loading);
    server->loading_until_ms =
        loading > 0 ? time_mono_ms() + LOADING_TIMEOUT_MS : 0;
    if (weights > server->info.weights) {
        server->info.weights = weights;
        cache_clear(relay, server);
    }
}

static void
apply_load(relay_t *relay, uint64_t host, const peer_fact_t *fact)
{
    server_t *server = servers_find(relay->servers, fact->backend);
    if (server == NULL) {
        return;
    }
    const server_peer_load_t report = {
        .host_id = host,
        .received_ms = time_mono_ms(),
        .prefill_tokens = fact->load.waiting_tokens,
        .running = fact->load.running,
        .unshared_tokens = fact->load.unshared_tokens};
    apply_weights(relay, server, &fact->load);
    server_apply_peer_load(server, &report);
    if (fact->load.total_requests == LOAD_SILENT) {
        server_apply_silence(server, time_mono_ms());
    }
    if (fact->load.total_requests >= 0) {
        server_set_load(server, fact->load.total_requests, 0, time_mono_ms());
    }
}

/* Applies a fact from another daemon, which host identifies: see
 * peers_host_id. */
void
peers_apply(relay_t *relay, uint64_t host, const peer_fact_t *fact)
{
    if (fact->is_load) {
        apply_load(relay, host, fact);
        return;
    }
    const cached_part_t part = {fact->key, fact->prefix_tokens,
                                fact->part_tokens};
    if (!fact->held) {
        cache_note_evicted(relay, fact->backend, fact->key);
        return;
    }
    cache_apply_notice(relay, fact->backend, &part);
}
