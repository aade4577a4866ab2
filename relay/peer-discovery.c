#include "peer-discovery.h"
#include "../platform/platform.h"

#define STORE_CONNECT_TIMEOUT_MS 300
#define STORE_TIMEOUT_MS 1000
/* A daemon that knows no other one lists the store again at this interval, ms.
 */
#define RELIST_INTERVAL_MS 5000
#define RETRY_DELAY_MS 500

static list_step_t
apply_page(peer_discovery_t *discovery, const store_page_t *page)
{
    char addr[CS_ADDR_MAX];
    if (!list_walk_has_page(&discovery->walk)) {
        discovery->listed = 0;
    }
    for (size_t i = 0; i < page->count; i++) {
        if (platform_peer_read(&page->objects[i], addr, sizeof(addr)) == 0) {
            members_add_seed(discovery->members, addr);
            discovery->on_listed(discovery->arg, addr);
            discovery->listed++;
        }
    }
    return list_walk_page(&discovery->walk, page);
}

/* Returns how the list goes on after an answer. */
static list_step_t
apply_answer(peer_discovery_t *discovery, const fetch_result_t *result)
{
    store_page_t page;
    err_t err = {0};
    if (!result->complete || result->status != 200) {
        return list_walk_fail(&discovery->walk);
    }
    if (platform_page_read(&page, result->text, result->len, &err) != 0) {
        log_warn("peers", "Cannot parse the list of daemons: %s.", err.text);
        return LIST_CUT;
    }
    list_step_t step = apply_page(discovery, &page);
    platform_page_free(&page);
    return step;
}

static void
end_list(peer_discovery_t *discovery, bool complete, int64_t now)
{
    log_record(LOG_INFO, "peers", complete ? "listed" : "list-cut",
               "daemons=%zu", discovery->listed);
    list_walk_reset(&discovery->walk);
    discovery->step = DISCOVERY_DONE;
    discovery->next_ms = now + RELIST_INTERVAL_MS;
}

static void call_store(peer_discovery_t *discovery);

static void
on_list_answer(peer_discovery_t *discovery, const fetch_result_t *result,
               int64_t now)
{
    switch (apply_answer(discovery, result)) {
        case LIST_NEXT:
            call_store(discovery);
            return;
        case LIST_RETRY:
            return;
        case LIST_COMPLETE:
            end_list(discovery, true, now);
            return;
        case LIST_CUT:
            end_list(discovery, false, now);
            return;
    }
}

static void
on_done(void *arg, const fetch_result_t *result)
{
    peer_discovery_t *discovery = arg;
    int64_t now = time_mono_ms();
    int status = result->complete ? result->status : 0;
    discovery->fetch = NULL;
    discovery->next_ms = now + RETRY_DELAY_MS;
    switch (discovery->step) {
        case DISCOVERY_CREATE:
            if (status == 409) {
                discovery->step = DISCOVERY_REPLACE;
                call_store(discovery);
            }
            /* fallthrough */
        case DISCOVERY_REPLACE:
            if (status == 200 || status == 201) {
                discovery->step = DISCOVERY_LIST;
                call_store(discovery);
            }
            return;
        case DISCOVERY_LIST:
            on_list_answer(discovery, result, now);
            return;
        case DISCOVERY_DONE:
            return;
    }
}

static void
call_store(peer_discovery_t *discovery)
{
    const settings_t *settings = discovery->settings;
    CLEAN_BUF buf_t head = {0};
    CLEAN_JSON json_t *spec = platform_peer_spec(settings->peer_addr);
    switch (discovery->step) {
        case DISCOVERY_CREATE:
            platform_create_call(&head, settings->store_addr, KIND_PEERS,
                                 settings->name, spec);
            break;
        case DISCOVERY_REPLACE:
            platform_replace_call(&head, settings->store_addr, KIND_PEERS,
                                  settings->name, 0, spec);
            break;
        case DISCOVERY_LIST:
        case DISCOVERY_DONE:
            platform_list_call(&head, settings->store_addr, KIND_PEERS,
                               list_walk_cursor(&discovery->walk));
            break;
    }
    fetch_options_t call_options = {.addr = settings->store_addr,
                                    .request = &head,
                                    .connect_ms = STORE_CONNECT_TIMEOUT_MS,
                                    .total_ms = STORE_TIMEOUT_MS,
                                    .on_done = on_done,
                                    .arg = discovery};
    discovery->fetch = fetch_start(discovery->exchanges, &call_options);
}

/* Starts the next call if it is due: writes this daemon's object, then lists
 * all, and lists again while no other daemon is known. */
void
peer_discovery_tick(peer_discovery_t *discovery, int64_t now)
{
    if (discovery->fetch != NULL || now < discovery->next_ms) {
        return;
    }
    if (discovery->step == DISCOVERY_DONE) {
        if (members_live_count(discovery->members) > 1) {
            discovery->next_ms = now + RELIST_INTERVAL_MS;
            return;
        }
        discovery->step = DISCOVERY_LIST;
    }
    call_store(discovery);
}
