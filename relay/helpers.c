#include "helpers.h"

#include <string.h>

/* A host that refused or failed is not asked again for this long, or not for
 * the service that it reaches no server of. */
#define AVOID_MS 1000
/* A host that served within this time is likely to serve again. */
#define SERVED_RECENTLY_MS 5000
/* Costs in requests that run at a host: traffic between data centres is dear,
 * and a host that has not served lately may refuse. */
#define OTHER_DC_COST 2
#define UNKNOWN_COST 3
/* A data centre whose host has refused this request is likely to be cut off
 * as a whole. */
#define REFUSED_DC_COST 4
/* A host whose answer to this request broke off may have ended.  It is chosen
 * only if there is no other, since its server may have crashed instead. */
#define BROKEN_COST 1000
/* Hosts compared for a request besides those that served recently, drawn at
 * random. */
#define SAMPLE_MAX 8

static const helper_t *
find_helper(const helpers_t *helpers, const char *addr)
{
    for (size_t i = 0; i < helpers->count; i++) {
        if (strcmp(helpers->list[i].addr, addr) == 0) {
            return &helpers->list[i];
        }
    }
    return NULL;
}

/* Returns the record of a host; a new one replaces the one that was used the
 * longest ago.  NULL if requests run at all of them. */
static helper_t *
get_helper(helpers_t *helpers, const char *addr, int64_t now_ms)
{
    helper_t *helper = (helper_t *)find_helper(helpers, addr);
    if (helper == NULL && helpers->count < HELPERS_MAX) {
        helper = &helpers->list[helpers->count++];
    }
    else if (helper == NULL) {
        for (size_t i = 0; i < HELPERS_MAX; i++) {
            helper_t *other = &helpers->list[i];
            if (other->running == 0 &&
                (helper == NULL || other->used_ms < helper->used_ms)) {
                helper = other;
            }
        }
    }
    if (helper == NULL) {
        return NULL;
    }
    if (strcmp(helper->addr, addr) != 0) {
        *helper = (helper_t){0};
        str_copy(helper->addr, sizeof(helper->addr), addr);
    }
    helper->used_ms = now_ms;
    return helper;
}

