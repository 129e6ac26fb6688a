/*
 * Counts a request at the replica that it is sent to, and uses the timing and
 * failures of answers to eject replicas, to correct predictions, and to decide
 * how long a replica may send nothing.
 */
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/model_prefill.h"
#include "coordination/prefix_map.h"
#include "gateway/backends.h"
#include "gateway/candidates.h"
#include "gateway/exchange_internal.h"
#include "gateway/sidecar_conns.h"
#include "state/deployment.h"

/*
 * If a replica sends nothing for the silence time, the call is dropped where
 * another replica may run the request.  For a complete answer that time is a
 * share of the route's goal, for a stream's first event the goal; or several
 * times the expected time, if that is longer.
 */
#define SILENCE_GOAL_SHARE 0.5
#define SILENCE_AVG_ANSWERS 4 /* times the replica's avg_answer_us */
#define SILENCE_PREDICTIONS 6 /* times the predicted time to a first token */
/*
 * Between two events, in which progress is counted: at most this, and half of
 * the pause after which callers abandon the stream.
 */
#define SILENCE_BETWEEN_EVENTS_US (2500 * USEC_PER_MSEC)

/* Gives back the prefill permit, or withdraws the request for one. */
static void
end_prefill(struct exchange *x)
{
	if (x->prefill_conn != NULL)
		rpc_conn_drop_callbacks(x->prefill_conn, x);
	x->prefill_conn = NULL;
	if (x->prefill_id != 0)
		sidecar_conns_prefill_done(x->backend, x->prefill_id);
	x->prefill_id = 0;
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
	event_del(x->silence_timer);
	exchange_end_limit(x);
	end_prefill(x);
	b->in_flight--;
	if (x->params.model[0] != '\0') {
		use = backend_get_use(b, x->params.model, x->params.adapter);
		use->in_flight--;
		use->sent = false;
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
exchange_reserve(struct exchange *x, struct backend *b, uint32_t tokens)
{
	struct backend_use *use;

	x->backend = b;
	x->pending_tokens = tokens;
	b->pending_tokens += tokens;
	b->in_flight++;
	if (x->params.model[0] == '\0')
		return;
	use = backend_get_use(b, x->params.model, x->params.adapter);
	use->started++;
	use->in_flight++;
	use->sent = false;
}

void
exchange_note_outcome(struct exchange *x, enum outlier_kind kind)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	int64_t now = clock_now(g->process.clock);
	bool ejected = outlier_ejected(&b->outlier, now);

	outlier_record(&b->outlier, kind, now);
	if (kind == OUTLIER_FAILED || kind == OUTLIER_UNREACHABLE)
		b->failed_us = now;
	if (!ejected && outlier_ejected(&b->outlier, now))
		log_warn(g->process.logger, "replica ejected",
		    LF_S("replica", b->entry.id), LF_I("kind", kind),
		    LF_D("failures", b->outlier.failure_share),
		    LF_I("for_us", b->outlier.ejected_until_us - now));
}

static int64_t
between_events_us(const struct route *r)
{
	int64_t us = exchange_abandon_us(r) / 2;

	return us < SILENCE_BETWEEN_EVENTS_US ? us : SILENCE_BETWEEN_EVENTS_US;
}

/* The silence time from now on; 0: unlimited. */
static int64_t
silence_us(const struct exchange *x)
{
	int64_t latency_goal_us = x->route->latency_goal_us;
	int64_t now = clock_now(x->gateway->process.clock), expected_us;

	if (!route_may_repeat(x->route) ||
	    x->attempts >= x->route->max_attempts)
		return 0;
	if (x->code != 0 && x->relaying)
		return between_events_us(x->route);
	if (x->route->kind == ROUTE_STREAM)
		return latency_goal_us > SILENCE_PREDICTIONS * x->predicted_us
			   ? latency_goal_us
			   : SILENCE_PREDICTIONS * x->predicted_us;
	expected_us =
	    (int64_t)(SILENCE_AVG_ANSWERS * (double)x->backend->avg_answer_us *
		      replica_speed_slowdown(&x->backend->speed, now));
	latency_goal_us =
	    (int64_t)((double)latency_goal_us * SILENCE_GOAL_SHARE);
	return latency_goal_us > expected_us ? latency_goal_us : expected_us;
}

void
exchange_arm_silence_timer(struct exchange *x)
{
	int64_t us = silence_us(x);

	if (us > 0)
		process_timer_add(x->silence_timer, us);
}

void
exchange_count_silence(struct exchange *x)
{
	if (x->code == 0 || x->relaying)
		exchange_note_outcome(x, OUTLIER_FAILED);
}

bool
exchange_forget_unloaded(struct exchange *x)
{
	bool found = false;

	for (unsigned i = 0; x->unloaded != 0 && i < x->tried_count;) {
		if (x->tried[i] != x->unloaded) {
			i++;
			continue;
		}
		x->tried[i] = x->tried[--x->tried_count];
		found = true;
	}
	x->unloaded = 0;
	return found;
}

void
exchange_note_tried(struct exchange *x, const struct backend *b)
{
	if (x->tried_count < EXCHANGE_TRIED_MAX)
		x->tried[x->tried_count++] = candidates_id_hash(b);
}

void
exchange_note_first_event(struct exchange *x)
{
	struct gateway *g = x->gateway;
	struct backend *b = x->backend;
	const struct request_params *params = &x->params;
	int64_t took = clock_now(g->process.clock) - x->sent_us;

	end_prefill(x);
	for (unsigned i = 0; i < params->part_count; i++)
		prefix_map_add(g->prefix_map,
		    prefix_map_key(params->model, params->adapter,
			params->parts[i].id, b->entry.id));
	/* The sidecar measures it with the prompts of all gateways. */
	if (x->predicted_us <= 0 ||
	    backend_prefill_factor(b, params->model) > 0)
		return;
	/* Beside other work, the time says little about the model. */
	if (b->in_flight <= 2)
		model_prefill_record(
		    g->prefill_factors, params->model, x->predicted_us, took);
	replica_speed_measure(&b->speed, took, x->predicted_us);
}
