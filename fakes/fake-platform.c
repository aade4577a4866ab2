#include "platform.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Entry point of the platform stand-in.  Commands are sent to the store's
 * address: /admin/store {down, silent, lose, forget, odd_spec, odd_entry,
 * remove_odd_entries, page_objects, cursor},
 * /admin/server/ID {mode, draining, gone, events, gap_ms, limit_per_s, rest_s,
 * leaving, brittle, room, work_ms, pace, first_ms, slots, event_bytes,
 * unread_ms, read_rate, forget, preempt, readmit, hold_fetches, refuse_orders,
 * late_order_ms, memory_used, software, show_runs, mute_reports, end_streams,
 * restart}, /admin/object/KIND/NAME with a specification. */

#define SERVERS_MAX 32
#define ADMIN_STORE "/admin/store"
#define ADMIN_SERVER "/admin/server/"
#define ADMIN_OBJECT "/admin/object/"

typedef struct {
    const char *store_addr;
    const char *record_path;
    const char *servers[SERVERS_MAX];
    size_t server_count;
} args_t;

typedef struct {
    platform_store_t store;
    platform_servers_t servers;
} platform_t;

static const struct argp_option options[] = {
    {"store", 's', "IPV4:PORT", 0, "address of the store", 0},
    {"record", 'r', "FILE", 0,
     "file for a line per request and order executed", 0},
    {"server", 'b',
     "ID,SERVICE,IPV4:PORT,DC,engine|plain|kv[,[IPV4:PORT][,SOFTWARE]]", 0,
     "a backend server or kv store, the address in its entry, and the version "
     "of its software (v1; - for none)",
     0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    args_t *args = state->input;
    switch (key) {
        case 's':
            args->store_addr = arg;
            return 0;
        case 'r':
            args->record_path = arg;
            return 0;
        case 'b':
            if (args->server_count == SERVERS_MAX) {
                argp_error(state, "at most %d servers", SERVERS_MAX);
            }
            args->servers[args->server_count++] = arg;
            return 0;
        case ARGP_KEY_END:
            if (args->store_addr == NULL || args->record_path == NULL) {
                argp_error(state, "--store and --record are required");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option,
    NULL,    "Stand-in for the users' platform: store and servers.",
    NULL,    NULL,
    NULL};

static int
admin_store(platform_store_t *store, const json_t *command)
{
    if (json_object_get(command, "down") != NULL) {
        store->faults.down = json_get_bool(command, "down");
    }
    if (json_object_get(command, "silent") != NULL) {
        store->faults.silent = json_get_bool(command, "silent");
    }
    const char *odd_spec = json_get_string(command, "odd_spec");
    if (odd_spec != NULL) {
        free(store->faults.odd_spec);
        store->faults.odd_spec = odd_spec[0] != '\0' ? strdup(odd_spec) : NULL;
    }
    const json_t *odd_entry = json_object_get(command, "odd_entry");
    const char *cursor = json_get_string(command, "cursor");
    if (json_get_bool(command, "remove_odd_entries")) {
        store_remove_odd_entries(store);
    }
    if (odd_entry != NULL) {
        store_add_odd_entry(store, odd_entry);
    }
    store->faults.page_objects = (size_t)json_get_int(
        command, "page_objects", (int64_t)store->faults.page_objects);
    store->faults.answers_to_drop =
        (int)json_get_int(command, "lose", store->faults.answers_to_drop);
    if (json_get_bool(command, "forget")) {
        store->faults.history_start = store->revision + 1;
        store->revision += 2;
    }
    return cursor != NULL ? store_set_cursor_mode(store, cursor) : 0;
}

static int
admin_server(platform_t *platform, const char *id, const json_t *command)
{
    platform_server_t *server;
    CK_LIST_FOREACH (server, &platform->servers, entry) {
        if (strcmp(server->id, id) == 0) {
            return server_command(server, command);
        }
    }
    return -1;
}

static int
admin_object(platform_store_t *store, const char *path, json_t *spec)
{
    char kind[CS_NAME_MAX * 2];
    str_copy(kind, sizeof(kind), path);
    char *name = strchr(kind, '/');
    if (name == NULL || spec == NULL) {
        return -1;
    }
    *name++ = '\0';
    store_set(store, kind, name, json_incref(spec));
    return 0;
}

static void
handle(struct evhttp_request *req, void *arg)
{
    platform_t *platform = arg;
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    if (path == NULL || strncmp(path, "/admin/", 7) != 0) {
        store_handle(req, &platform->store);
        return;
    }
    CLEAN_JSON json_t *command = parse_body(req);
    int status = 0;
    if (strcmp(path, ADMIN_STORE) == 0) {
        status = admin_store(&platform->store, command);
    }
    else if (strncmp(path, ADMIN_SERVER, strlen(ADMIN_SERVER)) == 0) {
        status = admin_server(platform, path + strlen(ADMIN_SERVER), command);
    }
    else if (strncmp(path, ADMIN_OBJECT, strlen(ADMIN_OBJECT)) == 0) {
        status = admin_object(&platform->store, path + strlen(ADMIN_OBJECT),
                              command);
    }
    CLEAN_JSON json_t *answer = json_pack(
        "{s:I,s:O,s:I}", "revision", (json_int_t)platform->store.revision,
        "list_calls", platform->store.list_calls, "removals",
        (json_int_t)platform->store.removals);
    answer_json(req, status == 0 ? 200 : 404, answer);
}

static void
on_signal(evutil_socket_t number, short what, void *arg)
{
    (void)number;
    (void)what;
    (void)event_base_loopbreak(arg);
}

int
main(int argc, char **argv)
{
    args_t args = {0};
    platform_t *platform = mem_zalloc(sizeof(*platform));
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    (void)signal(SIGPIPE, SIG_IGN);
    FILE *record = fopen(args.record_path, "ae");
    struct event_base *base = event_base_new();
    struct event *stop = evsignal_new(base, SIGTERM, on_signal, base);
    (void)event_add(stop, NULL);
    signals_unblock();
    store_init(&platform->store, base);
    CK_LIST_INIT(&platform->servers);
    struct evhttp *http = evhttp_new(base);
    evhttp_set_gencb(http, handle, platform);
    const char *colon = strchr(args.store_addr, ':');
    if (record == NULL || colon == NULL ||
        evhttp_bind_socket(http, "127.0.0.1",
                           (uint16_t)strtoul(colon + 1, NULL, 10)) != 0) {
        (void)fprintf(stderr, "fake-platform: cannot use %s or %s\n",
                      args.store_addr, args.record_path);
        return EXIT_UNREACHABLE;
    }
    for (size_t i = 0; i < args.server_count; i++) {
        platform_server_t *server = server_open(
            &platform->store, &platform->servers, args.servers[i], record);
        if (server == NULL) {
            (void)fprintf(stderr, "fake-platform: cannot open %s\n",
                          args.servers[i]);
            return EXIT_UNREACHABLE;
        }
        CK_LIST_INSERT_HEAD(&platform->servers, server, entry);
    }
    (void)event_base_dispatch(base);
    (void)fclose(record);
    /* Exits without freeing: requests left unanswered on command are still
     * open. */
    _Exit(EXIT_SUCCESS);
}
