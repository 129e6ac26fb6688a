#include "coordination/holder.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/lease.h"
#include "coordination/permits.h"
#include "coordination/placer.h"
#include "coordination/scaling.h"
#include "coordination/store.h"

#define APPEND_WAIT_US (3 * USEC_PER_SEC) /* for a record's verdict */
/* A longer wait of a request calls for one more replica. */
#define SLOW_WAIT_US (5 * USEC_PER_SEC)
#define PERMIT_REQUEST_EXPIRY_US (3 * USEC_PER_SEC)

struct holder {
	struct holder_options opts;
	struct event *timer;
	struct lease *lease;
	struct placer *placer;
	struct scaling *scaling;
	struct permits *permits; /* NULL unless the lease is held */
	enum lease_step pending_step; /* sent, not answered */
	int64_t *lease_held_gauge;
	uint64_t *takeovers;
};

static const struct control_lease *
folded_lease(const struct holder *h)
{
	return control_lease(store_control(h->opts.store), h->opts.shard);
}

bool
holder_has_lease(const struct holder *h)
{
	return h != NULL &&
	       lease_held(h->lease, folded_lease(h), clock_now(h->opts.clock));
}

uint64_t
holder_epoch(const struct holder *h)
{
	return lease_epoch(h->lease);
}

/* ---- lease ---- */

static void
on_lease_verdict(void *ctx, enum result code, uint64_t offset)
{
	struct holder *h = ctx;

	lease_on_verdict(
	    h->lease, h->pending_step, code == RESULT_OK ? offset : 0);
	if (h->pending_step != LEASE_CLAIM || code != RESULT_OK)
		return;
	(*h->takeovers)++;
	log_info(h->opts.logger, "lease acquired", LF_I("shard", h->opts.shard),
	    LF_I("epoch", offset));
}

static void
advance_lease(struct holder *h)
{
	struct tm_control_record record;
	enum lease_step step = lease_next(
	    h->lease, folded_lease(h), clock_now(h->opts.clock), &record);

	if (step == LEASE_NOTHING)
		return;
	h->pending_step = step;
	store_append_control(
	    h->opts.store, &record, APPEND_WAIT_US, on_lease_verdict, h);
}

void
holder_lease_changed(struct holder *h, const struct control_lease *lease)
{
	if (lease->shard != h->opts.shard)
		return;
	if (lease_on_record(h->lease, lease, clock_now(h->opts.clock)))
		log_warn(h->opts.logger, "lease lost to another entry",
		    LF_S("holder", lease->holder), LF_I("epoch", lease->epoch));
}

void
holder_resign(struct holder *h)
{
	lease_resign(h->lease);
	advance_lease(h);
}

void
holder_refresh_metrics(struct holder *h)
{
	*h->lease_held_gauge = holder_has_lease(h);
}

/* ---- demand and permits ---- */

void
holder_handle_demand(struct holder *h, const struct tm_demand_report *report)
{
	scaling_report(h->scaling, report, clock_now(h->opts.clock));
}

static unsigned
rank_order(const struct holder *h, const char *rank)
{
	const struct config_entry *entry =
	    config_find(store_config(h->opts.store), DECL_RANK, rank);

	return entry == NULL || !entry->valid ? UINT32_MAX
					      : entry->decl.spec.rank.order;
}

static void
create_permits(struct holder *h)
{
	struct permits_options opts = {
		.loads_per_sec = h->opts.loads_per_sec,
		.max_loads = h->opts.max_loads,
		.max_adapters = h->opts.max_adapters,
		.permit_expiry_us = h->opts.permit_expiry_us,
		.request_expiry_us = PERMIT_REQUEST_EXPIRY_US,
		.now_us = clock_now(h->opts.clock),
	};

	h->permits = permits_create(&opts);
}

void
holder_handle_permit(struct holder *h, const struct tm_permit_args *args,
    struct tm_permit_reply *reply)
{
	int64_t now = clock_now(h->opts.clock);
	struct permit_request req = {
		.runner = args->runner,
		.model = args->model,
		.adapter = args->adapter,
		.rank_order = rank_order(h, args->rank),
		.deadline_us = now + (int64_t)args->wait_us,
	};
	struct permit_reply permit;

	memset(reply, 0, sizeof(*reply));
	if (!holder_has_lease(h))
		return;
	if (h->permits == NULL)
		create_permits(h);
	permit = permits_request(h->permits, &req, now);
	reply->holder = true;
	reply->granted = permit.permit != 0;
	reply->permit = permit.permit;
	reply->retry_after_ms = (u_int)(permit.retry_us / USEC_PER_MSEC);
}

void
holder_handle_permit_return(
    struct holder *h, const struct tm_permit_return *args)
{
	if (h->permits != NULL)
		permits_return(h->permits, args->permit);
}

/* ---- lifecycle ---- */

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct holder *h = arg;
	struct timeval tv = clock_timeval(h->opts.tick_us);
	bool holding;

	evtimer_add(h->timer, &tv);
	if (store_unready_reason(h->opts.store) != NULL)
		return;
	advance_lease(h);
	holding = holder_has_lease(h);
	holder_refresh_metrics(h);
	if (!holding) {
		placer_reset_absences(h->placer);
		permits_destroy(h->permits);
		h->permits = NULL;
		return;
	}
	store_write_checkpoints(h->opts.store);
	placer_run(h->placer, lease_epoch(h->lease));
}

static void
create_parts(struct holder *h)
{
	const struct holder_options *o = &h->opts;
	struct lease_options lease = {
		.self = o->self,
		.address = o->address,
		.term_us = o->term_us,
		.drift_us = o->drift_us,
		.now_us = clock_now(o->clock),
	};
	struct scaling_options scaling = {
		.shrink_us = o->shrink_us,
		.slow_wait_us = SLOW_WAIT_US,
	};
	struct placer_options placer = {
		.clock = o->clock,
		.store = o->store,
		.membership = o->membership,
		.shard = o->shard,
		.removal_grace_us = o->removal_grace_us,
	};

	h->lease = lease_create(&lease);
	h->scaling = scaling_create(&scaling);
	placer.scaling = h->scaling;
	h->placer = placer_create(&placer);
}

struct holder *
holder_create(const struct holder_options *opts)
{
	struct holder *h = calloc(1, sizeof(*h));
	struct timeval now = { 0, 0 };

	if (h == NULL)
		return NULL;
	h->opts = *opts;
	create_parts(h);
	h->lease_held_gauge = metrics_gauge(opts->metrics, "lease_held", "");
	h->takeovers =
	    metrics_counter(opts->metrics, "lease_takeovers_total", "");
	h->timer = evtimer_new(opts->base, on_tick, h);
	if (h->timer == NULL)
		abort();
	evtimer_add(h->timer, &now);
	return h;
}

void
holder_destroy(struct holder *h)
{
	if (h == NULL)
		return;
	event_free(h->timer);
	placer_destroy(h->placer);
	permits_destroy(h->permits);
	scaling_destroy(h->scaling);
	lease_destroy(h->lease);
	free(h);
}
