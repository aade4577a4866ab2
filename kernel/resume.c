#include "tables.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Resume tokens.  The state of a stream is kept by its caller: each event's id
 * is a sealed token and an offset, with which any daemon can resume the stream
 * if the one that served it fails. */

#define MAC_BYTES 16
#define RAW_BYTES_MAX 400
#define BASE64_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

static void
mac(unsigned char out[MAC_BYTES], const unsigned char *secret,
    const char *purpose, const void *data, size_t len)
{
    crypto_generichash_state state;
    (void)crypto_generichash_init(&state, secret, 32, MAC_BYTES);
    (void)crypto_generichash_update(&state, (const unsigned char *)purpose,
                                    strlen(purpose) + 1);
    (void)crypto_generichash_update(&state, data, len);
    (void)crypto_generichash_final(&state, out, MAC_BYTES);
}

/* The salt that separates the engines' prefix caches by workspace and
 * model.  It is derived from the deployment's secret, so that no caller can
 * guess it. */
void
cache_salt_derive(const unsigned char *secret, const char *workspace,
                  const char *model, char out[CS_ID_LEN + 1])
{
    unsigned char raw[MAC_BYTES];
    char text[CS_NAME_MAX * 2 + 2];
    int len = snprintf(text, sizeof(text), "%s/%s", workspace, model);
    mac(raw, secret, "salt", text, (size_t)len);
    (void)sodium_bin2hex(out, CS_ID_LEN + 1, raw, sizeof(raw));
}

/* Seal the identity of a stream into a token, to which the caller of this
 * function appends ".OFFSET". */
void
resume_seal(const resume_t *resume, const unsigned char *secret,
            char out[RESUME_TOKEN_MAX])
{
    unsigned char raw[RAW_BYTES_MAX + MAC_BYTES];
    int len =
        snprintf((char *)raw + MAC_BYTES, RAW_BYTES_MAX,
                 "%s\n%s\n%s\n%s\n%s\n%016llx", resume->workspace,
                 resume->backend, resume->incarnation, resume->stream,
                 resume->version, (unsigned long long)resume->prompt_hash);
    mac(raw, secret, "resume", raw + MAC_BYTES, (size_t)len);
    (void)sodium_bin2base64(out, RESUME_TOKEN_MAX, raw,
                            (size_t)len + MAC_BYTES, BASE64_VARIANT);
}

static bool
next_line(char **rest, char *out, size_t size)
{
    char *line = strsep(rest, "\n");
    if (line == NULL || strlen(line) >= size) {
        return false;
    }
    str_copy(out, size, line);
    return true;
}

static bool
parse_token(resume_t *resume, char *text)
{
    char hash_text[17];
    char *rest = text;
    if (!next_line(&rest, resume->workspace, sizeof(resume->workspace)) ||
        !next_line(&rest, resume->backend, sizeof(resume->backend)) ||
        !next_line(&rest, resume->incarnation, sizeof(resume->incarnation)) ||
        !next_line(&rest, resume->stream, sizeof(resume->stream)) ||
        !next_line(&rest, resume->version, sizeof(resume->version)) ||
        !next_line(&rest, hash_text, sizeof(hash_text))) {
        return false;
    }
    resume->prompt_hash = strtoull(hash_text, NULL, 16);
    return true;
}

/* Verifies and decodes "TOKEN.OFFSET"; fails if the MAC does not match: the
 * token was changed or made with another key.  The MAC does not cover the
 * offset. */
int
resume_open(resume_t *resume, const unsigned char *secret, const char *text,
            uint32_t *offset, err_t *err)
{
    unsigned char raw[RAW_BYTES_MAX + MAC_BYTES + 1];
    unsigned char expected[MAC_BYTES];
    size_t len = 0;
    const char *dot = strrchr(text, '.');
    char *end;
    if (dot == NULL) {
        return err_set(err, ERR_CALL, 400, "Last-Event-ID has no offset");
    }
    unsigned long parsed_offset = strtoul(dot + 1, &end, 10);
    if (*end != '\0' || end == dot + 1 || parsed_offset > UINT32_MAX) {
        return err_set(err, ERR_CALL, 400, "Last-Event-ID has a bad offset");
    }
    *offset = (uint32_t)parsed_offset;
    if (sodium_base642bin(raw, sizeof(raw) - 1, text, (size_t)(dot - text),
                          NULL, &len, NULL, BASE64_VARIANT) != 0 ||
        len <= MAC_BYTES) {
        return err_set(err, ERR_CALL, 400, "Last-Event-ID is malformed");
    }
    mac(expected, secret, "resume", raw + MAC_BYTES, len - MAC_BYTES);
    raw[len] = '\0';
    if (sodium_memcmp(expected, raw, MAC_BYTES) != 0 ||
        !parse_token(resume, (char *)raw + MAC_BYTES)) {
        return err_set(err, ERR_CALL, 400, "Last-Event-ID is not ours");
    }
    return 0;
}
