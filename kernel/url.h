#ifndef CELERYSPOOL_URL_H
#define CELERYSPOOL_URL_H

/* Percent-encoding in URLs (RFC 3986). */

#include "base.h"

size_t url_char_len(const char *text, size_t len);
char *url_unescape(const char *text, size_t len, bool plus_is_space);

#endif
