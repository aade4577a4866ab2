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

/* The processes of a deployment, the links between them, and the changes that
 * the platform's operator makes. */

/* Offsets from the first port. */
#define PORT_STORE 0
#define PORT_SERVER 20       /* servers listen here */
#define PORT_SERVER_LINK 40  /* relays reach servers here */
#define PORT_CALLER_LINK 200 /* callers reach relays here */
#define PORT_STORE_LINK 220  /* relays reach the store here */
/* Relays open their connections from the loopback addresses from this one on.
 */
#define FIRST_SOURCE 11
/* A daemon that exited is restarted after this time. */
#define RESTART_DELAY_MS 300
/* A graceful shutdown must end within this time: stop_s of the settings. */
#define STOP_TIMEOUT_MS 8000
/* Targets of streams.  Engines admit by priority while the urgent one has the
 * shorter target. */
#define STREAM_TARGET_MS 1000
#define URGENT_TARGET_MS 250

void
soak_addr(const soak_t *soak, int offset, char out[CS_ADDR_MAX])
{
    (void)snprintf(out, CS_ADDR_MAX, "127.0.0.1:%d",
                   soak->first_port + offset);
}

/* Reports and counts a violated guarantee. */
void
soak_report_violation(soak_t *soak, const char *guarantee, const char *fmt,
                      ...)
{
    char text[512];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    (void)printf("  VIOLATED %s: %s\n", guarantee, text);
    soak->violations++;
}

static void
on_admin_done(void *arg, const fetch_result_t *result)
{
    (void)arg;
    (void)result;
}

/* Sends a command to the stand-in of the platform, without a proxy. */
void
soak_post_admin(soak_t *soak, const char *path, const char *body)
{
    CLEAN_BUF buf_t call = {0};
    buf_fmt(&call,
            "POST /admin/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n"
            "\r\n%s",
            path, soak->store_addr, strlen(body), body);
    fetch_options_t options = {.addr = soak->store_addr,
                               .request = &call,
                               .connect_ms = 1000,
                               .total_ms = 3000,
                               .on_done = on_admin_done};
    (void)fetch_start(soak->exchanges, &options);
}

/* ---- processes ---- */

/* Starts a program with its output appended to its log file.  Signals to it
 * wait until the program unblocks them. */
int
process_start(process_t *process)
{
    signals_block();
    pid_t pid = fork();
    if (pid != 0) {
        signals_unblock();
    }
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
    process->state_changed_ms = time_mono_ms();
    return 0;
}

/* Signals only a process that this soak has started. */
void
process_signal(const process_t *process, int number)
{
    if (process->pid > 0) {
        (void)kill(process->pid, number);
    }
}

char *
format_string(const char *fmt, ...)
{
    char text[512];
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    return strdup(text);
}

static void
process_set_name(soak_t *soak, process_t *process, const char *name)
{
    str_copy(process->name, sizeof(process->name), name);
    (void)snprintf(process->log, sizeof(process->log), "%s/%s.log", soak->dir,
                   name);
}

static int
open_server(soak_t *soak, size_t i, bool engine, err_t *err)
{
    soak_server_t *server = &soak->servers[i];
    char listen_addr[CS_ADDR_MAX];
    char link_addr[CS_ADDR_MAX];
    soak_addr(soak, PORT_SERVER + (int)i, listen_addr);
    soak_addr(soak, PORT_SERVER_LINK + (int)i, link_addr);
    server->is_engine = engine;
    (void)snprintf(server->id, sizeof(server->id), "%c%zu", engine ? 'e' : 'p',
                   i + 1);
    if (engine && soak->versions) {
        (void)snprintf(server->version, sizeof(server->version), "v%zu",
                       1 + i % 2);
    }
    char **argv = soak->platform.argv;
    size_t arg = 5 + 2 * i;
    argv[arg] = format_string("--server");
    argv[arg + 1] = format_string(
        "%s,%s,%s,dc-%c,%s,%s%s%s", server->id, engine ? "llm" : "desk",
        listen_addr, "ab"[i % 2], engine ? "engine" : "plain", link_addr,
        server->version[0] != '\0' ? "," : "", server->version);
    server->link = link_open(soak->base, link_addr, listen_addr, err);
    return server->link != NULL ? 0 : -1;
}

