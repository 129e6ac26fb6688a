#include "coordination/accounts/quota_asker.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <uthash.h>
#include <xxhash.h>

#include "common/clock.h"
#include "coordination/accounts/quota_window.h"
#include "state/accounts.h"

/* Accounts that are remembered; beyond, all are forgotten. */
#define ACCOUNTS_MAX 16384
/* Another gateway may return what it took meanwhile. */
#define REMEMBER_MAX_US (500 * USEC_PER_MSEC)

struct keeper_host {
	uint64_t hash;
	bool near;
	int64_t listed_us; /* when it was listed last */
	UT_hash_handle hh;
};

/* A refusal of one keeper. */
struct refusal {
	uint64_t host;
	double amount;
	double limit; /* of the keeper, under which it was refused */
	int64_t until_us;
};

struct keeper {
	uint64_t host;
	uint64_t weight;
	bool near;
};

struct asker_account {
	char name[ACCOUNT_NAME_MAX];
	/* Those of the highest weights, the highest first. */
	struct keeper keepers[QUOTA_KEEPERS_MAX];
	unsigned keeper_count;
	unsigned keepers_wanted;
	uint64_t generation; /* of the hosts that they were chosen from */
	struct refusal refusals[QUOTA_KEEPERS_MAX];
	unsigned next_refusal; /* to be overwritten */
	bool has_reserve;
	struct quota_window reserve;
	UT_hash_handle hh;
};

struct quota_asker {
	int64_t created_us;
	struct keeper_host *hosts;
	uint64_t generation; /* rises when a host comes or goes */
	struct asker_account *accounts;
};

struct quota_asker *
quota_asker_create(int64_t now_us)
{
	struct quota_asker *k = calloc(1, sizeof(*k));

	if (k == NULL)
		abort();
	k->created_us = now_us;
	return k;
}

static void
forget_accounts(struct quota_asker *k)
{
	struct asker_account *a, *next;

	HASH_ITER(hh, k->accounts, a, next) {
		HASH_DEL(k->accounts, a);
		free(a);
	}
}

static void
remove_host(struct quota_asker *k, struct keeper_host *h)
{
	HASH_DEL(k->hosts, h);
	free(h);
	k->generation++;
}

void
quota_asker_destroy(struct quota_asker *k)
{
	struct keeper_host *h, *next;

	if (k == NULL)
		return;
	forget_accounts(k);
	HASH_ITER(hh, k->hosts, h, next)
		remove_host(k, h);
	free(k);
}

static struct asker_account *
get_account(struct quota_asker *k, const char *name)
{
	struct asker_account *a;

	HASH_FIND_STR(k->accounts, name, a);
	if (a != NULL)
		return a;
	if (HASH_COUNT(k->accounts) >= ACCOUNTS_MAX)
		forget_accounts(k);
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		abort();
	strlcpy(a->name, name, sizeof(a->name));
	HASH_ADD_STR(k->accounts, name, a);
	return a;
}

/* ---- hosts ---- */

void
quota_asker_note_host(
    struct quota_asker *k, uint64_t host, bool near, int64_t now_us)
{
	struct keeper_host *h;

	HASH_FIND(hh, k->hosts, &host, sizeof(host), h);
	if (h == NULL) {
		h = calloc(1, sizeof(*h));
		if (h == NULL)
			abort();
		h->hash = host;
		h->near = near;
		HASH_ADD(hh, k->hosts, hash, sizeof(h->hash), h);
		k->generation++;
	}
	h->listed_us = now_us;
}

unsigned
quota_asker_hosts(const struct quota_asker *k)
{
	return HASH_COUNT(k->hosts);
}

void
quota_asker_expire_hosts(struct quota_asker *k, int64_t now_us)
{
	struct keeper_host *h, *next;

	HASH_ITER(hh, k->hosts, h, next) {
		if (now_us - h->listed_us > QUOTA_HOST_KEEP_US)
			remove_host(k, h);
	}
}

static void
insert_keeper(struct asker_account *a, const struct keeper *keeper)
{
	unsigned at = a->keeper_count;

	while (at > 0 && a->keepers[at - 1].weight < keeper->weight)
		at--;
	if (at == a->keepers_wanted)
		return;
	if (a->keeper_count < a->keepers_wanted)
		a->keeper_count++;
	memmove(&a->keepers[at + 1], &a->keepers[at],
	    (a->keeper_count - at - 1) * sizeof(a->keepers[0]));
	a->keepers[at] = *keeper;
}

