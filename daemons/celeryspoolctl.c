#include "../kernel/http.h"
#include "../relay/explain-head.h"

#include <argp.h>
#include <editline/readline.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The operators' tool, a client of the administration API.  It runs the
 * command given as arguments; without one it is interactive on a terminal and
 * otherwise runs the commands on standard input.  With --metrics it asks a
 * daemon in relay mode, which has no such API, to explain a request. */

#define TIMEOUT_MS 10000
#define COLUMN_WIDTH_MAX 60
#define COLUMNS_MAX 24
/* Longest file with a head that is read; the daemon's limit is lower. */
#define HEAD_FILE_MAX 65536

/* Options without a short name. */
enum {
    OPTION_METRICS = 256,
    OPTION_HOST,
    OPTION_PATH,
    OPTION_MODEL,
    OPTION_TOKENS,
    OPTION_PARTS,
    OPTION_DEADLINE
};

const char *argp_program_version = "celeryspoolctl " CS_VERSION;

typedef struct {
    const char *addr;
    const char *key;
    long long if_generation;
    bool json;
    buf_t line;
    const char *metrics_addr; /* of a relay; else NULL */
    explain_query_t explain;
    const char *words[2]; /* the first ones of the command */
    unsigned word_count;
} ctl_args_t;

static const struct argp_option options[] = {
    {"addr", 'a', "ADDR", 0, "HTTP address of a daemon", 0},
    {"key", 'k', "KEY", 0, "operator's key (default: $CELERYSPOOL_KEY)", 0},
    {"json", 'j', NULL, 0, "print JSON", 0},
    {"if-generation", 'g', "N", 0,
     "change only if this generation is in force", 0},
    {NULL, 0, NULL, 0, "explain, at a daemon in relay mode:", 1},
    {"metrics", OPTION_METRICS, "ADDR", 0,
     "the daemon's metrics address; --key is then the caller's access key", 1},
    {"host", OPTION_HOST, "HOST", 0, "Host of the request", 1},
    {"path", OPTION_PATH, "PATH", 0, "its path (default: /)", 1},
    {"model", OPTION_MODEL, "M", 0, "its model", 1},
    {"tokens", OPTION_TOKENS, "IN,OUT", 0, "its prompt and output tokens", 1},
    {"parts", OPTION_PARTS, "ID:N,...", 0, "the parts of its prompt", 1},
    {"deadline", OPTION_DEADLINE, "MS", 0, "how long its caller waits", 1},
    {0},
};

