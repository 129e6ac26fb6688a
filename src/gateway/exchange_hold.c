/* What an exchange counts at its replica, and what the replica shows by it. */
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/model_prefill.h"
#include "coordination/prefix_map.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/exchange_internal.h"
#include "gateway/sidecar_links.h"
#include "state/deployment.h"

/*
 * A replica that is silent for longer is asked no more where another may run
 * the request: a part of the goal, unless answers usually take longer.
 */
#define SILENCE_GOAL_SHARE 0.5
#define SILENCE_USUAL 4 /* times the usual time of an answer */
#define SILENCE_PREDICTED 6 /* times the predicted time to a stream's start */
/* Between pieces of a stream; callers leave after about twice that. */
#define SILENCE_PIECE_US (2500 * USEC_PER_MSEC)
#define SLOWNESS_WEIGHT 0.15 /* of the newest first piece */
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 8.0

static void
settle_pending(struct exchange *x)
{
	if (x->read_conn != NULL)
		rpc_conn_forget(x->read_conn, x);
	x->read_conn = NULL;
	if (x->read_id != 0)
		sidecar_links_read_done(x->backend, x->read_id);
	x->read_id = 0;
	x->backend->pending_tokens -= x->pending_tokens;
	x->pending_tokens = 0;
}

void
exchange_release(struct exchange *x)
{
	struct backend *b = x->backend;
	struct backend_use *use;

	if (b == NULL)
		return;
	event_del(x->silence);
	settle_pending(x);
	b->in_flight--;
	if (x->terms.model[0] != '\0') {
		use = backend_use(b, x->terms.model, x->terms.adapter);
		use->in_flight--;
		use->told = false;
	}
	x->backend = NULL;
	x->call = NULL;
}

void
exchange_drop_call(struct exchange *x)
{
	if (x->call != NULL)
		http_call_cancel(x->call);
	exchange_release(x);
}

void
exchange_hold(struct exchange *x, struct backend *b, uint32_t tokens)
{
	struct backend_use *use;

	x->backend = b;
	x->pending_tokens = tokens;
	b->pending_tokens += tokens;
	b->in_flight++;
	if (x->terms.model[0] == '\0')
		return;
	use = backend_use(b, x->terms.model, x->terms.adapter);
	use->started++;
	use->in_flight++;
	use->told = false;
}

void
exchange_note_outcome(struct exchange *x, enum outlier_kind kind)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	int64_t now = clock_now(g->process.clock);
	bool ejected = outlier_ejected(&b->outlier, now);

	outlier_record(&b->outlier, kind, now);
	if (!ejected && outlier_ejected(&b->outlier, now))
		log_warn(g->process.logger, "replica ejected",
		    LF_S("replica", b->entry.id), LF_I("kind", kind),
		    LF_D("failures", b->outlier.failure_share),
		    LF_I("for_us", b->outlier.ejected_until_us - now));
}

/* Time that the replica may be silent for now; 0: for ever. */
static int64_t
silence_us(const struct exchange *x)
{
	int64_t goal_us = x->route->goal_us;

	if (!route_may_repeat(x->route) ||
	    x->attempts >= x->route->max_attempts)
		return 0;
	if (x->code != 0 && x->relaying)
		return SILENCE_PIECE_US;
	if (x->route->kind == ROUTE_STREAM)
		return goal_us > SILENCE_PREDICTED * x->predicted_us
			   ? goal_us
			   : SILENCE_PREDICTED * x->predicted_us;
	goal_us = (int64_t)((double)goal_us * SILENCE_GOAL_SHARE);
	return goal_us > SILENCE_USUAL * x->backend->usual_us
		   ? goal_us
		   : SILENCE_USUAL * x->backend->usual_us;
}

void
exchange_watch_silence(struct exchange *x)
{
	int64_t us = silence_us(x);

	if (us > 0)
		process_timer_add(x->silence, us);
}

void
exchange_note_silence(struct exchange *x)
{
	if (x->code == 0 || x->relaying)
		exchange_note_outcome(x, OUTLIER_FAILED);
}

void
exchange_note_tried(struct exchange *x, const struct backend *b)
{
	if (x->tried_count < EXCHANGE_TRIED_MAX)
		x->tried[x->tried_count++] = candidates_hash(b);
}

/* The first piece came: the prompt has been read there. */
void
exchange_note_first_piece(struct exchange *x)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	const struct request_terms *t = &x->terms;
	int64_t took = clock_now(g->process.clock) - x->sent_us;
	double ratio;

	settle_pending(x);
	for (unsigned i = 0; i < t->part_count; i++)
		prefix_map_add(g->prefixes, prefix_map_key(t->model, t->adapter,
						t->parts[i].id, b->entry.id));
	if (x->predicted_us <= 0)
		return;
	if (b->in_flight <= 2)
		model_prefill_record(g->paces, t->model, x->predicted_us, took);
	ratio = b->slowdown * (double)took / (double)x->predicted_us;
	b->slowdown += SLOWNESS_WEIGHT * (ratio - b->slowdown);
	if (b->slowdown < SLOWNESS_MIN)
		b->slowdown = SLOWNESS_MIN;
	if (b->slowdown > SLOWNESS_MAX)
		b->slowdown = SLOWNESS_MAX;
}
