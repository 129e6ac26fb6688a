#include "gateway/spare_models.h"

#include <string.h>

#include <xxhash.h>

#include "common/clock.h"
#include "coordination/outlier.h"
#include "coordination/spares.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/gateway_internal.h"
#include "protocol/tm_xdr.h"
#include "transport/rpc.h"

#define ENTRIES_MAX (CANDIDATES_MAX * 4) /* further ones are never spares */

/* The replica can run requests for the models that its sidecar reports. */
static bool
counts(const struct backend *b, int64_t now)
{
	return backend_takes_work(b) && b->holdings_known &&
	       now >= b->uncertain_until_us &&
	       !outlier_ejected(&b->outlier, now);
}

static size_t
list_entries(struct gateway *g, struct spares_entry *entries)
{
	struct backend *b = NULL;
	int64_t now = clock_now(g->process.clock);
	size_t count = 0;

	while ((b = backends_next(g->backends, b)) != NULL) {
		const struct replica_state *s = &b->entry.state;

		if (!counts(b, now))
			continue;
		for (unsigned i = 0; i < s->model_count && count < ENTRIES_MAX;
		     i++) {
			entries[count].model = s->models[i].name;
			entries[count].replica = b->entry.id;
			count++;
		}
	}
	return count;
}

static void
send_spares(struct backend *b, const struct spares_entry *entries, size_t count)
{
	char *names[TM_HELD_MAX];
	struct tm_replica_spare msg = { .models.models_val = names };
	uint64_t hash = 0;

	for (size_t i = 0; i < count; i++) {
		const struct spares_entry *e = &entries[i];

		if (!e->spare || strcmp(e->replica, b->entry.id) != 0 ||
		    msg.models.models_len == TM_HELD_MAX)
			continue;
		names[msg.models.models_len++] = (char *)e->model;
		hash = XXH3_64bits_withSeed(e->model, strlen(e->model), hash);
	}
	if (hash == b->spares_sent)
		return;
	if (rpc_conn_send(b->conn, TM_REPLICA_SPARE,
		(xdrproc_t)xdr_tm_replica_spare, &msg) == 0)
		b->spares_sent = hash;
}

void
spare_models_send(struct gateway *g)
{
	static struct spares_entry entries[ENTRIES_MAX];
	struct backend *b = NULL;
	size_t count = list_entries(g, entries);

	spares_mark(entries, count);
	while ((b = backends_next(g->backends, b)) != NULL) {
		if (b->conn != NULL && !b->connecting && b->holdings_known)
			send_spares(b, entries, count);
	}
}
