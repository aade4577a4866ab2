#include "command.h"

#include <stdlib.h>
#include <string.h>

/* The administration API.  What it serves goes to a worker, since commands
 * may wait for the platform. */

#define ROOT_OPERATOR "root"

typedef struct {
    celeryspoold_t *daemon;
    http_req_t *req;
    char who[CS_NAME_MAX];
    char *line;
    int64_t if_generation;
} job_t;

/* Who an operator's key stands for; operators' keys are apart from callers'.
 */
static bool
authenticate(celeryspoold_t *daemon, http_req_t *req, char who[CS_NAME_MAX])
{
    static const char scheme[] = "Bearer ";
    const char *header = http_req_header(req, "Authorization");
    if (header == NULL || strncmp(header, scheme, sizeof(scheme) - 1) != 0) {
        return false;
    }
    char hash[KEY_HASH_LEN + 1];
    char root[KEY_HASH_LEN + 1];
    config_key_hash(header + sizeof(scheme) - 1, hash);
    config_key_hash(daemon->settings.operator_key, root);
    if (strcmp(hash, root) == 0) {
        str_copy(who, CS_NAME_MAX, ROOT_OPERATOR);
        return true;
    }
    config_t *config = daemon_config(daemon);
    const operator_t *found = config_operator_by_key(config, hash);
    if (found != NULL) {
        str_copy(who, CS_NAME_MAX, found->name);
    }
    config_release(config);
    return found != NULL;
}

static void
run_job(void *arg)
{
    job_t *job = arg;
    CLEAN_JSON json_t *reply = NULL;
    int status = 500;
    (void)command_run(job->daemon, job->who, job->line, job->if_generation,
                      &reply, &status);
    http_req_reply_json(job->req, status, reply);
    http_req_release(job->req);
    free(job->line);
    free(job);
}

static void
submit(celeryspoold_t *daemon, http_req_t *req, const char *who,
       const char *line, int64_t if_generation)
{
    job_t *job = mem_zalloc(sizeof(*job));
    http_req_hold(req);
    job->daemon = daemon;
    job->req = req;
    job->line = strdup(line);
    job->if_generation = if_generation;
    str_copy(job->who, sizeof(job->who), who);
    pool_submit(daemon->pool, run_job, job);
}

/* POST /admin/v1/command {"line": "…", "if_generation": N} */
static void
handle_command(celeryspoold_t *daemon, http_req_t *req, const char *who)
{
    size_t len;
    const char *text = http_req_body(req, &len);
    CLEAN_JSON json_t *body = json_loadb(text, len, 0, NULL);
    const char *line = json_text(body, "line");
    if (line == NULL) {
        http_req_reply_error(req, 400, "bad_request",
                             "the body needs a text field line");
        return;
    }
    submit(daemon, req, who, line, json_int(body, "if_generation", -1));
}

/* GET /admin/v1/config gives the whole document in force. */
static void
handle_config(celeryspoold_t *daemon, http_req_t *req)
{
    config_t *config = daemon_config(daemon);
    http_req_reply_json(req, 200, config->doc);
    config_release(config);
}

/* GET /admin/v1/events?request=&backend= gives the newest events here. */
static void
handle_events(http_req_t *req)
{
    CLEAN_JSON json_t *events = event_list_recent(
        http_req_query(req, "request"), http_req_query(req, "backend"), 500);
    http_req_reply_json(req, 200, events);
}

/* Serve a path below /admin/v1. */
void
admin_handle(celeryspoold_t *daemon, http_req_t *req)
{
    char who[CS_NAME_MAX];
    const char *path = http_req_path(req);
    const char *method = http_req_method(req);
    if (!authenticate(daemon, req, who)) {
        http_req_reply_error(req, 401, "not_an_operator",
                             "an operator's bearer key is needed");
        return;
    }
    if (strcmp(path, "/admin/v1/command") == 0 &&
        strcmp(method, "POST") == 0) {
        handle_command(daemon, req, who);
    }
    else if (strcmp(path, "/admin/v1/config") == 0 &&
             strcmp(method, "GET") == 0) {
        handle_config(daemon, req);
    }
    else if (strcmp(path, "/admin/v1/events") == 0 &&
             strcmp(method, "GET") == 0) {
        handle_events(req);
    }
    else {
        http_req_reply_error(req, 404, "not_found", "no such path: %.100s",
                             path);
    }
}