static int
write_settings(const soak_t *soak, size_t i, const char *path, err_t *err)
{
    int port = soak->first_port + PORT_RELAY + PORTS_PER_RELAY * (int)i;
    FILE *file = fopen(path, "we");
    if (file == NULL) {
        return err_set(err, ERR_SETTINGS, 1, "cannot write %s", path);
    }
    (void)fprintf(file,
                  "[daemon]\nname = relay-%zu\ndc = dc-%c\nmode = relay\n"
                  "[listen]\nhttp = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
                  "peer = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n"
                  "source = 127.0.0.%zu\n"
                  "[platform]\nstore = 127.0.0.1:%d\n"
                  "[relay]\nstop_s = 8\nretry_ratio = 0.2\nretry_slack = 50\n"
                  "retry_window_s = 10\nlease_ms = 3000\nweights_ms = 10000\n"
                  "memory_mb = 120\n",
                  i + 1, "ab"[i % 2], port, port + 1, port + 2, port + 3,
                  FIRST_SOURCE + i,
                  soak->first_port + PORT_STORE_LINK + (int)i);
    return fclose(file) == 0
               ? 0
               : err_set(err, ERR_SETTINGS, 1, "cannot write %s", path);
}

static int
open_relay(soak_t *soak, size_t i, err_t *err)
{
    soak_relay_t *relay = &soak->relays[i];
    char name[CS_NAME_MAX];
    char listen_addr[CS_ADDR_MAX];
    char store_link_addr[CS_ADDR_MAX];
    (void)snprintf(name, sizeof(name), "relay-%zu", i + 1);
    process_set_name(soak, &relay->process, name);
    relay->source.s_addr =
        htonl(INADDR_LOOPBACK - 1 + FIRST_SOURCE + (uint32_t)i);
    char *settings = format_string("%s/%s.ini", soak->dir, name);
    if (write_settings(soak, i, settings, err) != 0) {
        return -1;
    }
    relay->process.argv[0] = format_string("%s/celeryspoold", soak->build);
    relay->process.argv[1] = format_string("--settings");
    relay->process.argv[2] = settings;
    soak_addr(soak, PORT_RELAY + PORTS_PER_RELAY * (int)i, listen_addr);
    soak_addr(soak, PORT_CALLER_LINK + (int)i, relay->caller_addr);
    soak_addr(soak, PORT_STORE_LINK + (int)i, store_link_addr);
    relay->caller_link =
        link_open(soak->base, relay->caller_addr, listen_addr, err);
    relay->store_link =
        relay->caller_link == NULL
            ? NULL
            : link_open(soak->base, store_link_addr, soak->store_addr, err);
    /* While it starts, the relay counts as disturbed. */
    relay->disturbed_until_ms = time_mono_ms() + 3000;
    return relay->store_link != NULL ? process_start(&relay->process) : -1;
}

/* Publishes the next version of the configuration.  Routes whose requests may
 * run only once have two attempts, so that only their kind prevents a second
 * run.  With several software versions the route of streams also changes its
 * name and how its host name is spelled. */
void
deployment_publish_config(soak_t *soak)
{
    CLEAN_BUF buf_t text = {0};
    bool old_key = soak->old_key_removed_ms == 0;
    soak->config_version++;
    bool renamed = soak->versions && soak->config_version % 2 == 1;
    bool respelled = soak->versions && soak->config_version / 2 % 2 == 1;
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
        "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":"
        "\"/review/\",\"kind\":\"streaming\",\"timeout_ms\":%d,"
        "\"target_latency_ms\":1000,\"target_gap_ms\":800,\"attempts\":2,"
        "\"resumable\":true,\"priority\":1,\"service\":\"llm\"},"
        "{\"name\":\"flag\",\"host\":\"a.example\",\"path_prefix\":\"/flag/\","
        "\"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":"
        "%d,\"target_gap_ms\":800,\"attempts\":2,\"resumable\":false,"
        "\"priority\":0,\"service\":\"llm\"}],"
        "\"services\":[{\"name\":\"desk\",\"health_check_path\":\"/health\"},"
        "{\"name\":\"llm\",\"health_check_path\":\"/health\",\"engine\":{"
        "\"slots\":8,\"cache_capacity\":90000,\"max_in_flight\":12,"
        "\"models\":[{\"name\":\"m1\"}]}}],"
        "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":65536,"
        "\"header_timeout_ms\":2000,\"idle_timeout_ms\":5000},"
        "\"tenants\":[{\"name\":\"ws1\",\"access_keys\":[\"key1\"%s],"
        "\"isolated\":true},{\"name\":\"ws2\",\"access_keys\":[\"key2\"]}]}",
        (long long)soak->config_version, renamed ? "reviews" : "review",
        respelled ? "A.Example" : "a.example",
        (soak->planned || soak->versions) && soak->config_version % 2 == 0
            ? 5000
            : 6000,
        soak->priorities && soak->config_version % 2 == 1 ? URGENT_TARGET_MS
                                                          : STREAM_TARGET_MS,
        old_key ? ",\"old-key\"" : "");
    soak_post_admin(soak, "object/config/main", buf_text(&text));
}

