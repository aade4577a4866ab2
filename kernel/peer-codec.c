#include "peer-codec.h"

#include <msgpack.h>
#include <sodium.h>
#include <string.h>

#define MEMBER_FIELDS 9
#define LOAD_FIELDS 10
#define CACHE_FIELDS 5
#define USAGE_FIELDS 3
#define MEMBERS_FIELDS 5
#define FACTS_FIELDS 2
#define USAGES_FIELDS 4
#define SERVER_LOAD_FIELDS 5
#define LOADS_FIELDS 2
#define SIGNAL_FIELDS 11
/* Of daemons that know nothing of brittle servers. */
#define SIGNAL_FIELDS_MIN 6
#define SIGNALS_FIELDS 2
#define PART_FIELDS 5
#define PARTS_FIELDS 2
#define ORIGIN_FIELDS 5
#define ORIGINS_FIELDS 2
#define SPEED_FIELDS 4
#define SPEEDS_FIELDS 2

static void
pack_text(msgpack_packer *packer, const char *text)
{
    size_t len = strlen(text);
    (void)msgpack_pack_str(packer, len);
    (void)msgpack_pack_str_body(packer, text, len);
}

static void
pack_member(msgpack_packer *packer, const member_t *member)
{
    (void)msgpack_pack_array(packer, MEMBER_FIELDS);
    pack_text(packer, member->name);
    pack_text(packer, member->dc);
    pack_text(packer, member->peer_addr);
    pack_text(packer, member->http_addr);
    (void)msgpack_pack_uint64(packer, member->incarnation);
    (void)msgpack_pack_uint64(packer, member->version);
    (void)msgpack_pack_int(packer, (int)member->intent);
    (void)msgpack_pack_int64(packer, member->config_generation);
    (void)msgpack_pack_int(packer, (int)member->health);
}

static void
pack_fact(msgpack_packer *packer, const peer_fact_t *fact)
{
    (void)msgpack_pack_array(packer,
                             fact->is_load ? LOAD_FIELDS : CACHE_FIELDS);
    pack_text(packer, fact->backend);
    if (!fact->is_load) {
        (void)msgpack_pack_uint64(packer, fact->key);
        (void)msgpack_pack_uint64(packer, fact->prefix_tokens);
        (void)msgpack_pack_uint64(packer, fact->part_tokens);
        (void)msgpack_pack_int(packer, fact->held ? 1 : 0);
        return;
    }
    pack_text(packer, fact->load.incarnation);
    pack_text(packer, fact->load.version);
    pack_text(packer, fact->load.loading);
    (void)msgpack_pack_int(packer, fact->load.running);
    (void)msgpack_pack_int(packer, fact->load.slots);
    (void)msgpack_pack_int(packer, fact->load.waiting_tokens);
    (void)msgpack_pack_int(packer, fact->load.prefill_rate);
    (void)msgpack_pack_uint64(packer, fact->load.unshared_tokens);
    (void)msgpack_pack_int(packer, fact->load.total_requests);
}

static void
pack_members(msgpack_packer *packer, const member_message_t *message)
{
    (void)msgpack_pack_array(packer, MEMBERS_FIELDS);
    (void)msgpack_pack_int(packer, PEER_MEMBERS);
    (void)msgpack_pack_array(packer, message->count);
    for (size_t i = 0; i < message->count; i++) {
        pack_member(packer, &message->records[i]);
    }
    (void)msgpack_pack_int(packer, (int)message->kind);
    (void)msgpack_pack_uint64(packer, message->sequence);
    pack_text(packer, message->target);
}

static void
pack_facts(msgpack_packer *packer, const peer_datagram_t *datagram)
{
    (void)msgpack_pack_array(packer, FACTS_FIELDS);
    (void)msgpack_pack_int(packer, PEER_FACTS);
    (void)msgpack_pack_array(packer, datagram->fact_count);
    for (size_t i = 0; i < datagram->fact_count; i++) {
        pack_fact(packer, &datagram->facts[i]);
    }
}

