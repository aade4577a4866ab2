#include "command.h"

#include <stdlib.h>
#include <string.h>

/* The administration API.  Commands run on a worker thread, since they may
 * wait for the platform. */

#define ROOT_OPERATOR "root"

typedef struct {
    celeryspoold_t *daemon;
    http_req_t *req;
    char operator_name[CS_NAME_MAX];
    char *line;
    int64_t if_generation;
} command_job_t;

/* Set the name of the operator that the request's bearer key belongs to.  Keys
 * of callers are not accepted. */
static bool
authenticate(celeryspoold_t *daemon, http_req_t *req,
             char operator_name[CS_NAME_MAX])
{
    static const char scheme[] = "Bearer ";
    const char *header = http_req_header(req, "Authorization");
    if (header == NULL || strncmp(header, scheme, sizeof(scheme) - 1) != 0) {
        return false;
    }
    char hash[KEY_HASH_LEN + 1];
    char root_hash[KEY_HASH_LEN + 1];
    config_hash_key(header + sizeof(scheme) - 1, hash);
    config_hash_key(daemon->settings.operator_key, root_hash);
    if (strcmp(hash, root_hash) == 0) {
        str_copy(operator_name, CS_NAME_MAX, ROOT_OPERATOR);
        return true;
    }
    config_t *config = daemon_config(daemon);
    const operator_t *found = config_find_operator_by_key(config, hash);
    if (found != NULL) {
        str_copy(operator_name, CS_NAME_MAX, found->name);
    }
    config_release(config);
    return found != NULL;
}

static void
run_command_job(void *arg)
{
    command_job_t *job = arg;
    CLEAN_JSON json_t *reply = NULL;
    int status = 500;
    (void)command_run(job->daemon, job->operator_name, job->line,
                      job->if_generation, &reply, &status);
    http_req_reply_json(job->req, status, reply);
    http_req_unref(job->req);
    free(job->line);
    free(job);
}

static void
submit_command(celeryspoold_t *daemon, http_req_t *req,
               const char *operator_name, const char *line,
               int64_t if_generation)
{
    command_job_t *job = mem_zalloc(sizeof(*job));
    http_req_ref(req);
    job->daemon = daemon;
    job->req = req;
    job->line = strdup(line);
    job->if_generation = if_generation;
    str_copy(job->operator_name, sizeof(job->operator_name), operator_name);
    pool_submit(daemon->pool, run_command_job, job);
}

/* POST /admin/v1/command {"line": "…", "if_generation": N} */
static void
handle_command(celeryspoold_t *daemon, http_req_t *req,
               const char *operator_name)
{
    size_t len;
    const char *text = http_req_body(req, &len);
    CLEAN_JSON json_t *body = json_loadb(text, len, 0, NULL);
    const char *line = json_get_string(body, "line");
    if (line == NULL) {
        http_req_reply_error(req, 400, "bad_request",
                             "the body needs a string field line");
        return;
    }
    submit_command(daemon, req, operator_name, line,
                   json_get_int(body, "if_generation", -1));
}

/* GET /admin/v1/config returns the current document. */
static void
handle_config(celeryspoold_t *daemon, http_req_t *req)
{
    config_t *config = daemon_config(daemon);
    http_req_reply_json(req, 200, config->doc);
    config_release(config);
}

/* GET /admin/v1/events?request=&backend= returns this daemon's newest
 * events. */
static void
handle_events(http_req_t *req)
{
    CLEAN_JSON json_t *events = event_list_recent(
        http_req_query(req, "request"), http_req_query(req, "backend"), 500);
    http_req_reply_json(req, 200, events);
}

/* Handle a request below /admin/v1. */
void
admin_handle(celeryspoold_t *daemon, http_req_t *req)
{
    char operator_name[CS_NAME_MAX];
    const char *path = http_req_path(req);
    const char *method = http_req_method(req);
    if (!authenticate(daemon, req, operator_name)) {
        http_req_reply_error(req, 401, "not_an_operator",
                             "an operator's bearer key is required");
        return;
    }
    if (strcmp(path, "/admin/v1/command") == 0 &&
        strcmp(method, "POST") == 0) {
        handle_command(daemon, req, operator_name);
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
