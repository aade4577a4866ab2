#include "soak.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

/* The processes of a deployment, the links between them, and what the
 * platform's operator changes. */

/* Ports behind the first one. */
#define PORT_STORE 0
#define PORT_SERVER 20 /* where servers listen */
#define PORT_LINK 40   /* where others reach them */
#define PORT_RELAY                                                           \
    100                 /* four for each: callers, readiness, peers, metrics \
                         */
#define PORT_FRONT 200  /* where callers reach relays */
#define PORT_UPLINK 220 /* where relays reach the store */
/* A daemon that ended is started again after this, ms. */
#define RESTART_MS 300
/* A planned stop must be over within this, ms: the settings' stop_s. */
#define STOP_MS 8000

void
soak_addr(const soak_t *soak, int offset, char out[CS_ADDR_MAX])
{
    (void)snprintf(out, CS_ADDR_MAX, "127.0.0.1:%d", soak->port + offset);
}

/* Tell a broken promise. */
void
soak_broken(soak_t *soak, const char *promise, const char *fmt, ...)
{
    char text[512];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    (void)printf("  BROKEN %s: %s\n", promise, text);
    soak->broken++;
}

static void
on_admin_done(void *arg, const fetch_result_t *result)
{
    (void)arg;
    (void)result;
}

/* Tell the stand-in something, by its own address. */
void
soak_admin(soak_t *soak, const char *path, const char *body)
{
    CLEAN_BUF buf_t call = {0};
    buf_fmt(&call,
            "POST /admin/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n"
            "\r\n%s",
            path, soak->store_addr, strlen(body), body);
    fetch_options_t ask = {.addr = soak->store_addr,
                           .request = &call,
                           .connect_ms = 1000,
                           .total_ms = 3000,
                           .on_done = on_admin_done};
    (void)fetch_start(soak->exchanges, &ask);
}

/* ---- processes ---- */

/* Start a program; its output goes to a file. */
int
process_start(process_t *process)
{
    pid_t pid = fork();
    if (pid < 0) {
        return -1;
    }
    if (pid == 0) {
        int fd = open(process->log, O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC,
                      0644);
        (void)dup2(fd, STDOUT_FILENO);
        (void)dup2(fd, STDERR_FILENO);
        (void)execv(process->argv[0], process->argv);
        _exit(127);
    }
    process->pid = pid;
    process->stopping = false;
    process->paused = false;
    process->starts++;
    process->began_ms = time_mono_ms();
    return 0;
}

/* Only to what this soak has started. */
void
process_signal(const process_t *process, int number)
{
    if (process->pid > 0) {
        (void)kill(process->pid, number);
    }
}

static char *
word(const char *fmt, ...)
{
    char text[512];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    return strdup(text);
}

static void
process_name(soak_t *soak, process_t *process, const char *name)
{
    str_copy(process->name, sizeof(process->name), name);
    (void)snprintf(process->log, sizeof(process->log), "%s/%s.log", soak->dir,
                   name);
}

static int
open_server(soak_t *soak, size_t i, bool engine, err_t *err)
{
    soak_server_t *server = &soak->servers[i];
    char own[CS_ADDR_MAX];
    char link[CS_ADDR_MAX];
    soak_addr(soak, PORT_SERVER + (int)i, own);
    soak_addr(soak, PORT_LINK + (int)i, link);
    server->engine = engine;
    (void)snprintf(server->id, sizeof(server->id), "%c%zu", engine ? 'e' : 'p',
                   i + 1);
    char **argv = soak->platform.argv;
    size_t at = 5 + 2 * i;
    argv[at] = word("--server");
    argv[at + 1] =
        word("%s,%s,%s,dc-%c,%s,%s", server->id, engine ? "llm" : "desk", own,
             "ab"[i % 2], engine ? "engine" : "plain", link);
    server->link = proxy_open(soak->base, link, own, err);
    return server->link != NULL ? 0 : -1;
}