static void
pack_usages(msgpack_packer *packer, const peer_datagram_t *datagram)
{
    (void)msgpack_pack_array(packer, USAGES_FIELDS);
    (void)msgpack_pack_int(packer, PEER_USAGES);
    (void)msgpack_pack_array(packer, datagram->usage_count);
    for (size_t i = 0; i < datagram->usage_count; i++) {
        const peer_usage_t *usage = &datagram->usages[i];
        (void)msgpack_pack_array(packer, USAGE_FIELDS);
        (void)msgpack_pack_uint64(packer, usage->workspace_hash);
        (void)msgpack_pack_uint64(packer, usage->total_spent);
        (void)msgpack_pack_uint64(packer, usage->recent_spent);
    }
    (void)msgpack_pack_uint64(packer, datagram->incarnation);
    (void)msgpack_pack_uint64(packer, datagram->sequence);
}

static void
pack_loads(msgpack_packer *packer, const peer_datagram_t *datagram)
{
    (void)msgpack_pack_array(packer, LOADS_FIELDS);
    (void)msgpack_pack_int(packer, PEER_LOADS);
    (void)msgpack_pack_array(packer, datagram->load_count);
    for (size_t i = 0; i < datagram->load_count; i++) {
        const peer_load_t *load = &datagram->loads[i];
        (void)msgpack_pack_array(packer, SERVER_LOAD_FIELDS);
        (void)msgpack_pack_uint64(packer, load->server_hash);
        (void)msgpack_pack_uint64(packer, load->prefill_tokens);
        (void)msgpack_pack_uint64(packer, load->running);
        (void)msgpack_pack_uint64(packer, load->unshared_tokens);
        (void)msgpack_pack_uint64(packer, load->sent_tokens);
    }
}

static void
pack_signals(msgpack_packer *packer, const peer_datagram_t *datagram)
{
    (void)msgpack_pack_array(packer, SIGNALS_FIELDS);
    (void)msgpack_pack_int(packer, PEER_SIGNALS);
    (void)msgpack_pack_array(packer, datagram->signal_count);
    for (size_t i = 0; i < datagram->signal_count; i++) {
        const peer_signal_t *signal = &datagram->signals[i];
        (void)msgpack_pack_array(packer, SIGNAL_FIELDS);
        (void)msgpack_pack_uint64(packer, signal->server_hash);
        (void)msgpack_pack_uint64(packer, signal->incarnation);
        (void)msgpack_pack_uint64(packer, signal->limit_revision);
        (void)msgpack_pack_int(packer, signal->limit_stated ? 1 : 0);
        (void)msgpack_pack_uint64(packer, signal->limit_milli_per_s);
        (void)msgpack_pack_int(packer, signal->leaving ? 1 : 0);
        (void)msgpack_pack_uint64(packer, signal->brittle_revision);
        (void)msgpack_pack_int(packer, signal->brittle_stated ? 1 : 0);
        (void)msgpack_pack_uint64(packer, signal->brittle_milli_per_s);
        (void)msgpack_pack_uint64(packer, signal->brittle_milli_capacity);
        (void)msgpack_pack_uint64(packer, signal->brittle_hold_ms);
    }
}

static void
pack_parts(msgpack_packer *packer, const peer_datagram_t *datagram)
{
    (void)msgpack_pack_array(packer, PARTS_FIELDS);
    (void)msgpack_pack_int(packer, PEER_PARTS);
    (void)msgpack_pack_array(packer, datagram->part_count);
    for (size_t i = 0; i < datagram->part_count; i++) {
        const peer_part_t *part = &datagram->parts[i];
        (void)msgpack_pack_array(packer, PART_FIELDS);
        (void)msgpack_pack_uint64(packer, part->part);
        (void)msgpack_pack_uint64(packer, part->depth);
        (void)msgpack_pack_uint64(packer, part->fact);
        (void)msgpack_pack_uint64(packer, part->server);
        (void)msgpack_pack_uint64(packer, part->age_ms);
    }
}

