#include "common/keyed_hash.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#define DIGEST_SIZE 32 /* bytes of SHA-256 */

struct keyed_hash {
	EVP_MAC_CTX *ctx;
};

struct keyed_hash *
keyed_hash_begin(const char *key)
{
	struct keyed_hash *h = calloc(1, sizeof(*h));
	EVP_MAC *mac = EVP_MAC_fetch(NULL, "HMAC", NULL);
	char digest[] = "SHA256";
	const OSSL_PARAM params[] = {
		OSSL_PARAM_construct_utf8_string(
		    OSSL_MAC_PARAM_DIGEST, digest, 0),
		OSSL_PARAM_construct_end(),
	};

	if (h == NULL || mac == NULL)
		abort();
	h->ctx = EVP_MAC_CTX_new(mac);
	EVP_MAC_free(mac);
	if (h->ctx == NULL || EVP_MAC_init(h->ctx, (const unsigned char *)key,
				  strlen(key), params) != 1)
		abort();
	return h;
}

void
keyed_hash_add(struct keyed_hash *h, const void *data, size_t len)
{
	uint64_t size = len;

	if (EVP_MAC_update(
		h->ctx, (const unsigned char *)&size, sizeof(size)) != 1 ||
	    (len > 0 && EVP_MAC_update(h->ctx, data, len) != 1))
		abort();
}

void
keyed_hash_add_text(struct keyed_hash *h, const char *text)
{
	keyed_hash_add(h, text, text == NULL ? 0 : strlen(text));
}

uint64_t
keyed_hash_end(struct keyed_hash *h)
{
	unsigned char digest[DIGEST_SIZE];
	size_t len;
	uint64_t hash;

	if (EVP_MAC_final(h->ctx, digest, &len, sizeof(digest)) != 1)
		abort();
	EVP_MAC_CTX_free(h->ctx);
	free(h);
	memcpy(&hash, digest, sizeof(hash));
	return hash == 0 ? 1 : hash;
}
