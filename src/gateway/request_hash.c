#include "gateway/request_hash.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "protocol/fleet.h"

#define DIGEST_SIZE 32 /* bytes of SHA-256 */

static EVP_MAC_CTX *
begin(const char *key)
{
	EVP_MAC *mac = EVP_MAC_fetch(NULL, "HMAC", NULL);
	EVP_MAC_CTX *ctx = EVP_MAC_CTX_new(mac);
	char digest[] = "SHA256";
	const OSSL_PARAM params[] = {
		OSSL_PARAM_construct_utf8_string(
		    OSSL_MAC_PARAM_DIGEST, digest, 0),
		OSSL_PARAM_construct_end(),
	};

	EVP_MAC_free(mac);
	if (ctx == NULL || EVP_MAC_init(ctx, (const unsigned char *)key,
			       strlen(key), params) != 1)
		abort();
	return ctx;
}

/* With its length, so that the borders between fields count. */
static void
add(EVP_MAC_CTX *ctx, const void *data, size_t len)
{
	uint64_t size = len;

	if (EVP_MAC_update(ctx, (const unsigned char *)&size, sizeof(size)) !=
		1 ||
	    (len > 0 && EVP_MAC_update(ctx, data, len) != 1))
		abort();
}

static void
add_text(EVP_MAC_CTX *ctx, const char *text)
{
	add(ctx, text, text == NULL ? 0 : strlen(text));
}

uint64_t
request_hash(const struct request_params *p, const struct request_text *t,
    const char *key)
{
	EVP_MAC_CTX *ctx = begin(key);
	unsigned char digest[DIGEST_SIZE];
	size_t len;
	uint64_t hash;

	add_text(ctx, p->model);
	add_text(ctx, p->adapter);
	if (p->part_count > 0 && !p->more_parts) {
		for (unsigned i = 0; i < p->part_count; i++)
			add(ctx, &p->parts[i].id, sizeof(p->parts[i].id));
	} else {
		add(ctx, &t->method, sizeof(t->method));
		add_text(ctx, t->host);
		add_text(ctx, t->path);
		add(ctx, t->body, t->body_len);
	}
	if (EVP_MAC_final(ctx, digest, &len, sizeof(digest)) != 1)
		abort();
	EVP_MAC_CTX_free(ctx);
	memcpy(&hash, digest, sizeof(hash));
	return hash == 0 ? 1 : hash;
}