static void
pack_origins(msgpack_packer *packer, const peer_datagram_t *datagram)
{
    (void)msgpack_pack_array(packer, ORIGINS_FIELDS);
    (void)msgpack_pack_int(packer, (int)datagram->kind);
    (void)msgpack_pack_array(packer, datagram->origin_count);
    for (size_t i = 0; i < datagram->origin_count; i++) {
        const peer_origin_t *origin = &datagram->origins[i];
        (void)msgpack_pack_array(packer, ORIGIN_FIELDS);
        (void)msgpack_pack_uint64(packer, origin->attempt);
        (void)msgpack_pack_uint64(packer, origin->caller);
        (void)msgpack_pack_uint64(packer, origin->service);
        (void)msgpack_pack_uint64(packer, origin->software);
        (void)msgpack_pack_uint64(packer, origin->lifetime_ms);
    }
}

static void
pack_speeds(msgpack_packer *packer, const peer_datagram_t *datagram)
{
    (void)msgpack_pack_array(packer, SPEEDS_FIELDS);
    (void)msgpack_pack_int(packer, PEER_SPEEDS);
    (void)msgpack_pack_array(packer, datagram->speed_count);
    for (size_t i = 0; i < datagram->speed_count; i++) {
        const peer_speed_t *speed = &datagram->speeds[i];
        (void)msgpack_pack_array(packer, SPEED_FIELDS);
        (void)msgpack_pack_uint64(packer, speed->server_hash);
        (void)msgpack_pack_uint64(packer, speed->incarnation);
        (void)msgpack_pack_uint64(packer, speed->ratio_milli);
        (void)msgpack_pack_uint64(packer, speed->observations);
    }
}

/* Encodes a datagram; returns its length, or 0 if it does not fit. */
size_t
peer_encode(const peer_datagram_t *datagram, const unsigned char *secret,
            unsigned char out[PEER_DATAGRAM_MAX])
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    switch (datagram->kind) {
        case PEER_MEMBERS:
            pack_members(&packer, &datagram->members);
            break;
        case PEER_FACTS:
            pack_facts(&packer, datagram);
            break;
        case PEER_USAGES:
            pack_usages(&packer, datagram);
            break;
        case PEER_LOADS:
            pack_loads(&packer, datagram);
            break;
        case PEER_SIGNALS:
            pack_signals(&packer, datagram);
            break;
        case PEER_PARTS:
            pack_parts(&packer, datagram);
            break;
        case PEER_ORIGINS:
        case PEER_ORIGIN_QUERY:
        case PEER_ORIGIN_RECORDS:
            pack_origins(&packer, datagram);
            break;
        case PEER_SPEEDS:
            pack_speeds(&packer, datagram);
            break;
    }
    size_t len = 0;
    if (buffer.size + PEER_MAC_BYTES <= PEER_DATAGRAM_MAX) {
        len = buffer.size + PEER_MAC_BYTES;
        memcpy(out + PEER_MAC_BYTES, buffer.data, buffer.size);
        (void)crypto_generichash(out, PEER_MAC_BYTES, out + PEER_MAC_BYTES,
                                 buffer.size, secret, 32);
    }
    msgpack_sbuffer_destroy(&buffer);
    return len;
}

static bool
parse_text(const msgpack_object *object, char *out, size_t size)
{
    if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size) {
        return false;
    }
    memcpy(out, object->via.str.ptr, object->via.str.size);
    out[object->via.str.size] = '\0';
    return true;
}

static bool
parse_unsigned(const msgpack_object *object, uint64_t *out)
{
    *out = object->via.u64;
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool
parse_int(const msgpack_object *object, int *out)
{
    *out = (int)object->via.i64;
    return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ||
           object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
}

static bool
parse_member(const msgpack_object *object, member_t *member)
{
    const msgpack_object *fields = object->via.array.ptr;
    int intent;
    int health;
    uint64_t generation;
    memset(member, 0, sizeof(*member));
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size != MEMBER_FIELDS ||
        !parse_text(&fields[0], member->name, sizeof(member->name)) ||
        !parse_text(&fields[1], member->dc, sizeof(member->dc)) ||
        !parse_text(&fields[2], member->peer_addr,
                    sizeof(member->peer_addr)) ||
        !parse_text(&fields[3], member->http_addr,
                    sizeof(member->http_addr)) ||
        !parse_unsigned(&fields[4], &member->incarnation) ||
        !parse_unsigned(&fields[5], &member->version) ||
        !parse_int(&fields[6], &intent) ||
        !parse_unsigned(&fields[7], &generation) ||
        !parse_int(&fields[8], &health) || health < MEMBER_ALIVE ||
        health > MEMBER_DEAD) {
        return false;
    }
    member->health = (member_health_t)health;
    member->intent =
        intent == MEMBER_LEAVING ? MEMBER_LEAVING : MEMBER_SERVING;
    member->config_generation = (int64_t)generation;
    return true;
}

