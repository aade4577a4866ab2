#include "link.h"

#include <argp.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Entry point of the stand-in for the network between hosts and servers.  The
 * command POST /cut {"source": IP, "how": hang|reset|refuse|none} applies to
 * all links: connections from the address hang, are reset, or live on while
 * new ones are reset; "none" ends that.  {"link": N, "how": hang|none} applies
 * to all connections of one link.  {"listen": false} makes all links refuse
 * new connections from any address; true ends that.  {"extra": TEXT, "before":
 * TEXT, "every": N} makes all links send bytes before every Nth answer to
 * requests that begin so, see link_extra_t; it is answered with the number of
 * times that this was done so far.  {"rewrite": TEXT, "with": TEXT} makes all
 * links replace a text in the heads of answers, see link_rewrite_t. */

#define LINKS_MAX 32

typedef struct {
    const char *admin_addr;
    const char *links[LINKS_MAX];
    size_t link_count;
} args_t;

typedef struct {
    link_t *links[LINKS_MAX];
    size_t count;
} network_t;

static const struct argp_option options[] = {
    {"admin", 'a', "IPV4:PORT", 0, "address for commands", 0},
    {"link", 'l', "IPV4:PORT,IPV4:PORT", 0,
     "where a link listens, and its target", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    args_t *args = state->input;
    switch (key) {
        case 'a':
            args->admin_addr = arg;
            return 0;
        case 'l':
            if (args->link_count == LINKS_MAX) {
                argp_error(state, "at most %d links", LINKS_MAX);
            }
            args->links[args->link_count++] = arg;
            return 0;
        case ARGP_KEY_END:
            if (args->admin_addr == NULL) {
                argp_error(state, "--admin is required");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options, parse_option, NULL, "Stand-in for the network to servers.",
    NULL,    NULL,         NULL};

/* Cuts the host at an address off from the targets of all links. */
static int
cut(network_t *network, const char *source, const char *how)
{
    struct in_addr ip;
    if (source == NULL || how == NULL ||
        inet_pton(AF_INET, source, &ip) != 1) {
        return -1;
    }
    bool reset = strcmp(how, "reset") == 0;
    link_state_t state = strcmp(how, "hang") == 0              ? LINK_HOLD_BOTH
                         : reset || strcmp(how, "refuse") == 0 ? LINK_RESET_NEW
                                                               : LINK_OK;
    for (size_t i = 0; i < network->count; i++) {
        link_set_source_state(network->links[i], ip, state);
        if (reset) {
            link_reset_source(network->links[i], ip);
        }
    }
    return 0;
}

/* Holds a link's bytes back in both directions, or ends that. */
static int
hold_link(network_t *network, int64_t link, const char *how)
{
    if (link < 0 || link >= (int64_t)network->count || how == NULL) {
        return -1;
    }
    link_set_state(network->links[link],
                   strcmp(how, "hang") == 0 ? LINK_HOLD_BOTH : LINK_OK);
    return 0;
}

/* Makes all links listen, or refuse new connections. */
static int
set_listening(network_t *network, bool listening)
{
    for (size_t i = 0; i < network->count; i++) {
        if (link_set_listening(network->links[i], listening) != 0) {
            return -1;
        }
    }
    return 0;
}

/* Sets the extra bytes of all links; returns how often some were sent. */
static unsigned
set_extra(network_t *network, const json_t *command)
{
    const char *before = json_get_string(command, "before");
    const link_extra_t extra = {.text = json_get_string(command, "extra"),
                                .before = before != NULL ? before : "",
                                .every = json_get_int(command, "every", 1)};
    unsigned count = 0;
    for (size_t i = 0; i < network->count; i++) {
        link_set_extra(network->links[i], &extra);
        count += link_extra_count(network->links[i]);
    }
    return count;
}

static int
set_rewrite(network_t *network, const char *text, const char *with)
{
    const link_rewrite_t rewrite = {.text = text, .with = with};
    if (text == NULL || with == NULL) {
        return -1;
    }
    for (size_t i = 0; i < network->count; i++) {
        link_set_rewrite(network->links[i], &rewrite);
    }
    return 0;
}

/* Executes a command; -1 if it is invalid or fails. */
static int
execute(network_t *network, const json_t *command)
{
    const char *how = json_get_string(command, "how");
    if (json_object_get(command, "listen") != NULL) {
        return set_listening(network, json_get_bool(command, "listen"));
    }
    if (json_object_get(command, "rewrite") != NULL) {
        return set_rewrite(network, json_get_string(command, "rewrite"),
                           json_get_string(command, "with"));
    }
    if (json_object_get(command, "link") != NULL) {
        return hold_link(network, json_get_int(command, "link", -1), how);
    }
    return cut(network, json_get_string(command, "source"), how);
}

static void
handle(struct evhttp_request *req, void *arg)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);
    CLEAN_JSON json_t *command =
        json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
    if (json_get_string(command, "extra") != NULL) {
        struct evbuffer *out = evbuffer_new();
        (void)evbuffer_add_printf(out, "%u\n", set_extra(arg, command));
        evhttp_send_reply(req, 200, NULL, out);
        evbuffer_free(out);
        return;
    }
    int status = execute(arg, command);
    evhttp_send_reply(req, status == 0 ? 200 : 400, NULL, NULL);
}

static void
on_signal(evutil_socket_t number, short what, void *arg)
{
    (void)number;
    (void)what;
    (void)event_base_loopbreak(arg);
}

static int
open_links(network_t *network, struct event_base *base, const args_t *args,
           err_t *err)
{
    for (size_t i = 0; i < args->link_count; i++) {
        char listen[CS_ADDR_MAX * 2];
        str_copy(listen, sizeof(listen), args->links[i]);
        char *target = strchr(listen, ',');
        if (target == NULL) {
            return err_set(err, ERR_HTTP, 1, "%s is not two addresses",
                           args->links[i]);
        }
        *target++ = '\0';
        network->links[i] = link_open(base, listen, target, err);
        if (network->links[i] == NULL) {
            return -1;
        }
        network->count++;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    args_t args = {0};
    network_t network = {0};
    err_t err = {0};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    (void)signal(SIGPIPE, SIG_IGN);
    struct event_base *base = event_base_new();
    struct event *stop = evsignal_new(base, SIGTERM, on_signal, base);
    (void)event_add(stop, NULL);
    struct evhttp *http = evhttp_new(base);
    evhttp_set_gencb(http, handle, &network);
    const char *colon = strchr(args.admin_addr, ':');
    if (open_links(&network, base, &args, &err) != 0 || colon == NULL ||
        evhttp_bind_socket(http, "127.0.0.1",
                           (uint16_t)strtoul(colon + 1, NULL, 10)) != 0) {
        (void)fprintf(stderr, "fake-link: cannot listen. %s\n", err.text);
        return EXIT_UNREACHABLE;
    }
    (void)event_base_dispatch(base);
    _Exit(EXIT_SUCCESS);
}
