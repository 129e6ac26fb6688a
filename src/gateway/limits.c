#include "gateway/limits.h"

#include <math.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "gateway/backends.h"
#include "gateway/gateway_internal.h"
#include "gateway/sidecar_conns.h"
#include "protocol/tm_xdr.h"

/* After a failure the meter is not asked for so long. */
#define METER_RETRY_US (1 * USEC_PER_SEC)

static bool
set_limit(struct gateway *g, struct backend *b, double per_s, int64_t seen_us,
    const char *from)
{
	b->limit.seen_us = seen_us;
	if (b->limit.per_s == per_s)
		return false;
	log_info(g->process.logger,
	    per_s > 0 ? "replica limited" : "replica no longer limited",
	    LF_S("replica", b->entry.id), LF_D("per_s", per_s),
	    LF_D("was", b->limit.per_s), LF_S("from", from));
	b->limit.per_s = per_s;
	if (per_s == 0) {
		b->limit.next_us = 0;
		b->limit.turn_us = 0;
	}
	return true;
}

void
limits_on_answer(struct gateway *g, struct backend *b, int code,
    const struct answer_meta *meta)
{
	if (meta->limit_per_s < 0) {
		log_warn(g->process.logger, "limit cannot be read",
		    LF_S("replica", b->entry.id));
		return;
	}
	if (!backend_made_answer(b, code, meta))
		return;
	if (set_limit(
		g, b, meta->limit_per_s, clock_now(g->process.clock), "answer"))
		sidecar_conns_send_limit(g->sidecar_conns, b);
}

void
limits_on_update(struct gateway *g, const struct tm_limit *msg)
{
	struct backend *b = backends_find(g->backends, msg->replica);
	int64_t seen_us = clock_now(g->process.clock) - msg->age_us;

	if (b == NULL || b->entry.state.born_ms != msg->born_ms ||
	    !isfinite(msg->per_s) || msg->per_s < 0 ||
	    seen_us <= b->limit.seen_us)
		return;
	(void)set_limit(g, b, msg->per_s, seen_us, "sidecar");
}

void
limits_fill_update(
    const struct gateway *g, struct backend *b, struct tm_limit *msg)
{
	msg->replica = b->entry.id;
	msg->born_ms = b->entry.state.born_ms;
	msg->per_s = b->limit.per_s;
	msg->age_us = clock_now(g->process.clock) - b->limit.seen_us;
}

bool
limits_has_meter(const struct gateway *g, struct backend *b, int64_t now_us)
{
	return sidecar_conns_meter_connected(g->sidecar_conns, b) &&
	       (b->limit.meter_failed_us == 0 ||
		   now_us - b->limit.meter_failed_us >= METER_RETRY_US);
}

int64_t
limits_wait_us(const struct gateway *g, struct backend *b, int64_t now_us)
{
	int64_t next_us;

	if (b->limit.per_s == 0)
		return 0;
	next_us = limits_has_meter(g, b, now_us) ? b->limit.next_us
						 : b->limit.turn_us;
	return next_us > now_us ? next_us - now_us : 0;
}