static void
publish_weights(soak_t *soak)
{
    char text[96];
    (void)snprintf(text, sizeof(text), "{\"model\":\"m1\",\"version\":%lld}",
                   (long long)soak->weights);
    soak_post_admin(soak, "object/versions/m1", text);
}

static bool
accepts_connections(const char *addr)
{
    struct sockaddr_in to;
    int len = (int)sizeof(to);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    (void)evutil_parse_sockaddr_port(addr, (struct sockaddr *)&to, &len);
    bool up = connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0;
    (void)close(fd);
    return up;
}

/* Starts the stand-ins, the links and the relays. */
int
deployment_open(soak_t *soak, err_t *err)
{
    size_t engines = soak->server_count - PLAIN_SERVERS;
    soak_addr(soak, PORT_STORE, soak->store_addr);
    process_set_name(soak, &soak->platform, "platform");
    char **argv = soak->platform.argv;
    argv[0] = format_string("%s/fake-platform", soak->build);
    argv[1] = format_string("--store");
    argv[2] = format_string("%s", soak->store_addr);
    argv[3] = format_string("--record");
    argv[4] = format_string("%s", soak->record_path);
    for (size_t i = 0; i < soak->server_count; i++) {
        if (open_server(soak, i, i < engines, err) != 0) {
            return -1;
        }
    }
    if (process_start(&soak->platform) != 0) {
        return err_set(err, ERR_SETTINGS, 1, "cannot start the stand-in");
    }
    for (int i = 0; i < 100 && !accepts_connections(soak->store_addr); i++) {
        time_sleep_ms(50);
    }
    soak->weights = 1;
    if (soak->versions) {
        versions_open(soak);
    }
    deployment_publish_config(soak);
    publish_weights(soak);
    for (size_t i = 0; i < soak->relay_count; i++) {
        if (open_relay(soak, i, err) != 0) {
            return -1;
        }
    }
    return 0;
}

/* Handles the exit of a process that the soak started. */
void
deployment_child_exited(soak_t *soak, pid_t pid, int status)
{
    if (pid == soak->platform.pid) {
        soak->platform.pid = 0;
        soak_report_violation(soak, "the stand-in keeps running", "status %d",
                              status);
        return;
    }
    for (size_t i = 0; i < soak->relay_count; i++) {
        process_t *process = &soak->relays[i].process;
        if (process->pid != pid) {
            continue;
        }
        process->pid = 0;
        process->state_changed_ms = time_mono_ms();
        returns_relay_exited(soak, i);
        if (WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL) {
            return;
        }
        if (!process->stopping || !WIFEXITED(status) ||
            WEXITSTATUS(status) != 0) {
            soak_report_violation(soak, "a daemon exits only when asked to",
                                  "%s, status %d", process->name, status);
        }
    }
}

/* Restarts daemons that exited and checks that shutdowns end in time. */
void
deployment_tick(soak_t *soak)
{
    int64_t now = time_mono_ms();
    for (size_t i = 0; i < soak->relay_count; i++) {
        soak_relay_t *relay = &soak->relays[i];
        process_t *process = &relay->process;
        if (process->pid == 0 &&
            now - process->state_changed_ms >= RESTART_DELAY_MS) {
            (void)process_start(process);
        }
        if (process->pid != 0 && process->stopping && !process->paused &&
            now - process->stop_requested_ms > STOP_TIMEOUT_MS &&
            now > relay->disturbed_until_ms) {
            soak_report_violation(soak, "a graceful shutdown ends in time",
                                  "%s", process->name);
            process_signal(process, SIGKILL);
        }
    }
}

/* Kills the processes that the soak started. */
void
deployment_stop(soak_t *soak)
{
    for (size_t i = 0; i < soak->relay_count; i++) {
        process_signal(&soak->relays[i].process, SIGKILL);
    }
    process_signal(&soak->platform, SIGKILL);
}
