#include "entry/account_index.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <openssl/sha.h>

#include "common/rng.h"
#include "coordination/store.h"
#include "state/accounts.h"
#include "state/config.h"

#define SCHEME "Bearer "
#define KEY_HASH_LENGTH (2 * SHA256_DIGEST_LENGTH)

struct account_index {
	struct store *store;
	uint64_t version; /* of the configuration that it was built from */
	struct accounts *accounts; /* NULL: not built yet */
};

struct account_index *
account_index_create(struct store *store)
{
	struct account_index *x = calloc(1, sizeof(*x));

	if (x == NULL)
		abort();
	x->store = store;
	return x;
}

void
account_index_destroy(struct account_index *x)
{
	if (x == NULL)
		return;
	accounts_destroy(x->accounts);
	free(x);
}

static struct account *
create_account(const struct config *config, const struct config_entry *entry)
{
	const struct decl_account *d = &entry->decl.spec.account;
	const struct config_entry *rank =
	    config_find(config, DECL_RANK, d->rank);
	struct account *a = account_create();

	strlcpy(a->name, entry->name, sizeof(a->name));
	a->has_rank = rank != NULL && rank->valid;
	if (a->has_rank)
		a->rank = rank->decl.spec.rank.order;
	a->quota = (struct account_quota){ d->per_s, d->burst, d->in_tokens,
		d->plain_tokens };
	for (size_t i = 0; i < d->key_hashes.count; i++)
		account_add_key(a, d->key_hashes.names[i], KEY_HASH_LENGTH);
	return a;
}

static struct accounts *
get_accounts(struct account_index *x)
{
	const struct config *config = store_config(x->store);
	const struct config_entry *entry = NULL;

	if (x->accounts != NULL && x->version == config_version(config))
		return x->accounts;
	accounts_destroy(x->accounts);
	x->accounts = accounts_create();
	x->version = config_version(config);
	while ((entry = config_next(config, DECL_ACCOUNT, entry)) != NULL) {
		struct account *a;

		if (!entry->valid)
			continue;
		a = create_account(config, entry);
		accounts_add(x->accounts, a);
		account_unref(a);
	}
	return x->accounts;
}

/* The only API key of the request; NULL if it has none, or several. */
static const char *
request_key(struct evhttp_request *req)
{
	const char *value = NULL;
	struct evkeyval *h;

	TAILQ_FOREACH(h, evhttp_request_get_input_headers(req), next) {
		if (strcasecmp(h->key, "Authorization") != 0)
			continue;
		if (value != NULL)
			return NULL;
		value = h->value;
	}
	if (value == NULL || strncasecmp(value, SCHEME, strlen(SCHEME)) != 0)
		return NULL;
	return value + strlen(SCHEME);
}

bool
account_index_check(struct account_index *x, struct evhttp_request *req,
    const struct account **account)
{
	struct accounts *accounts = get_accounts(x);
	const char *key;
	unsigned char digest[SHA256_DIGEST_LENGTH];
	char hex[KEY_HASH_LENGTH + 1];

	*account = NULL;
	if (accounts_count(accounts) == 0)
		return true;
	key = request_key(req);
	if (key == NULL)
		return false;
	SHA256((const unsigned char *)key, strlen(key), digest);
	hex_encode(hex, digest, sizeof(digest));
	*account = accounts_find_key(accounts, hex, KEY_HASH_LENGTH);
	return *account != NULL;
}

const struct account *
account_index_find(struct account_index *x, const char *name)
{
	return accounts_find_name(get_accounts(x), name);
}
