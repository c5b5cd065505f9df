/* Encodes and decodes the JSON bodies of claim, result and release records. */
#include <bsd/string.h>
#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#include "state/claim.h"

#define Cl_BASE64_LEN(len) (((len) + 2) / 3 * 4)

static json_t *
encode_bytes(const void *bytes, size_t len)
{
    unsigned char *text = malloc(Cl_BASE64_LEN(len) + 1);
    if (text == NULL) {
        return NULL;
    }
    EVP_EncodeBlock(text, bytes, (int)len);
    json_t *value = json_string((const char *)text);
    free(text);
    return value;
}

/* Returns the decoded bytes, which the caller frees, or NULL. */
static void *
decode_bytes(const char *text, size_t *len)
{
    size_t text_len = strlen(text);
    if (text_len % 4 != 0 || text_len > Cl_BASE64_LEN(Cl_BODY_MAX)) {
        return NULL;
    }
    unsigned char *bytes = malloc(text_len + 1);
    if (bytes == NULL) {
        return NULL;
    }
    int got =
        EVP_DecodeBlock(bytes, (const unsigned char *)text, (int)text_len);
    if (got < 0 || *len > (size_t)got) {
        free(bytes);
        return NULL;
    }
    return bytes;
}

static json_t *
key_body(const struct cl_key *key, const struct cl_attempt *attempt)
{
    return json_pack("{s:s, s:s, s:s, s:I, s:I}", "c", key->customer, "k",
                     key->digest, "o", attempt->owner.node, "oi",
                     (json_int_t)attempt->owner.incarnation, "a",
                     (json_int_t)attempt->number);
}

json_t *
Cl_ClaimBody(const struct cl_claim *claim)
{
    json_t *body = key_body(&claim->key, &claim->attempt);
    json_object_set_new(body, "b", json_string(claim->body_digest));
    json_object_set_new(body, "at", json_integer(claim->wall_ms));
    json_object_set_new(body, "x", json_integer(claim->expires_ms));
    return body;
}

/*
 * Returns the body of a result record.  It includes the answer's own body if
 * that has at most 8 KiB; otherwise the field "cut" is set.
 */
json_t *
Cl_ResultBody(const struct cl_key *key, const struct cl_attempt *attempt,
              const struct cl_answer *answer)
{
    json_t *body = key_body(key, attempt);
    json_object_set_new(body, "code", json_integer(answer->code));
    json_object_set_new(body, "type", json_string(answer->type));
    json_object_set_new(body, "digest", json_string(answer->digest));
    if (answer->truncated || answer->len > Cl_BODY_MAX) {
        json_object_set_new(body, "cut", json_true());
    }
    else {
        json_object_set_new(body, "len",
                            json_integer((json_int_t)answer->len));
        json_object_set_new(body, "body",
                            encode_bytes(answer->body, answer->len));
    }
    return body;
}

json_t *
Cl_ReleaseBody(const struct cl_key *key, const struct cl_attempt *attempt)
{
    return key_body(key, attempt);
}

/* Reads the key of a claim, result or release record. */
void
Cl_ReadKey(const json_t *body, struct cl_key *out)
{
    strlcpy(out->customer, Rc_Text(body, "c"), sizeof(out->customer));
    strlcpy(out->digest, Rc_Text(body, "k"), sizeof(out->digest));
}

/* Reads the attempt of a claim, result or release record. */
void
Cl_ReadAttempt(const json_t *body, struct cl_attempt *out)
{
    strlcpy(out->owner.node, Rc_Text(body, "o"), sizeof(out->owner.node));
    out->owner.incarnation = (uint64_t)Rc_Number(body, "oi");
    out->number = (uint64_t)Rc_Number(body, "a");
}

void
Cl_ReadClaim(const json_t *body, struct cl_claim *out)
{
    Cl_ReadKey(body, &out->key);
    Cl_ReadAttempt(body, &out->attempt);
    strlcpy(out->body_digest, Rc_Text(body, "b"), sizeof(out->body_digest));
    out->wall_ms = Rc_Number(body, "at");
    out->expires_ms = Rc_Number(body, "x");
}

/*
 * Reads the answer of a result record.  "bytes" gets the answer's body, which
 * the caller frees, or NULL if none was kept.  Returns false if the record has
 * no answer.
 */
bool
Cl_ReadAnswer(const json_t *body, struct cl_answer *out, void **bytes)
{
    memset(out, 0, sizeof(*out));
    *bytes = NULL;
    out->code = (int)Rc_Number(body, "code");
    if (out->code == 0) {
        return false;
    }
    strlcpy(out->type, Rc_Text(body, "type"), sizeof(out->type));
    strlcpy(out->digest, Rc_Text(body, "digest"), sizeof(out->digest));
    int64_t len = Rc_Number(body, "len");
    if (len >= 0 && !json_is_true(json_object_get(body, "cut"))) {
        out->len = (size_t)len;
        *bytes = decode_bytes(Rc_Text(body, "body"), &out->len);
    }
    out->body = *bytes;
    out->truncated = *bytes == NULL;
    if (out->truncated) {
        out->len = 0;
    }
    return true;
}