static bool
parse_fact(const msgpack_object *object, peer_fact_t *fact)
{
    const msgpack_object *fields = object->via.array.ptr;
    memset(fact, 0, sizeof(*fact));
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        (object->via.array.size != LOAD_FIELDS &&
         object->via.array.size != CACHE_FIELDS) ||
        !parse_text(&fields[0], fact->backend, sizeof(fact->backend))) {
        return false;
    }
    fact->is_load = object->via.array.size == LOAD_FIELDS;
    if (!fact->is_load) {
        uint64_t prefix_tokens;
        uint64_t part_tokens;
        int held;
        bool valid = parse_unsigned(&fields[1], &fact->key) &&
                     parse_unsigned(&fields[2], &prefix_tokens) &&
                     parse_unsigned(&fields[3], &part_tokens) &&
                     parse_int(&fields[4], &held);
        fact->prefix_tokens = valid ? (uint32_t)prefix_tokens : 0;
        fact->part_tokens = valid ? (uint32_t)part_tokens : 0;
        fact->held = valid && held != 0;
        return valid;
    }
    load_report_t *load = &fact->load;
    uint64_t unshared_tokens;
    if (!parse_unsigned(&fields[8], &unshared_tokens)) {
        return false;
    }
    load->unshared_tokens = (uint32_t)unshared_tokens;
    return parse_text(&fields[1], load->incarnation,
                      sizeof(load->incarnation)) &&
           parse_text(&fields[2], load->version, sizeof(load->version)) &&
           parse_text(&fields[3], load->loading, sizeof(load->loading)) &&
           parse_int(&fields[4], &load->running) &&
           parse_int(&fields[5], &load->slots) &&
           parse_int(&fields[6], &load->waiting_tokens) &&
           parse_int(&fields[7], &load->prefill_rate) &&
           parse_int(&fields[9], &load->total_requests);
}

static bool
parse_count(const msgpack_object *object, uint32_t *out)
{
    uint64_t value;
    bool valid = parse_unsigned(object, &value) && value <= UINT32_MAX;
    *out = valid ? (uint32_t)value : 0;
    return valid;
}

static bool
parse_usage(const msgpack_object *object, peer_usage_t *usage)
{
    const msgpack_object *fields = object->via.array.ptr;
    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == USAGE_FIELDS &&
           parse_unsigned(&fields[0], &usage->workspace_hash) &&
           parse_count(&fields[1], &usage->total_spent) &&
           parse_count(&fields[2], &usage->recent_spent);
}

static bool
parse_server_load(const msgpack_object *object, peer_load_t *load)
{
    const msgpack_object *fields = object->via.array.ptr;
    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == SERVER_LOAD_FIELDS &&
           parse_count(&fields[0], &load->server_hash) &&
           parse_count(&fields[1], &load->prefill_tokens) &&
           parse_count(&fields[2], &load->running) &&
           parse_count(&fields[3], &load->unshared_tokens) &&
           parse_count(&fields[4], &load->sent_tokens);
}

static bool
parse_brittle(const msgpack_object *fields, peer_signal_t *signal)
{
    int stated;
    bool valid = parse_count(&fields[6], &signal->brittle_revision) &&
                 parse_int(&fields[7], &stated) &&
                 parse_unsigned(&fields[8], &signal->brittle_milli_per_s) &&
                 parse_unsigned(&fields[9], &signal->brittle_milli_capacity) &&
                 parse_count(&fields[10], &signal->brittle_hold_ms);
    signal->brittle_stated = valid && stated != 0;
    return valid;
}