static void
choose_keepers(
    const struct quota_asker *k, struct asker_account *a, unsigned wanted)
{
	uint64_t seed = XXH3_64bits(a->name, strlen(a->name));
	const struct keeper_host *h;

	if (a->generation == k->generation && a->keepers_wanted == wanted)
		return;
	a->generation = k->generation;
	a->keepers_wanted = wanted;
	a->keeper_count = 0;
	for (h = k->hosts; h != NULL; h = h->hh.next) {
		struct keeper keeper = { h->hash,
			XXH3_64bits_withSeed(&h->hash, sizeof(h->hash), seed),
			h->near };

		insert_keeper(a, &keeper);
	}
}

/* ---- asking ---- */

static bool
was_asked(const struct quota_search *s, uint64_t host)
{
	for (unsigned i = 0; i < s->asked_count; i++) {
		if (s->asked[i] == host)
			return true;
	}
	return false;
}

static void
note_wait(struct quota_search *s, int64_t wait_us)
{
	if (!s->refused || wait_us < s->wait_us)
		s->wait_us = wait_us;
	s->refused = true;
}

/* Whether it has just refused as much, and its limit is no higher now. */
static bool
would_refuse(const struct asker_account *a, uint64_t host,
    const struct quota_plan *plan, double amount, struct quota_search *s,
    int64_t now_us)
{
	for (unsigned i = 0; i < QUOTA_KEEPERS_MAX; i++) {
		const struct refusal *r = &a->refusals[i];

		if (r->host != host || r->until_us <= now_us ||
		    amount < r->amount || plan->keeper_limit > r->limit)
			continue;
		note_wait(s, r->until_us - now_us);
		return true;
	}
	return false;
}

uint64_t
quota_asker_next(struct quota_asker *k, const char *account,
    const struct quota_plan *plan, double amount, struct quota_search *s,
    int64_t now_us, bool (*usable)(void *, uint64_t), void *ctx)
{
	struct asker_account *a = get_account(k, account);
	const struct keeper *best = NULL;

	choose_keepers(k, a, plan->keepers);
	if (s->asked_count == QUOTA_KEEPERS_MAX)
		return 0;
	for (unsigned i = 0; i < a->keeper_count; i++) {
		const struct keeper *c = &a->keepers[i];

		if ((best != NULL && (best->near || !c->near)) ||
		    was_asked(s, c->host) ||
		    would_refuse(a, c->host, plan, amount, s, now_us) ||
		    !usable(ctx, c->host))
			continue;
		best = c;
	}
	if (best == NULL)
		return 0;
	s->asked[s->asked_count++] = best->host;
	s->asked_limit = plan->keeper_limit;
	return best->host;
}

void
quota_asker_refused(struct quota_asker *k, const char *account, uint64_t host,
    double amount, int64_t wait_us, struct quota_search *s, int64_t now_us)
{
	struct asker_account *a = get_account(k, account);
	struct refusal *r = NULL;

	note_wait(s, wait_us);
	for (unsigned i = 0; i < QUOTA_KEEPERS_MAX; i++) {
		if (a->refusals[i].host == host)
			r = &a->refusals[i];
	}
	if (r == NULL)
		r = &a->refusals[a->next_refusal++ % QUOTA_KEEPERS_MAX];
	r->host = host;
	r->amount = amount;
	r->limit = s->asked_limit;
	r->until_us =
	    now_us + (wait_us < REMEMBER_MAX_US ? wait_us : REMEMBER_MAX_US);
}

/* ---- without a keeper ---- */

/* Of the reserve: a predecessor may have used all of it just now. */
static double
usable_share(const struct quota_asker *k, int64_t window_us, int64_t now_us)
{
	int64_t age_us = now_us - k->created_us;

	return age_us >= window_us ? 1 : (double)age_us / (double)window_us;
}

bool
quota_asker_take_reserve(struct quota_asker *k, const char *account,
    const struct quota_plan *plan, double amount, int64_t now_us)
{
	struct asker_account *a = get_account(k, account);
	double share = usable_share(k, plan->window_us, now_us);
	int64_t wait_us;

	if (!a->has_reserve)
		quota_window_init(
		    &a->reserve, plan->reserve_limit, plan->window_us, now_us);
	else
		quota_window_set(
		    &a->reserve, plan->reserve_limit, plan->window_us, now_us);
	a->has_reserve = true;
	/* No request may exceed the reserve: many gateways have one. */
	return amount <= plan->reserve_limit * share &&
	       quota_window_take(&a->reserve, amount, share, now_us, &wait_us);
}