static int
write_settings(const soak_t *soak, size_t i, const char *path, err_t *err)
{
    int port = soak->port + PORT_RELAY + 4 * (int)i;
    FILE *file = fopen(path, "we");
    if (file == NULL) {
        return err_set(err, ERR_SETTINGS, 1, "cannot write %s", path);
    }
    (void)fprintf(file,
                  "[daemon]\nname = relay-%zu\ndc = dc-%c\nmode = relay\n"
                  "[listen]\nhttp = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
                  "peer = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n"
                  "[platform]\nstore = 127.0.0.1:%d\n"
                  "[relay]\nstop_s = 8\nretry_ratio = 0.2\nretry_slack = 50\n"
                  "retry_window_s = 10\nlease_ms = 3000\nweights_ms = 10000\n",
                  i + 1, "ab"[i % 2], port, port + 1, port + 2, port + 3,
                  soak->port + PORT_UPLINK + (int)i);
    return fclose(file) == 0
               ? 0
               : err_set(err, ERR_SETTINGS, 1, "cannot write %s", path);
}

static int
open_relay(soak_t *soak, size_t i, err_t *err)
{
    soak_relay_t *relay = &soak->relays[i];
    char name[CS_NAME_MAX];
    char own[CS_ADDR_MAX];
    char uplink[CS_ADDR_MAX];
    (void)snprintf(name, sizeof(name), "relay-%zu", i + 1);
    process_name(soak, &relay->process, name);
    char *settings = word("%s/%s.ini", soak->dir, name);
    if (write_settings(soak, i, settings, err) != 0) {
        return -1;
    }
    relay->process.argv[0] = word("%s/celeryspoold", soak->build);
    relay->process.argv[1] = word("--settings");
    relay->process.argv[2] = settings;
    soak_addr(soak, PORT_RELAY + 4 * (int)i, own);
    soak_addr(soak, PORT_FRONT + (int)i, relay->front_addr);
    soak_addr(soak, PORT_UPLINK + (int)i, uplink);
    relay->front = proxy_open(soak->base, relay->front_addr, own, err);
    relay->store = relay->front == NULL
                       ? NULL
                       : proxy_open(soak->base, uplink, soak->store_addr, err);
    /* What happens while it starts is no fault of its own. */
    relay->disturbed_ms = time_mono_ms() + 3000;
    return relay->store != NULL ? process_start(&relay->process) : -1;
}

/* Name a configuration, newer than the last.  Routes whose requests may run
 * once have attempts left, so that nothing but their kind keeps them from a
 * second run. */
void
deployment_config(soak_t *soak)
{
    CLEAN_BUF buf_t text = {0};
    bool old_key = soak->old_key_until_ms == 0;
    buf_fmt(
        &text,
        "{\"version\":%lld,\"routes\":["
        "{\"name\":\"read\",\"host\":\"a.example\",\"path_prefix\":\"/read/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":100,"
        "\"attempts\":2,\"priority\":2,\"service\":\"desk\"},"
        "{\"name\":\"strike\",\"host\":\"a.example\",\"path_prefix\":"
        "\"/strike/\",\"kind\":\"non_idempotent\",\"timeout_ms\":800,"
        "\"target_latency_ms\":100,\"attempts\":2,\"priority\":2,\"service\":"
        "\"desk\"},"
        "{\"name\":\"review\",\"host\":\"a.example\",\"path_prefix\":"
        "\"/review/\",\"kind\":\"streaming\",\"timeout_ms\":6000,"
        "\"target_latency_ms\":1000,\"target_gap_ms\":800,\"attempts\":2,"
        "\"resumable\":true,\"priority\":1,\"service\":\"llm\"},"
        "{\"name\":\"flag\",\"host\":\"a.example\",\"path_prefix\":\"/flag/\","
        "\"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":"
        "1000,\"target_gap_ms\":800,\"attempts\":2,\"resumable\":false,"
        "\"priority\":0,\"service\":\"llm\"}],"
        "\"services\":[{\"name\":\"desk\",\"health_check_path\":\"/health\"},"
        "{\"name\":\"llm\",\"health_check_path\":\"/health\",\"engine\":{"
        "\"slots\":8,\"cache_capacity\":90000,\"max_in_flight\":12,"
        "\"models\":[{\"name\":\"m1\"}]}}],"
        "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":65536,"
        "\"header_timeout_ms\":2000,\"idle_timeout_ms\":5000},"
        "\"tenants\":[{\"name\":\"ws1\",\"access_keys\":[\"key1\"%s],"
        "\"isolated\":true},{\"name\":\"ws2\",\"access_keys\":[\"key2\"]}]}",
        (long long)++soak->config_version, old_key ? ",\"old-key\"" : "");
    soak_admin(soak, "object/config/main", buf_text(&text));
}

