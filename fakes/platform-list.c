#include "platform.h"

#include <stdlib.h>
#include <string.h>

/* The lists of the store: in pages, sorted by name, with entries that another
 * writer has added. */

/* An object of a list. */
typedef struct {
    const char *key;
    size_t key_len;
    char *text; /* in JSON, owned */
} row_t;

typedef struct {
    row_t *rows;
    size_t count;
} rows_t;

static const char *const cursor_names[] = {"order", "empty", "first",
                                           "refuse"};

/* Sets how lists go on after a cursor; -1 if there is no such mode. */
int
store_set_cursor_mode(platform_store_t *store, const char *name)
{
    for (int i = CURSOR_ORDER; i <= CURSOR_REFUSE; i++) {
        if (strcmp(name, cursor_names[i]) == 0) {
            store->faults.cursor_mode = (cursor_mode_t)i;
            return 0;
        }
    }
    return -1;
}

/* Writes bytes as a string in JSON; those that are no text stay. */
static void
add_quoted(buf_t *out, const char *bytes, size_t len)
{
    buf_str(out, "\"");
    for (size_t i = 0; i < len; i++) {
        unsigned char c = (unsigned char)bytes[i];
        if (c < ' ' || c == '"' || c == '\\') {
            buf_fmt(out, "\\u%04x", c);
        }
        else {
            buf_add(out, &bytes[i], 1);
        }
    }
    buf_str(out, "\"");
}

/* Adds an entry: {kind, key, spec}, and name if it is not the key.  The key is
 * percent-encoded, name and spec are JSON as text. */
void
store_add_odd_entry(platform_store_t *store, const json_t *command)
{
    const char *key = json_get_string(command, "key");
    const char *kind = json_get_string(command, "kind");
    const char *name = json_get_string(command, "name");
    const char *spec = json_get_string(command, "spec");
    CLEAN_BUF buf_t quoted = {0};
    odd_entry_t *odd = mem_zalloc(sizeof(*odd));
    odd->key = evhttp_uridecode(key != NULL ? key : "", 0, &odd->key_len);
    add_quoted(&quoted, odd->key, odd->key_len);
    odd->kind = strdup(kind != NULL ? kind : "servers");
    odd->name =
        strdup(name != NULL && name[0] != '\0' ? name : buf_text(&quoted));
    odd->spec = strdup(spec != NULL ? spec : "{}");
    odd->revision = ++store->revision;
    CK_LIST_INSERT_HEAD(&store->faults.odd_entries, odd, entry);
}

void
store_remove_odd_entries(platform_store_t *store)
{
    odd_entry_t *odd;
    while ((odd = CK_LIST_FIRST(&store->faults.odd_entries)) != NULL) {
        CK_LIST_REMOVE(odd, entry);
        free(odd->kind);
        free(odd->key);
        free(odd->name);
        free(odd->spec);
        free(odd);
    }
    store->revision++;
}

static void
rows_free(rows_t *list)
{
    for (size_t i = 0; i < list->count; i++) {
        free(list->rows[i].text);
    }
    free(list->rows);
}

static void
add_row(rows_t *list, const char *key, size_t key_len, char *text)
{
    list->rows = realloc(list->rows, (list->count + 1) * sizeof(*list->rows));
    list->rows[list->count++] =
        (row_t){.key = key, .key_len = key_len, .text = text};
}

static void
add_odd_row(rows_t *list, const odd_entry_t *odd)
{
    buf_t text = {0};
    buf_fmt(&text,
            "{\"metadata\":{\"name\":%s,\"revision\":%lld},"
            "\"specification\":%s}",
            odd->name, (long long)odd->revision, odd->spec);
    add_row(list, odd->key, odd->key_len, text.data);
}

static int
compare_bytes(const char *a, size_t a_len, const char *b, size_t b_len)
{
    int order = memcmp(a, b, a_len < b_len ? a_len : b_len);
    return order != 0 ? order : (a_len > b_len) - (a_len < b_len);
}

