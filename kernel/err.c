#include "base.h"

#include <stdarg.h>
#include <string.h>

/* Fill the error, which may be NULL, and return -1 to be passed on. */
int
err_set(err_t *err, err_layer_t layer, int code, const char *fmt, ...)
{
    if (err == NULL) {
        return -1;
    }
    err->layer = layer;
    err->code = code;
    va_list args;
    va_start(args, fmt);
    (void)vsnprintf(err->text, sizeof(err->text), fmt, args);
    va_end(args);
    return -1;
}

/* Wrap an error of a lower layer: the new text is the given one, which says
 * what failed in this layer, and the text of the lower error.  Returns -1. */
int
err_wrap(err_t *err, err_layer_t layer, int code, const char *text)
{
    if (err == NULL) {
        return -1;
    }
    char cause[sizeof(err->text)];
    memcpy(cause, err->text, sizeof(cause));
    return err_set(err, layer, code, "%.100s: %.200s", text, cause);
}

/* The name of a layer in responses and logs. */
const char *
err_layer_name(err_layer_t layer)
{
    switch (layer) {
        case ERR_SETTINGS:
            return "settings";
        case ERR_HTTP:
            return "http";
        case ERR_STORE:
            return "store";
        case ERR_CONFIG:
            return "config";
        case ERR_CLAIM:
            return "claim";
        case ERR_PEER:
            return "peer";
        case ERR_CALL:
            return "call";
        case ERR_COMMAND:
            return "command";
        case ERR_NONE:
            break;
    }
    return "none";
}
