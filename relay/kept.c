#include "relay.h"

/* The platform's objects as its store gave them, kept for daemons that cannot
 * reach the store or start while it is away. */

/* Keep an object as the store gave it, for daemons that cannot reach it. */
void
kept_put(relay_t *relay, kind_t kind, const store_object_t *object)
{
    json_t *kept = relay->kept[kind];
    if (object->removed) {
        (void)json_object_del(kept, object->name);
        return;
    }
    const json_t *old = json_object_get(kept, object->name);
    if (old != NULL && json_int(json_object_get(old, "metadata"), "revision",
                                0) > object->revision) {
        return;
    }
    (void)json_object_set_new(kept, object->name, platform_object(object));
}

/* All objects of a kind, as the store would list them; false for a kind that
 * is not kept or not known yet. */
bool
kept_page(const relay_t *relay, kind_t kind, buf_t *out)
{
    const watch_t *watches[] = {relay->config_watch, relay->servers_watch,
                                relay->weights_watch};
    if (kind > KIND_WEIGHTS || !watch_listed(watches[kind])) {
        return false;
    }
    CLEAN_JSON json_t *page =
        platform_page(relay->kept[kind], watch_at(watches[kind]));
    CLEAN_TEXT char *text = json_dumps(page, JSON_COMPACT);
    buf_str(out, text);
    return true;
}
