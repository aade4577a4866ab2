#include "../kernel/http.h"

#include <argp.h>
#include <editline/readline.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The operators' tool, a client of the administration API.  It runs the
 * command given as arguments; without one it is interactive on a terminal and
 * otherwise runs the commands on standard input. */

#define TIMEOUT_MS 10000
#define COLUMN_WIDTH_MAX 60
#define COLUMNS_MAX 24

const char *argp_program_version = "celeryspoolctl " CS_VERSION;

typedef struct {
    const char *addr;
    const char *key;
    long long if_generation;
    bool json;
    buf_t line;
} ctl_args_t;

static const struct argp_option options[] = {
    {"addr", 'a', "ADDR", 0, "HTTP address of a daemon", 0},
    {"key", 'k', "KEY", 0, "operator's key (default: $CELERYSPOOL_KEY)", 0},
    {"json", 'j', NULL, 0, "print JSON", 0},
    {"if-generation", 'g', "N", 0,
     "change only if this generation is in force", 0},
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
        case ARGP_KEY_ARG:
            add_word(&args->line, arg);
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
    "interactive; help lists the commands. Exit status: 0 success, 1 command "
    "rejected, 4 daemon unreachable.",
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
    if (rows != NULL && json_array_size(rows) > 0) {
        print_rows(rows);
    }
    else if (rows != NULL) {
        (void)printf("(none)\n");
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

int
main(int argc, char **argv)
{
    ctl_args_t args = {.addr = "127.0.0.1:8101",
                       .key = getenv("CELERYSPOOL_KEY"),
                       .if_generation = -1};
    (void)argp_parse(&arguments, argc, argv, ARGP_IN_ORDER, NULL, &args);
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