static void
add_word(buf_t *line, const char *word)
{
    bool has_blank = strpbrk(word, " \t") != NULL;
    buf_fmt(line, has_blank ? "%s'%s'" : "%s%s", line->len > 0 ? " " : "",
            word);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    ctl_args_t *args = state->input;
    switch (key) {
        case 'a':
            args->addr = arg;
            return 0;
        case 'k':
            args->key = arg;
            return 0;
        case 'j':
            args->json = true;
            return 0;
        case 'g':
            args->if_generation = strtoll(arg, NULL, 10);
            return 0;
        case OPTION_METRICS:
            args->metrics_addr = arg;
            return 0;
        case OPTION_HOST:
            args->explain.host = arg;
            return 0;
        case OPTION_PATH:
            args->explain.path = arg;
            return 0;
        case OPTION_MODEL:
            args->explain.model = arg;
            return 0;
        case OPTION_TOKENS:
            args->explain.tokens = arg;
            return 0;
        case OPTION_PARTS:
            args->explain.parts = arg;
            return 0;
        case OPTION_DEADLINE:
            args->explain.deadline = arg;
            return 0;
        case ARGP_KEY_ARG:
            add_word(&args->line, arg);
            if (args->word_count < 2) {
                args->words[args->word_count] = arg;
            }
            args->word_count++;
            return 0;
        case ARGP_KEY_END:
            if (args->metrics_addr != NULL &&
                (args->word_count == 0 || args->word_count > 2 ||
                 strcmp(args->words[0], "explain") != 0)) {
                argp_error(state, "--metrics is for: explain [FILE]");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options,
    parse_option,
    "[COMMAND…]",
    "Queries and controls a celeryspool deployment.\vWithout a command it is "
    "interactive; help lists the commands. explain --metrics ADDR [FILE] "
    "shows "
    "where a daemon in relay mode would send a request now, given by options "
    "or by a file with its head (- for standard input). Exit status: 0 "
    "success, 1 command rejected, 4 daemon unreachable.",
    NULL,
    NULL,
    NULL};

/* Send one command; the reply, or NULL if the daemon does not answer. */
static json_t *
send_command(const ctl_args_t *args, const char *line, int *status)
{
    char url[CS_ADDR_MAX + 32];
    CLEAN_BUF buf_t header = {0};
    CLEAN_BUF buf_t reply = {0};
    CLEAN_JSON json_t *body =
        json_pack("{s:s,s:I}", "line", line, "if_generation",
                  (json_int_t)args->if_generation);
    CLEAN_TEXT char *text = json_dumps(body, JSON_COMPACT);
    (void)snprintf(url, sizeof(url), "http://%s/admin/v1/command", args->addr);
    buf_fmt(&header, "Authorization: Bearer %s", args->key);
    http_client_request_t call = {.method = "POST",
                                  .url = url,
                                  .body = text,
                                  .body_len = text == NULL ? 0 : strlen(text),
                                  .connect_ms = TIMEOUT_MS,
                                  .total_ms = TIMEOUT_MS};
    call.headers[0] = buf_text(&header);
    call.headers[1] = "Content-Type: application/json";
    if (text == NULL ||
        http_fetch(&call, status, &reply) != HTTP_END_COMPLETE) {
        return NULL;
    }
    return json_loadb(buf_text(&reply), reply.len, 0, NULL);
}

static void
cell_text(const json_t *value, char *out, size_t size)
{
    if (json_is_real(value)) {
        (void)snprintf(out, size, "%.3g", json_real_value(value));
        return;
    }
    if (json_is_string(value)) {
        (void)snprintf(out, size, "%s", json_string_value(value));
        return;
    }
    CLEAN_TEXT char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
    (void)snprintf(out, size, "%s", text == NULL ? "" : text);
}

typedef struct {
    const char *keys[COLUMNS_MAX];
    size_t widths[COLUMNS_MAX];
    size_t count;
} columns_t;

static void
columns_add(columns_t *columns, const char *key)
{
    for (size_t i = 0; i < columns->count; i++) {
        if (strcmp(columns->keys[i], key) == 0) {
            return;
        }
    }
    if (columns->count < COLUMNS_MAX) {
        columns->keys[columns->count] = key;
        columns->widths[columns->count++] = strlen(key);
    }
}

static void
columns_measure(columns_t *columns, const json_t *rows)
{
    size_t i;
    const json_t *row;
    json_array_foreach (rows, i, row) {
        const char *key;
        json_t *value;
        json_object_foreach ((json_t *)row, key, value) {
            columns_add(columns, key);
        }
        for (size_t c = 0; c < columns->count; c++) {
            char text[COLUMN_WIDTH_MAX * 4];
            cell_text(json_object_get(row, columns->keys[c]), text,
                      sizeof(text));
            size_t len = strlen(text);
            len = len > COLUMN_WIDTH_MAX ? COLUMN_WIDTH_MAX : len;
            columns->widths[c] =
                len > columns->widths[c] ? len : columns->widths[c];
        }
    }
}

static void
print_rows(const json_t *rows)
{
    columns_t columns = {0};
    size_t i;
    const json_t *row;
    columns_measure(&columns, rows);
    for (size_t c = 0; c < columns.count; c++) {
        (void)printf("%-*s  ", (int)columns.widths[c], columns.keys[c]);
    }
    (void)printf("\n");
    json_array_foreach (rows, i, row) {
        for (size_t c = 0; c < columns.count; c++) {
            char text[COLUMN_WIDTH_MAX * 4] = "";
            const json_t *value = json_object_get(row, columns.keys[c]);
            if (value != NULL) {
                cell_text(value, text, sizeof(text));
            }
            bool last = c + 1 == columns.count;
            (void)printf(last ? "%-*s" : "%-*s  ",
                         last ? 0 : (int)columns.widths[c], text);
        }
        (void)printf("\n");
    }
}

static void
print_plain_rows(const json_t *rows)
{
    if (json_array_size(rows) > 0) {
        print_rows(rows);
    }
    else {
        (void)printf("(none)\n");
    }
}

static void
print_plain(const json_t *reply)
{
    const char *key;
    json_t *value;
    json_object_foreach ((json_t *)reply, key, value) {
        if (strcmp(key, "rows") == 0) {
            continue;
        }
        char text[512];
        cell_text(value, text, sizeof(text));
        (void)printf("%s: %s\n", key, text);
    }
    const json_t *rows = json_object_get(reply, "rows");
    if (rows != NULL) {
        print_plain_rows(rows);
    }
}

/* The column where a word of the line begins, for the caret below it. */
static size_t
word_column(const char *line, int word)
{
    size_t at = strspn(line, " \t");
    for (int i = 0; i < word && line[at] != '\0'; i++) {
        at += strcspn(line + at, " \t");
        at += strspn(line + at, " \t");
    }
    return at;
}

static void
print_error(const json_t *reply, const char *line)
{
    const json_t *error = json_object_get(reply, "error");
    const char *message = json_get_string(error, "message");
    int word = (int)json_get_int(error, "word", -1);
    if (word >= 0) {
        (void)fprintf(stderr, "%s\n%*s^\n", line, (int)word_column(line, word),
                      "");
    }
    (void)fprintf(stderr, "celeryspoolctl: %s\n",
                  message == NULL ? "command rejected" : message);
    if (json_object_get(reply, "generation") != NULL) {
        (void)fprintf(stderr, "generation in force: %lld\n",
                      (long long)json_get_int(reply, "generation", 0));
    }
    const json_t *changes = json_object_get(reply, "changed_since");
    if (json_array_size(changes) > 0) {
        print_rows(changes);
    }
}

static int
run_line(const ctl_args_t *args, const char *line)
{
    int status = 0;
    CLEAN_JSON json_t *reply = send_command(args, line, &status);
    if (reply == NULL) {
        (void)fprintf(stderr, "celeryspoolctl: no response from %s\n",
                      args->addr);
        return EXIT_UNREACHABLE;
    }
    if (args->json) {
        (void)json_dumpf(reply, stdout, JSON_INDENT(2));
        (void)printf("\n");
    }
    else if (status == 200) {
        print_plain(reply);
    }
    else {
        print_error(reply, line);
    }
    return status == 200 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* The commands, from the help command, to complete the first word. */
static json_t *completion_rows;

static char *
complete_word(const char *text, int state)
{
    static size_t next_row;
    next_row = state == 0 ? 0 : next_row;
    for (; next_row < json_array_size(completion_rows); next_row++) {
        const char *name =
            json_get_string(json_array_get(completion_rows, next_row), "name");
        if (name != NULL && strncmp(name, text, strlen(text)) == 0) {
            next_row++;
            return strdup(name);
        }
    }
    return NULL;
}

static char **
complete(const char *text, int start, int end)
{
    (void)end;
    return start == 0 ? rl_completion_matches(text, complete_word) : NULL;
}

static int
run_interactive(const ctl_args_t *args)
{
    int status = 0;
    char *line;
    CLEAN_JSON json_t *help = send_command(args, "help", &status);
    completion_rows = json_object_get(help, "rows");
    rl_attempted_completion_function = complete;
    using_history();
    while ((line = readline("celeryspool> ")) != NULL) {
        if (strcmp(line, "quit") == 0 || strcmp(line, "exit") == 0) {
            free(line);
            break;
        }
        if (line[strspn(line, " \t")] != '\0') {
            (void)add_history(line);
            status = run_line(args, line);
        }
        free(line);
    }
    return EXIT_SUCCESS;
}

static int
run_script(const ctl_args_t *args)
{
    char line[4096];
    int last_failure = EXIT_SUCCESS;
    while (fgets(line, sizeof(line), stdin) != NULL) {
        line[strcspn(line, "\n")] = '\0';
        if (line[strspn(line, " \t")] == '\0' || line[0] == '#') {
            continue;
        }
        int status = run_line(args, line);
        last_failure = status != EXIT_SUCCESS ? status : last_failure;
    }
    return last_failure;
}

/* ---- explain, at a relay ---- */

static bool
read_head_file(const char *path, buf_t *out)
{
    char piece[4096];
    size_t len;
    bool is_stdin = strcmp(path, "-") == 0;
    FILE *file = is_stdin ? stdin : fopen(path, "r");
    if (file == NULL) {
        (void)fprintf(stderr, "celeryspoolctl: cannot open %s: %m\n", path);
        return false;
    }
    while (out->len <= HEAD_FILE_MAX &&
           (len = fread(piece, 1, sizeof(piece), file)) > 0) {
        buf_add(out, piece, len);
    }
    bool complete = ferror(file) == 0 && out->len <= HEAD_FILE_MAX;
    if (!is_stdin) {
        (void)fclose(file);
    }
    if (!complete) {
        (void)fprintf(
            stderr, "celeryspoolctl: %s is not readable or too long\n", path);
    }
    return complete;
}

static bool
make_head(const ctl_args_t *args, buf_t *out)
{
    explain_error_t error;
    if (args->word_count == 2) {
        return read_head_file(args->words[1], out);
    }
    if (!explain_head_build(&args->explain, out, &error)) {
        (void)fprintf(stderr, "celeryspoolctl: %s: %s\n", error.field,
                      error.message);
        return false;
    }
    return true;
}

static void
print_verdict(const json_t *answer)
{
    const json_t *verdict = json_object_get(answer, "verdict");
    const char *choice = json_get_string(answer, "choice");
    const char *why = json_get_string(verdict, "why");
    const char *decision = json_get_string(verdict, "decision");
    (void)printf("choice: %s\nverdict: %s", choice != NULL ? choice : "-",
                 decision != NULL ? decision : "-");
    if (json_object_get(verdict, "status") != NULL) {
        (void)printf(" %lld", (long long)json_get_int(verdict, "status", 0));
    }
    if (json_get_string(verdict, "server") != NULL) {
        (void)printf(" to %s%s", json_get_string(verdict, "server"),
                     json_get_bool(verdict, "raised") ? ", raised" : "");
    }
    if (why != NULL) {
        (void)printf(", %s", why);
    }
    if (json_object_get(verdict, "wait_max_ms") != NULL) {
        (void)printf(", for at most %lld ms",
                     (long long)json_get_int(verdict, "wait_max_ms", 0));
    }
    const json_t *after = json_object_get(verdict, "retry_after_ms");
    if (after != NULL) {
        (void)printf(", retry after %lld to %lld ms",
                     (long long)json_integer_value(json_array_get(after, 0)),
                     (long long)json_integer_value(json_array_get(after, 1)));
    }
    (void)printf("\n");
}

/* Prints the choice and the verdict, what is known of the request, the usable
 * servers by expected cost and the excluded ones. */
static void
print_explanation(const json_t *answer)
{
    static const char *const lists[] = {"servers", "excluded"};
    const char *key;
    json_t *value;
    print_verdict(answer);
    json_object_foreach ((json_t *)answer, key, value) {
        char text[512];
        if (json_is_array(value) || strcmp(key, "verdict") == 0 ||
            strcmp(key, "choice") == 0) {
            continue;
        }
        cell_text(value, text, sizeof(text));
        (void)printf("%s: %s\n", key, text);
    }
    for (size_t i = 0; i < 2; i++) {
        const json_t *rows = json_object_get(answer, lists[i]);
        if (rows != NULL) {
            (void)printf("\n%s:\n", lists[i]);
            print_plain_rows(rows);
        }
    }
}

static void
print_explain_error(const json_t *answer, int status)
{
    const json_t *error = json_object_get(answer, "error");
    const char *field = json_get_string(error, "field");
    const char *message = json_get_string(error, "message");
    int64_t line = json_get_int(error, "line", 0);
    (void)fprintf(stderr, "celeryspoolctl: ");
    if (message == NULL) {
        (void)fprintf(stderr, "rejected with status %d\n", status);
        return;
    }
    if (line > 0) {
        (void)fprintf(stderr, "line %lld: ", (long long)line);
    }
    (void)fprintf(stderr, "%s: %s\n", field != NULL ? field : "head", message);
}

static int
run_explain(const ctl_args_t *args)
{
    char url[CS_ADDR_MAX + 32];
    int status = 0;
    CLEAN_BUF buf_t head = {0};
    CLEAN_BUF buf_t reply = {0};
    if (!make_head(args, &head)) {
        return EXIT_FAILURE;
    }
    (void)snprintf(url, sizeof(url), "http://%s" EXPLAIN_PATH,
                   args->metrics_addr);
    const http_client_request_t call = {.method = "POST",
                                        .url = url,
                                        .body = buf_text(&head),
                                        .body_len = head.len,
                                        .connect_ms = TIMEOUT_MS,
                                        .total_ms = TIMEOUT_MS};
    if (http_fetch(&call, &status, &reply) != HTTP_END_COMPLETE) {
        (void)fprintf(stderr, "celeryspoolctl: no response from %s\n",
                      args->metrics_addr);
        return EXIT_UNREACHABLE;
    }
    CLEAN_JSON json_t *answer =
        json_loadb(buf_text(&reply), reply.len, 0, NULL);
    if (status != 200 || answer == NULL) {
        print_explain_error(answer, status);
        return EXIT_FAILURE;
    }
    if (args->json) {
        (void)json_dumpf(answer, stdout,
                         JSON_INDENT(2) | JSON_REAL_PRECISION(9));
        (void)printf("\n");
    }
    else {
        print_explanation(answer);
    }
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    ctl_args_t args = {.addr = "127.0.0.1:8101", .if_generation = -1};
    (void)argp_parse(&arguments, argc, argv, ARGP_IN_ORDER, NULL, &args);
    if (args.metrics_addr != NULL) {
        /* The operator's key is not a caller's: the environment is not used.
         */
        args.explain.key = args.key;
        int explained = run_explain(&args);
        buf_free(&args.line);
        return explained;
    }
    if (args.key == NULL) {
        args.key = getenv("CELERYSPOOL_KEY");
    }
    if (args.key == NULL) {
        (void)fprintf(stderr,
                      "celeryspoolctl: --key or $CELERYSPOOL_KEY is "
                      "needed\n");
        return EXIT_FAILURE;
    }
    int status = args.line.len > 0      ? run_line(&args, buf_text(&args.line))
                 : isatty(STDIN_FILENO) ? run_interactive(&args)
                                        : run_script(&args);
    buf_free(&args.line);
    return status;
}