static bool
is_tried(const helpers_tried_t *tried, const char *addr)
{
    for (size_t i = 0; i < tried->count; i++) {
        if (strcmp(tried->addrs[i], addr) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_avoided(const helper_t *helper, uint64_t service, int64_t now_ms)
{
    for (size_t i = 0; i < HELPER_SERVICES_MAX; i++) {
        const unreached_service_t *unreached = &helper->unreached[i];
        if (unreached->service == service && now_ms < unreached->until_ms) {
            return true;
        }
    }
    return now_ms < helper->avoid_until_ms;
}

static bool
may_help(const helper_t *helper, const member_t *member,
         const helpers_tried_t *tried, uint64_t service, int64_t now_ms)
{
    return member->health == MEMBER_ALIVE &&
           member->intent == MEMBER_SERVING &&
           (helper == NULL || !is_avoided(helper, service, now_ms)) &&
           !is_tried(tried, member->peer_addr);
}

static bool
served_recently(const helper_t *helper, int64_t now_ms)
{
    return helper != NULL && helper->served_ms != 0 &&
           now_ms - helper->served_ms < SERVED_RECENTLY_MS;
}

/* Returns the cost of a host, in requests that run there. */
static int
helper_cost(const helper_t *helper, const member_t *member, const char *dc,
            const helpers_tried_t *tried, bool served)
{
    int cost = helper != NULL ? helper->running : 0;
    cost += strcmp(member->dc, dc) != 0 ? OTHER_DC_COST : 0;
    cost += served ? 0 : UNKNOWN_COST;
    cost += strcmp(member->peer_addr, tried->broken) == 0 ? BROKEN_COST : 0;
    for (size_t i = 0; i < tried->count && !served; i++) {
        cost += strcmp(member->dc, tried->dcs[i]) == 0 ? REFUSED_DC_COST : 0;
    }
    return cost;
}

/* Chooses the host to forward a request for a service to, or NULL if there is
 * none.  The first of the members is this host itself. */
const member_t *
helpers_choose(const helpers_t *helpers, const member_t *members, size_t count,
               const helpers_tried_t *tried, uint64_t service, rng_t *rng,
               int64_t now_ms)
{
    const member_t *best = NULL;
    int best_cost = 0;
    size_t sampled = 0;
    if (count <= 1 || tried->count == HELPERS_TRIED_MAX) {
        return NULL;
    }
    size_t offset = (size_t)rng_below(rng, count - 1);
    for (size_t i = 0; i < count - 1; i++) {
        const member_t *member = &members[1 + (offset + i) % (count - 1)];
        const helper_t *helper = find_helper(helpers, member->peer_addr);
        bool served = served_recently(helper, now_ms);
        if (!may_help(helper, member, tried, service, now_ms) ||
            (!served && sampled == SAMPLE_MAX)) {
            continue;
        }
        sampled += served ? 0 : 1;
        int cost = helper_cost(helper, member, members[0].dc, tried, served);
        if (best == NULL || cost < best_cost) {
            best = member;
            best_cost = cost;
        }
    }
    return best;
}

/* Whether a host has served forwarded requests lately, or no request is at one
 * and none has refused lately. */
bool
helpers_may_serve(const helpers_t *helpers, int64_t now_ms)
{
    bool idle = true;
    for (size_t i = 0; i < helpers->count; i++) {
        const helper_t *helper = &helpers->list[i];
        if (served_recently(helper, now_ms)) {
            return true;
        }
        idle =
            idle && helper->running == 0 && now_ms >= helper->avoid_until_ms;
    }
    return idle;
}

/* Records that a request has been forwarded to a host. */
void
helpers_tried_add(helpers_tried_t *tried, const member_t *member)
{
    if (tried->count == HELPERS_TRIED_MAX) {
        return;
    }
    str_copy(tried->addrs[tried->count], CS_ADDR_MAX, member->peer_addr);
    str_copy(tried->dcs[tried->count], CS_NAME_MAX, member->dc);
    tried->count++;
}

/* Lets a request be forwarded to a host again. */
void
helpers_tried_remove(helpers_tried_t *tried, const char *addr)
{
    for (size_t i = 0; i < tried->count; i++) {
        if (strcmp(tried->addrs[i], addr) == 0) {
            tried->count--;
            memmove(tried->addrs[i], tried->addrs[tried->count], CS_ADDR_MAX);
            memmove(tried->dcs[i], tried->dcs[tried->count], CS_NAME_MAX);
            return;
        }
    }
}

/* Records that a host's answer to the request broke off: it may be chosen
 * again, but only if there is no other. */
void
helpers_tried_set_broken(helpers_tried_t *tried, const char *addr)
{
    helpers_tried_remove(tried, addr);
    str_copy(tried->broken, sizeof(tried->broken), addr);
}

/* Counts a request that is forwarded to a host. */
void
helpers_begin(helpers_t *helpers, const char *addr, int64_t now_ms)
{
    helper_t *helper = get_helper(helpers, addr, now_ms);
    if (helper != NULL) {
        helper->running++;
    }
}

/* Ends a request that was counted. */
void
helpers_end(helpers_t *helpers, const char *addr)
{
    helper_t *helper = (helper_t *)find_helper(helpers, addr);
    if (helper != NULL && helper->running > 0) {
        helper->running--;
    }
}

/* Records that a host has passed on a server's answer. */
void
helpers_note_served(helpers_t *helpers, const char *addr, int64_t now_ms)
{
    helper_t *helper = get_helper(helpers, addr, now_ms);
    if (helper != NULL) {
        helper->served_ms = now_ms;
        helper->avoid_until_ms = 0;
    }
}

/* Records that an answer of a host broke off: others are preferred until it
 * has served again. */
void
helpers_note_broken(helpers_t *helpers, const char *addr)
{
    helper_t *helper = (helper_t *)find_helper(helpers, addr);
    if (helper != NULL) {
        helper->served_ms = 0;
    }
}

/* Records that a host has failed or reaches no server either. */
void
helpers_avoid(helpers_t *helpers, const char *addr, int64_t now_ms)
{
    helper_t *helper = get_helper(helpers, addr, now_ms);
    if (helper != NULL) {
        helper->served_ms = 0;
        helper->avoid_until_ms = now_ms + AVOID_MS;
    }
}

/* Records that a host reaches no server of a service; it may serve others. */
void
helpers_avoid_service(helpers_t *helpers, const char *addr, uint64_t service,
                      int64_t now_ms)
{
    helper_t *helper = get_helper(helpers, addr, now_ms);
    if (helper == NULL) {
        return;
    }
    unreached_service_t *oldest = &helper->unreached[0];
    for (size_t i = 0; i < HELPER_SERVICES_MAX; i++) {
        unreached_service_t *unreached = &helper->unreached[i];
        if (unreached->service == service) {
            oldest = unreached;
            break;
        }
        if (unreached->until_ms < oldest->until_ms) {
            oldest = unreached;
        }
    }
    *oldest = (unreached_service_t){service, now_ms + AVOID_MS};
}
