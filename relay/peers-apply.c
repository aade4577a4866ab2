#include "peers-apply.h"
#include "cache-source.h"

#include <stdlib.h>

/* A server that peers report as loading is left alone for this long, ms: a
 * load and the runs before it. Its end is announced; this bounds a lost
 * datagram.
 */
#define LOADING_MS 2500

static void
take_weights(relay_t *relay, server_t *server, const load_report_t *load)
{
    if (load->version[0] == '\0') {
        return; /* it is about the sender's requests alone */
    }
    int64_t weights = strtoll(load->version, NULL, 10);
    server->loading_ms =
        load->loading[0] != '\0' ? time_mono_ms() + LOADING_MS : 0;
    if (weights > server->info.weights) {
        server->info.weights = weights;
        cache_forget(relay, server);
    }
}

static void
take_load(relay_t *relay, uint64_t host, const peer_fact_t *fact)
{
    server_t *server = servers_find(relay->servers, fact->backend);
    if (server == NULL) {
        return;
    }
    const other_load_t report = {.host = host,
                                 .received_ms = time_mono_ms(),
                                 .unread = fact->load.waiting_tokens,
                                 .running = fact->load.running,
                                 .filled = fact->load.filled};
    take_weights(relay, server, &fact->load);
    server_peer_load(server, &report);
    if (fact->load.at_server >= 0) {
        server_load(server, fact->load.at_server, 0, time_mono_ms());
    }
}

/* Applies a fact that another daemon, named by its address, sent. */
void
peers_apply(relay_t *relay, uint64_t host, const peer_fact_t *fact)
{
    if (fact->is_load) {
        take_load(relay, host, fact);
        return;
    }
    const cached_part_t part = {fact->key, fact->prefix_tokens,
                                fact->part_tokens};
    if (!fact->held) {
        cache_evicted(relay, fact->backend, fact->key);
        return;
    }
    cache_apply(relay, fact->backend, &part);
}