static void
name_weights(soak_t *soak)
{
    char text[96];
    (void)snprintf(text, sizeof(text), "{\"model\":\"m1\",\"version\":%lld}",
                   (long long)soak->weights);
    soak_admin(soak, "object/versions/m1", text);
}

static bool
answers(const char *addr)
{
    struct sockaddr_in to;
    int len = (int)sizeof(to);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    (void)evutil_parse_sockaddr_port(addr, (struct sockaddr *)&to, &len);
    bool up = connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0;
    (void)close(fd);
    return up;
}

/* Start everything. */
int
deployment_open(soak_t *soak, err_t *err)
{
    size_t engines = soak->server_count - 2;
    soak_addr(soak, PORT_STORE, soak->store_addr);
    process_name(soak, &soak->platform, "platform");
    char **argv = soak->platform.argv;
    argv[0] = word("%s/fake-platform", soak->build);
    argv[1] = word("--store");
    argv[2] = word("%s", soak->store_addr);
    argv[3] = word("--record");
    argv[4] = word("%s", soak->record);
    for (size_t i = 0; i < soak->server_count; i++) {
        if (open_server(soak, i, i < engines, err) != 0) {
            return -1;
        }
    }
    if (process_start(&soak->platform) != 0) {
        return err_set(err, ERR_SETTINGS, 1, "the stand-in cannot start");
    }
    for (int i = 0; i < 100 && !answers(soak->store_addr); i++) {
        time_sleep_ms(50);
    }
    soak->weights = 1;
    deployment_config(soak);
    name_weights(soak);
    for (size_t i = 0; i < soak->relay_count; i++) {
        if (open_relay(soak, i, err) != 0) {
            return -1;
        }
    }
    return 0;
}

/* A process that the soak started has ended. */
void
deployment_child_ended(soak_t *soak, pid_t pid, int status)
{
    if (pid == soak->platform.pid) {
        soak->platform.pid = 0;
        soak_broken(soak, "stand-in", "it ended by itself, status %d", status);
        return;
    }
    for (size_t i = 0; i < soak->relay_count; i++) {
        process_t *process = &soak->relays[i].process;
        if (process->pid != pid) {
            continue;
        }
        process->pid = 0;
        process->began_ms = time_mono_ms();
        if (WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL) {
            return;
        }
        if (!process->stopping || !WIFEXITED(status) ||
            WEXITSTATUS(status) != 0) {
            soak_broken(soak, "a daemon ends only when it is told to",
                        "%s, status %d", process->name, status);
        }
    }
}

/* Start again what ended, and see that stops end. */
void
deployment_tick(soak_t *soak)
{
    int64_t now = time_mono_ms();
    for (size_t i = 0; i < soak->relay_count; i++) {
        soak_relay_t *relay = &soak->relays[i];
        process_t *process = &relay->process;
        if (process->pid == 0 && now - process->began_ms >= RESTART_MS) {
            (void)process_start(process);
        }
        if (process->pid != 0 && process->stopping && !process->paused &&
            now - process->stop_ms > STOP_MS && now > relay->disturbed_ms) {
            soak_broken(soak, "a stop ends in time", "%s", process->name);
            process_signal(process, SIGKILL);
        }
    }
}

/* End what the soak started. */
void
deployment_stop(soak_t *soak)
{
    for (size_t i = 0; i < soak->relay_count; i++) {
        process_signal(&soak->relays[i].process, SIGKILL);
    }
    process_signal(&soak->platform, SIGKILL);
}
