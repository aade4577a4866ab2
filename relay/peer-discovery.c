#include "peer-discovery.h"
#include "../platform/platform.h"

#define STORE_CONNECT_MS 300
#define STORE_CALL_MS 1000
/* A daemon that knows no other looks at the store again this often, ms. */
#define LOOK_ALONE_MS 5000
#define LOOK_FAILED_MS 500

static void
take_list(peer_discovery_t *look, const fetch_result_t *result)
{
    store_page_t page;
    err_t err = {0};
    char addr[CS_ADDR_MAX];
    if (platform_page_read(&page, result->text, result->len, &err) != 0) {
        log_warn("peers", "The list of daemons cannot be read: %s.", err.text);
        return;
    }
    for (size_t i = 0; i < page.count; i++) {
        if (platform_peer_read(&page.objects[i], addr, sizeof(addr)) == 0) {
            members_seed(look->members, addr);
            look->on_listed(look->arg, addr);
        }
    }
    log_record(LOG_INFO, "peers", "listed", "daemons=%zu", page.count);
    platform_page_free(&page);
}

static void look_call(peer_discovery_t *look);

static void
on_done(void *arg, const fetch_result_t *result)
{
    peer_discovery_t *look = arg;
    int64_t now = time_mono_ms();
    look->fetch = NULL;
    look->next_ms = now + LOOK_FAILED_MS;
    if (!result->whole) {
        return;
    }
    switch (look->step) {
        case LOOK_WRITE:
            if (result->status == 409) {
                look->step = LOOK_REPLACE;
                look_call(look);
            }
            /* fallthrough */
        case LOOK_REPLACE:
            if (result->status == 200 || result->status == 201) {
                look->step = LOOK_LIST;
                look_call(look);
            }
            return;
        case LOOK_LIST:
            if (result->status == 200) {
                take_list(look, result);
                look->step = LOOK_DONE;
                look->next_ms = now + LOOK_ALONE_MS;
            }
            return;
        case LOOK_DONE:
            return;
    }
}

static void
look_call(peer_discovery_t *look)
{
    const settings_t *settings = look->settings;
    CLEAN_BUF buf_t head = {0};
    CLEAN_JSON json_t *spec = platform_peer_spec(settings->peer_addr);
    switch (look->step) {
        case LOOK_WRITE:
            platform_create_call(&head, settings->store_addr, KIND_PEERS,
                                 settings->name, spec);
            break;
        case LOOK_REPLACE:
            platform_replace_call(&head, settings->store_addr, KIND_PEERS,
                                  settings->name, 0, spec);
            break;
        case LOOK_LIST:
        case LOOK_DONE:
            platform_list_call(&head, settings->store_addr, KIND_PEERS, "");
            break;
    }
    fetch_ask_t ask = {.addr = settings->store_addr,
                       .call = &head,
                       .connect_ms = STORE_CONNECT_MS,
                       .total_ms = STORE_CALL_MS,
                       .on_done = on_done,
                       .arg = look};
    look->fetch = fetch_start(look->exchanges, &ask);
}

/* One step: write our own object, list all, and look again while alone. */
void
peer_discovery_tick(peer_discovery_t *look, int64_t now)
{
    if (look->fetch != NULL || now < look->next_ms) {
        return;
    }
    if (look->step == LOOK_DONE) {
        if (members_live(look->members) > 1) {
            look->next_ms = now + LOOK_ALONE_MS;
            return;
        }
        look->step = LOOK_LIST;
    }
    look_call(look);
}