static bool
parse_signal(const msgpack_object *object, peer_signal_t *signal)
{
    const msgpack_object *fields = object->via.array.ptr;
    int stated;
    int leaving;
    *signal = (peer_signal_t){0};
    bool valid = object->type == MSGPACK_OBJECT_ARRAY &&
                 (object->via.array.size == SIGNAL_FIELDS ||
                  object->via.array.size == SIGNAL_FIELDS_MIN) &&
                 parse_count(&fields[0], &signal->server_hash) &&
                 parse_count(&fields[1], &signal->incarnation) &&
                 parse_count(&fields[2], &signal->limit_revision) &&
                 parse_int(&fields[3], &stated) &&
                 parse_unsigned(&fields[4], &signal->limit_milli_per_s) &&
                 parse_int(&fields[5], &leaving);
    signal->limit_stated = valid && stated != 0;
    signal->leaving = valid && leaving != 0;
    if (valid && object->via.array.size == SIGNAL_FIELDS) {
        return parse_brittle(fields, signal);
    }
    return valid;
}

static bool
parse_part(const msgpack_object *object, peer_part_t *part)
{
    const msgpack_object *fields = object->via.array.ptr;
    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == PART_FIELDS &&
           parse_unsigned(&fields[0], &part->part) &&
           parse_count(&fields[1], &part->depth) &&
           parse_count(&fields[2], &part->fact) &&
           parse_count(&fields[3], &part->server) &&
           parse_count(&fields[4], &part->age_ms);
}

static bool
parse_origin(const msgpack_object *object, peer_origin_t *origin)
{
    const msgpack_object *fields = object->via.array.ptr;
    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == ORIGIN_FIELDS &&
           parse_unsigned(&fields[0], &origin->attempt) &&
           parse_count(&fields[1], &origin->caller) &&
           parse_unsigned(&fields[2], &origin->service) &&
           parse_unsigned(&fields[3], &origin->software) &&
           parse_count(&fields[4], &origin->lifetime_ms);
}

static bool
parse_speed(const msgpack_object *object, peer_speed_t *speed)
{
    const msgpack_object *fields = object->via.array.ptr;
    return object->type == MSGPACK_OBJECT_ARRAY &&
           object->via.array.size == SPEED_FIELDS &&
           parse_count(&fields[0], &speed->server_hash) &&
           parse_count(&fields[1], &speed->incarnation) &&
           parse_count(&fields[2], &speed->ratio_milli) &&
           parse_count(&fields[3], &speed->observations);
}

/* Decodes one entry of a datagram's list. */
static bool
parse_entry(peer_datagram_t *datagram, const msgpack_object *entry, size_t i)
{
    switch (datagram->kind) {
        case PEER_MEMBERS:
            datagram->members.count = i + 1;
            return i < MEMBER_RECORDS_MAX &&
                   parse_member(entry, &datagram->members.records[i]);
        case PEER_FACTS:
            datagram->fact_count = i + 1;
            return i < PEER_FACTS_MAX &&
                   parse_fact(entry, &datagram->facts[i]);
        case PEER_USAGES:
            datagram->usage_count = i + 1;
            return i < PEER_USAGES_MAX &&
                   parse_usage(entry, &datagram->usages[i]);
        case PEER_LOADS:
            datagram->load_count = i + 1;
            return i < PEER_LOADS_MAX &&
                   parse_server_load(entry, &datagram->loads[i]);
        case PEER_SIGNALS:
            datagram->signal_count = i + 1;
            return i < PEER_SIGNALS_MAX &&
                   parse_signal(entry, &datagram->signals[i]);
        case PEER_PARTS:
            datagram->part_count = i + 1;
            return i < PEER_PARTS_MAX &&
                   parse_part(entry, &datagram->parts[i]);
        case PEER_ORIGINS:
        case PEER_ORIGIN_QUERY:
        case PEER_ORIGIN_RECORDS:
            datagram->origin_count = i + 1;
            return i < PEER_ORIGINS_MAX &&
                   parse_origin(entry, &datagram->origins[i]);
        case PEER_SPEEDS:
            datagram->speed_count = i + 1;
            return i < PEER_SPEEDS_MAX &&
                   parse_speed(entry, &datagram->speeds[i]);
    }
    return false;
}

static int
parse_list(peer_datagram_t *datagram, const msgpack_object *list)
{
    size_t count = list->via.array.size;
    for (size_t i = 0; i < count; i++) {
        if (!parse_entry(datagram, &list->via.array.ptr[i], i)) {
            return -1;
        }
    }
    return 0;
}

