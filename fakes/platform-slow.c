#include "platform.h"

#include <linux/sockios.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Servers whose clients read slowly, and servers that read slowly
 * themselves. */

/* Receive buffer of a server that reads slowly: its kernel must not take whole
 * bodies. */
#define SLOW_RECEIVE_BYTES 32768

/* Returns the bytes of a run's answer that its client's kernel has not
 * acknowledged. */
size_t
server_unread_bytes(const run_t *run)
{
    struct bufferevent *bev = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(run->req));
    int in_kernel = 0;
    (void)ioctl(bufferevent_getfd(bev), SIOCOUTQ, &in_kernel);
    return evbuffer_get_length(bufferevent_get_output(bev)) +
           (size_t)in_kernel;
}

/* Cuts off a stream of which the client has read nothing for too long; returns
 * whether it did. */
bool
server_check_unread(run_t *run)
{
    const platform_server_t *server = run->server;
    size_t unread = server_unread_bytes(run);
    size_t was_read = run->queued > unread ? run->queued - unread : 0;
    int64_t now = time_mono_ms();
    if (was_read > run->most_read || unread == 0) {
        run->most_read = was_read;
        run->read_ms = now;
    }
    if (server->unread_ms == 0 || now - run->read_ms < server->unread_ms) {
        return false;
    }
    (void)fprintf(server->record, "unread server=%s bytes=%zu at_ms=%lld\n",
                  server->id, unread, (long long)time_wall_ms());
    (void)fflush(server->record);
    return true;
}

static struct bufferevent *
make_slow_bufferevent(struct event_base *base, void *arg)
{
    const platform_server_t *server = arg;
    struct bufferevent *bev =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (server->read_rate != NULL) {
        (void)bufferevent_set_rate_limit(bev, server->read_rate);
    }
    return bev;
}

/* Bounds how fast a server reads from connections that are accepted later. */
void
server_set_read_rate(platform_server_t *server, int64_t bytes_per_s)
{
    static const struct timeval tick = {0, 100000};
    int receive_bytes = SLOW_RECEIVE_BYTES;
    size_t per_tick = (size_t)bytes_per_s / 10;
    server->read_rate = ev_token_bucket_cfg_new(
        per_tick, per_tick, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
    evhttp_set_bevcb(server->http, make_slow_bufferevent, server);
    if (server->socket != NULL) {
        (void)setsockopt(evhttp_bound_socket_get_fd(server->socket),
                         SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                         sizeof(receive_bytes));
    }
}
