#include "faults.h"

/* Answers that belong to no request, which servers send where the answer to a
 * request on a kept connection is expected, and copies of rejections, which
 * they send if a request comes again to the connection that they rejected it
 * on.  Entries that name an address twice make requests come again. */

/* One in so many requests on kept connections meets such an answer. */
#define EXTRA_EVERY 5

/* A further entry of some server is written at this interval, and stays for
 * so many of them. */
#define FORMER_ENTRY_MS 400
#define FORMER_ENTRIES 8

/* As JSON text. */
static const char *const answers[] = {
    "HTTP/1.1 503 Service Unavailable\\r\\nX-Celeryspool-Not-Executed: 1\\r\\n"
    "Content-Length: 0\\r\\n\\r\\n",
    "HTTP/1.1 421 Misdirected Request\\r\\nContent-Length: 0\\r\\n\\r\\n",
    "HTTP/1.1 200 OK\\r\\nX-Celeryspool-Server-Signature: sig.x\\r\\n"
    "Content-Length: 5\\r\\n\\r\\nwrong",
    "HTTP/1.1 503 Service Unavailable\\r\\nX-Celeryspool-Not-Executed: 1\\r\\n"
    "X-Rest: ",
    "HTTP/1.1 503 Service Unavailable\\r\\nX-Celeryspool-Attempt-Id: "
    "other\\r\\n"
    "X-Celeryspool-Not-Executed: 1\\r\\nContent-Length: 0\\r\\n\\r\\n"};

/* Has each server send one kind of such answers. */
void
extras_start(soak_t *soak)
{
    for (size_t i = 0; soak->extras && i < soak->server_count; i++) {
        char path[CS_NAME_MAX * 2];
        char body[512];
        (void)snprintf(path, sizeof(path), "server/%s", soak->servers[i].id);
        (void)snprintf(body, sizeof(body),
                       "{\"extra_answer\":\"%s\",\"extra_every\":%d,"
                       "\"copy_rejections\":true}",
                       answers[i % (sizeof(answers) / sizeof(answers[0]))],
                       EXTRA_EVERY);
        soak_post_admin(soak, path, body);
        disturb_server(soak, &soak->servers[i], soak->end_ms - time_mono_ms());
    }
}

static void
set_former_entry(soak_t *soak, size_t server, const char *command,
                 unsigned number)
{
    char path[CS_NAME_MAX * 2];
    char body[128];
    (void)snprintf(path, sizeof(path), "server/%s", soak->servers[server].id);
    (void)snprintf(body, sizeof(body), "{\"%s\":\"former-%u\"}", command,
                   number);
    soak_post_admin(soak, path, body);
}

/* Writes the next further entry and removes the oldest. */
void
extras_tick(soak_t *soak)
{
    static int64_t written_ms;
    static unsigned written;
    static size_t servers[FORMER_ENTRIES]; /* whose entries are written */
    int64_t now = time_mono_ms();
    if (!soak->extras || now - written_ms < FORMER_ENTRY_MS ||
        now >= soak->faults_end_ms) {
        return;
    }
    size_t *server = &servers[written % FORMER_ENTRIES];
    written_ms = now;
    if (written >= FORMER_ENTRIES) {
        set_former_entry(soak, *server, "former_entry_gone",
                         written - FORMER_ENTRIES);
    }
    *server = written % soak->server_count;
    set_former_entry(soak, *server, "former_entry", written);
    written++;
}