/* Empties the list of a datagram's kind. */
static void
clear_list(peer_datagram_t *datagram)
{
    switch (datagram->kind) {
        case PEER_MEMBERS:
            datagram->members.count = 0;
            return;
        case PEER_FACTS:
            datagram->fact_count = 0;
            return;
        case PEER_USAGES:
            datagram->usage_count = 0;
            return;
        case PEER_LOADS:
            datagram->load_count = 0;
            return;
        case PEER_SIGNALS:
            datagram->signal_count = 0;
            return;
        case PEER_PARTS:
            datagram->part_count = 0;
            return;
        case PEER_ORIGINS:
        case PEER_ORIGIN_QUERY:
        case PEER_ORIGIN_RECORDS:
            datagram->origin_count = 0;
            return;
        case PEER_SPEEDS:
            datagram->speed_count = 0;
            return;
    }
}

static bool
parse_member_head(peer_datagram_t *datagram, const msgpack_object *fields)
{
    int kind;
    member_message_t *message = &datagram->members;
    bool valid =
        parse_int(&fields[2], &kind) && kind >= MEMBER_PING &&
        kind <= MEMBER_SYNC &&
        parse_unsigned(&fields[3], &message->sequence) &&
        parse_text(&fields[4], message->target, sizeof(message->target));
    message->kind = valid ? (member_message_kind_t)kind : MEMBER_SYNC;
    return valid;
}

static int
parse_datagram(peer_datagram_t *datagram, const msgpack_object *root)
{
    int kind;
    const msgpack_object *fields = root->via.array.ptr;
    if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 2 ||
        !parse_int(&fields[0], &kind) ||
        fields[1].type != MSGPACK_OBJECT_ARRAY) {
        return -1;
    }
    datagram->kind = (peer_kind_t)kind;
    clear_list(datagram);
    uint32_t size = root->via.array.size;
    bool members = kind == PEER_MEMBERS && size == MEMBERS_FIELDS &&
                   parse_member_head(datagram, fields);
    bool facts = kind == PEER_FACTS && size == FACTS_FIELDS;
    bool usages = kind == PEER_USAGES && size == USAGES_FIELDS &&
                  parse_unsigned(&fields[2], &datagram->incarnation) &&
                  parse_unsigned(&fields[3], &datagram->sequence);
    bool loads = kind == PEER_LOADS && size == LOADS_FIELDS;
    bool signals = kind == PEER_SIGNALS && size == SIGNALS_FIELDS;
    bool parts = kind == PEER_PARTS && size == PARTS_FIELDS;
    bool origins = (kind == PEER_ORIGINS || kind == PEER_ORIGIN_QUERY ||
                    kind == PEER_ORIGIN_RECORDS) &&
                   size == ORIGINS_FIELDS;
    bool speeds = kind == PEER_SPEEDS && size == SPEEDS_FIELDS;
    return members || facts || usages || loads || signals || parts ||
                   origins || speeds
               ? parse_list(datagram, &fields[1])
               : -1;
}

/* Decodes a datagram; -1 if its authentication code is wrong or it is
 * malformed, in which case the caller uses nothing of it. */
int
peer_decode(peer_datagram_t *datagram, const unsigned char *secret,
            const unsigned char *data, size_t len)
{
    unsigned char expected_mac[PEER_MAC_BYTES];
    msgpack_unpacked result;
    if (len <= PEER_MAC_BYTES) {
        return -1;
    }
    (void)crypto_generichash(expected_mac, sizeof(expected_mac),
                             data + PEER_MAC_BYTES, len - PEER_MAC_BYTES,
                             secret, 32);
    if (sodium_memcmp(expected_mac, data, PEER_MAC_BYTES) != 0) {
        return -1;
    }
    msgpack_unpacked_init(&result);
    int status = -1;
    if (msgpack_unpack_next(&result, (const char *)data + PEER_MAC_BYTES,
                            len - PEER_MAC_BYTES,
                            NULL) == MSGPACK_UNPACK_SUCCESS) {
        status = parse_datagram(datagram, &result.data);
    }
    msgpack_unpacked_destroy(&result);
    return status;
}
