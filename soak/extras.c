#include "faults.h"

/* Answers that belong to no request, which servers send where the answer to a
 * request on a kept connection is expected. */

/* One in so many requests on kept connections meets such an answer. */
#define EXTRA_EVERY 5

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
        (void)snprintf(
            body, sizeof(body), "{\"extra_answer\":\"%s\",\"extra_every\":%d}",
            answers[i % (sizeof(answers) / sizeof(answers[0]))], EXTRA_EVERY);
        soak_post_admin(soak, path, body);
        disturb_server(soak, &soak->servers[i], soak->end_ms - time_mono_ms());
    }
}
