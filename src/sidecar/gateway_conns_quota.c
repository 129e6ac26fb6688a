/* Keeps a part of the quotas of client accounts, for all gateways. */
#include "common/clock.h"
#include "common/metrics.h"
#include "coordination/accounts/quota_meter.h"
#include "sidecar/gateway_conns_internal.h"
#include "sidecar/sidecar_internal.h"

int
gateway_conns_create_quotas(struct gateway_conns *gws)
{
	struct metrics *m = gws->sidecar->process.metrics;

	gws->quota_granted = metrics_counter(
	    m, "sidecar_quota_takes_total", "result=\"granted\"");
	gws->quota_refused = metrics_counter(
	    m, "sidecar_quota_takes_total", "result=\"refused\"");
	gws->quota_meter =
	    quota_meter_create(clock_now(gws->sidecar->process.clock));
	return gws->quota_meter == NULL ? -1 : 0;
}

void
gateway_conns_on_quota_take(void *ctx, struct rpc_call *call, void *args)
{
	struct gateway_conns *gws = ctx;
	const struct tm_quota_take *msg = args;
	const struct quota_take take = {
		.account = msg->account,
		.version = msg->ver,
		.limit = msg->limit,
		.window_us = (int64_t)msg->window_us,
		.amount = msg->amount,
	};
	struct quota_grant grant = quota_meter_take(
	    gws->quota_meter, &take, clock_now(gws->sidecar->process.clock));
	const struct tm_quota_taken reply = { grant.granted, grant.wait_us };

	(*(grant.granted ? gws->quota_granted : gws->quota_refused))++;
	rpc_call_reply(call, &reply);
}

void
gateway_conns_on_quota_return(void *ctx, struct rpc_call *call, void *args)
{
	struct gateway_conns *gws = ctx;
	const struct tm_quota_return *msg = args;

	quota_meter_return(gws->quota_meter, msg->account, msg->amount,
	    clock_now(gws->sidecar->process.clock));
}
