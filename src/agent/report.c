/*
 * Load reports of the agent: its queue, its memory, and the state of the models
 * that have a slot here.  Entries route by them and the holder places by them.
 */
#include "agent/agent_internal.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "coordination/loader.h"
#include "coordination/store.h"
#include "state/ledger.h"
#include "transport/rpc.h"

static void
fill_model_load(
    struct agent *a, struct tm_model_load *out, const struct control_slot *slot)
{
	out->model = strdup(slot->model);
	out->state = loader_state(a->loader, slot->model);
	out->load_us = (u_quad_t)loader_remaining_us(a->loader, slot->model);
}

/* Lists the models that have a slot on this VM. */
static void
fill_models(struct agent *a, struct tm_load_report *load)
{
	const struct control *control = store_control(a->daemon->store);
	const char *self = a->settings.daemon.vm;
	const struct control_slot *slot = NULL;
	u_int n = 0;

	while ((slot = control_next_runner_slot(control, self, slot)) != NULL)
		n++;
	load->models.models_val = calloc(n + 1, sizeof(struct tm_model_load));
	if (load->models.models_val == NULL)
		abort();
	load->models.models_len = n;
	n = 0;
	while ((slot = control_next_runner_slot(control, self, slot)) != NULL)
		fill_model_load(a, &load->models.models_val[n++], slot);
	load->whole = true;
}

static void
fill_counts(struct agent *a, struct tm_load_report *load)
{
	load->sequence = ++a->report_sequence;
	load->queued = admission_queued(a->admission);
	load->running = admission_running(a->admission);
	load->queued_tokens = admission_queued_tokens(a->admission);
	load->tokens_per_sec = (u_int)admission_rate(a->admission);
	if (a->loader == NULL)
		return;
	load->memory_total = ledger_total(loader_ledger(a->loader));
	load->memory_used = ledger_used(loader_ledger(a->loader));
}

void
agent_fill_load_report(void *ctx, struct tm_load_report *load)
{
	struct agent *a = ctx;

	fill_counts(a, load);
	if (a->loader != NULL)
		fill_models(a, load);
}

void
agent_free_load_report(void *ctx, struct tm_load_report *load)
{
	xdr_free((xdrproc_t)xdr_tm_load_report, (char *)load);
}

void
agent_fill_load_summary(struct agent *a, struct tm_load_report *load)
{
	memset(load, 0, sizeof(*load));
	load->incarnation = a->daemon->incarnation;
	load->leaving = a->daemon->leaving;
	fill_counts(a, load);
}

/* ---- unsolicited reports ---- */

/*
 * Digest of what entries route by and the holder places by: the size of the
 * memory, the models and their states.
 */
static uint64_t
replicas_digest(struct agent *a)
{
	const struct control *control = store_control(a->daemon->store);
	const struct control_slot *slot = NULL;
	uint64_t digest = ledger_total(loader_ledger(a->loader));

	while ((slot = control_next_runner_slot(
		    control, a->settings.daemon.vm, slot)) != NULL) {
		enum tm_replica_state state =
		    loader_state(a->loader, slot->model);

		digest = XXH3_64bits_withSeed(
		    slot->model, strlen(slot->model), digest + state);
	}
	return digest;
}

void
agent_report_changes(struct agent *a)
{
	struct tm_load_report load = { 0 };
	struct rpc_conn *conn = NULL;
	uint64_t digest;

	if (a->loader == NULL || !loader_initialized(a->loader))
		return;
	digest = replicas_digest(a);
	if (digest == a->reported_digest)
		return;
	a->reported_digest = digest;
	load.incarnation = a->daemon->incarnation;
	load.leaving = a->daemon->leaving;
	agent_fill_load_report(a, &load);
	while ((conn = rpc_next_conn(a->daemon->rpc, conn)) != NULL)
		(void)rpc_conn_send(
		    conn, TM_LOAD, (xdrproc_t)xdr_tm_load_report, &load);
	agent_free_load_report(a, &load);
}
