/* Meters the limits of replicas for all gateways; see limit_meter.h. */
#include <math.h>

#include <bsd/sys/queue.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/limit_meter.h"
#include "coordination/rate_limit.h"
#include "sidecar/gateway_conns_internal.h"
#include "sidecar/sidecar_internal.h"

static int64_t
now_us(const struct gateway_conns *gws)
{
	return clock_now(gws->sidecar->process.clock);
}

/* Returns -1 if the message makes no sense. */
static int
decode_update(const struct gateway_conns *gws, const struct tm_limit *msg,
    struct limit_update *update)
{
	if (!isfinite(msg->per_s) || msg->per_s < 0 || msg->age_us < 0)
		return -1;
	*update = (struct limit_update){ .replica = msg->replica,
		.born_ms = msg->born_ms,
		.per_s = msg->per_s,
		.seen_us = now_us(gws) - msg->age_us };
	return 0;
}

static struct tm_limit
encode_update(
    const struct gateway_conns *gws, const struct limit_update *update)
{
	return (struct tm_limit){ .replica = (char *)update->replica,
		.born_ms = update->born_ms,
		.per_s = update->per_s,
		.age_us = now_us(gws) - update->seen_us };
}

static void
send_update(const struct gateway_conns *gws, const struct gateway_conn *gw,
    const struct limit_update *update)
{
	struct tm_limit msg = encode_update(gws, update);

	(void)rpc_conn_send(gw->conn, TM_LIMIT, (xdrproc_t)xdr_tm_limit, &msg);
}

/* Passes a changed limit on to all gateways but the one that reported it. */
static void
pass_on(struct gateway_conns *gws, const struct gateway_conn *from,
    const struct limit_update *update)
{
	const struct gateway_conn *gw;

	log_info(gws->sidecar->process.logger, "replica's limit",
	    LF_S("replica", update->replica), LF_D("per_s", update->per_s));
	TAILQ_FOREACH(gw, &gws->list, link) {
		if (gw != from)
			send_update(gws, gw, update);
	}
}

void
gateway_conns_on_limit(void *ctx, struct rpc_call *call, void *args)
{
	struct gateway_conns *gws = ctx;
	struct gateway_conn *gw = gateway_conns_caller(gws, call);
	struct limit_update update;

	if (gw != NULL && decode_update(gws, args, &update) == 0 &&
	    limit_meter_note(gws->limit_meter, &update, now_us(gws)))
		pass_on(gws, gw, &update);
}

void
gateway_conns_on_limit_take(void *ctx, struct rpc_call *call, void *args)
{
	struct gateway_conns *gws = ctx;
	struct gateway_conn *gw = gateway_conns_caller(gws, call);
	const struct tm_limit_take *msg = args;
	int64_t now = now_us(gws);
	struct limit_update update;
	struct limit_place place;
	struct tm_limit_taken reply;

	if (decode_update(gws, &msg->known, &update) == -1) {
		reply = (struct tm_limit_taken){ .newest = msg->known };
		reply.wait_us = RATE_LIMIT_AHEAD_US;
		rpc_call_reply(call, &reply);
		return;
	}
	place = limit_meter_take(gws->limit_meter, &update, now, msg->ahead_us);
	if (place.changed)
		pass_on(gws, gw, &update);
	reply.granted = place.granted;
	reply.wait_us = place.at_us - now;
	reply.newest = encode_update(gws, &place.newest);
	rpc_call_reply(call, &reply);
}

struct new_gateway {
	struct gateway_conns *gws;
	struct gateway_conn *gw;
};

static void
send_each(void *ctx, const struct limit_update *update)
{
	const struct new_gateway *new = ctx;

	send_update(new->gws, new->gw, update);
}

void
gateway_conn_send_limits(struct gateway_conns *gws, struct gateway_conn *gw)
{
	struct new_gateway new = { gws, gw };

	limit_meter_list(gws->limit_meter, send_each, &new);
}
