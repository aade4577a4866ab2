#include "base.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define BUF_CAP_MIN 256

static void
buf_reserve(buf_t *buf, size_t more)
{
    size_t need = buf->len + more + 1;
    if (need <= buf->cap) {
        return;
    }
    size_t cap = buf->cap == 0 ? BUF_CAP_MIN : buf->cap;
    while (cap < need) {
        cap *= 2;
    }
    char *data = realloc(buf->data, cap);
    if (data == NULL) {
        abort();
    }
    buf->data = data;
    buf->cap = cap;
}

/* Appends bytes; aborts the process if out of memory. */
void
buf_add(buf_t *buf, const void *data, size_t len)
{
    buf_reserve(buf, len);
    if (len > 0) {
        memcpy(buf->data + buf->len, data, len);
    }
    buf->len += len;
    buf->data[buf->len] = '\0';
}

/* Appends a NUL-terminated text without its NUL. */
void
buf_str(buf_t *buf, const char *text)
{
    buf_add(buf, text, strlen(text));
}

/* Appends formatted text. */
void
buf_fmt(buf_t *buf, const char *fmt, ...)
{
    va_list args;
    va_start(args, fmt);
    int len = vsnprintf(NULL, 0, fmt, args);
    va_end(args);
    if (len <= 0) {
        return;
    }
    buf_reserve(buf, (size_t)len);
    va_start(args, fmt);
    (void)vsnprintf(buf->data + buf->len, (size_t)len + 1, fmt, args);
    va_end(args);
    buf->len += (size_t)len;
}

/* Removes bytes from the front. */
void
buf_consume(buf_t *buf, size_t len)
{
    if (len >= buf->len) {
        buf->len = 0;
    }
    else {
        memmove(buf->data, buf->data + len, buf->len - len);
        buf->len -= len;
    }
    if (buf->data != NULL) {
        buf->data[buf->len] = '\0';
    }
}

/* Frees the memory and leaves an empty buffer that can be reused. */
void
buf_free(buf_t *buf)
{
    free(buf->data);
    *buf = (buf_t){0};
}

/* The content as text; "" for an unused buffer. */
const char *
buf_text(const buf_t *buf)
{
    return buf->data == NULL ? "" : buf->data;
}