static int
compare_rows(const void *a, const void *b)
{
    const row_t *left = a;
    const row_t *right = b;
    return compare_bytes(left->key, left->key_len, right->key, right->key_len);
}

/* Collects all objects of a kind, sorted by name. */
static void
collect_rows(platform_store_t *store, const char *kind, rows_t *list)
{
    const char *name;
    json_t *object;
    const odd_entry_t *odd;
    json_object_foreach (store_find_kind(store, kind), name, object) {
        add_row(list, name, strlen(name), json_dumps(object, JSON_COMPACT));
    }
    CK_LIST_FOREACH (odd, &store->faults.odd_entries, entry) {
        if (strcmp(odd->kind, kind) == 0) {
            add_odd_row(list, odd);
        }
    }
    if (list->count > 0) {
        qsort(list->rows, list->count, sizeof(*list->rows), compare_rows);
    }
}

/* Returns the value of "after" in a query as bytes, to be freed, or NULL. */
static char *
read_cursor(const char *query, size_t *len)
{
    static const char name[] = "after=";
    while (query != NULL && strncmp(query, name, strlen(name)) != 0) {
        query = strchr(query, '&');
        query += query != NULL ? 1 : 0;
    }
    if (query == NULL) {
        return NULL;
    }
    query += strlen(name);
    CLEAN_TEXT char *value = strndup(query, strcspn(query, "&"));
    return evhttp_uridecode(value, 1, len);
}

/* Returns where a list goes on after a cursor; -1 if it is refused. */
static ssize_t
find_row_after(const rows_t *list, cursor_mode_t mode, const char *cursor,
               size_t len)
{
    ssize_t count = (ssize_t)list->count;
    ssize_t at = 0;
    while (at < count &&
           compare_bytes(list->rows[at].key, list->rows[at].key_len, cursor,
                         len) < 0) {
        at++;
    }
    bool found = at < count && list->rows[at].key_len == len &&
                 memcmp(list->rows[at].key, cursor, len) == 0;
    if (found) {
        return at + 1;
    }
    switch (mode) {
        case CURSOR_ORDER:
            return at;
        case CURSOR_EMPTY:
            return count;
        case CURSOR_FIRST:
            return 0;
        case CURSOR_REFUSE:
            break;
    }
    return -1;
}

static void
count_call(platform_store_t *store, const char *kind)
{
    int64_t count = json_get_int(store->list_calls, kind, 0) + 1;
    (void)json_object_set_new(store->list_calls, kind,
                              json_integer((json_int_t)count));
}

/* Answers a page of a list. */
void
store_answer_list(platform_store_t *store, struct evhttp_request *req,
                  const char *kind, const char *query)
{
    size_t len = 0;
    CLEAN_TEXT char *cursor = read_cursor(query, &len);
    CLEAN_BUF buf_t page = {0};
    rows_t list = {0};
    count_call(store, kind);
    collect_rows(store, kind, &list);
    ssize_t begin =
        cursor != NULL
            ? find_row_after(&list, store->faults.cursor_mode, cursor, len)
            : 0;
    if (begin < 0) {
        CLEAN_JSON json_t *error = json_pack("{s:s}", "error", "cursor");
        rows_free(&list);
        answer_json(req, 400, error);
        return;
    }
    size_t end = (size_t)begin + store->faults.page_objects;
    end = end < list.count ? end : list.count;
    buf_str(&page, "{\"items\":[");
    for (size_t i = (size_t)begin; i < end; i++) {
        buf_fmt(&page, "%s%s", i > (size_t)begin ? "," : "",
                list.rows[i].text);
    }
    buf_fmt(&page, "],\"has_more\":%s,\"at\":%lld}",
            end < list.count ? "true" : "false", (long long)store->revision);
    rows_free(&list);
    answer_page(store, req, kind, buf_text(&page));
}
