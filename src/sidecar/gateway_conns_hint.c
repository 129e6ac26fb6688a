/*
 * Hints gateways that another one has read the replicas' topic of the
 * platform's store further: the store may have swallowed their reads.  Every
 * message of a gateway says how far it has read.  One that sends nothing to
 * engines would not be hinted: each gateway therefore reports to one sidecar,
 * and that one hints those that are behind.
 */
#include <bsd/sys/queue.h>

#include "common/clock.h"
#include "sidecar/gateway_conns_internal.h"
#include "sidecar/sidecar_internal.h"

/* By then most gateways have read what one of them has. */
#define HINT_DELAY_US (300 * USEC_PER_MSEC)
#define HINT_PAUSE_US (500 * USEC_PER_MSEC) /* between hints to a gateway */

/* Returns whether it was sent.  A load report would state an old load again. */
static bool
hint_gateway(struct gateway_conns *gws, struct gateway_conn *gw)
{
	int64_t now = clock_now(gws->sidecar->process.clock);
	struct tm_replicas_read msg = { gws->replicas_offset };

	if (now - gws->replicas_offset_us < HINT_DELAY_US ||
	    now - gw->hint_sent_us < HINT_PAUSE_US)
		return false;
	gw->hint_sent_us = now;
	return rpc_conn_send(gw->conn, TM_REPLICAS_READ,
		   (xdrproc_t)xdr_tm_replicas_read, &msg) == 0;
}

void
gateway_conns_note_read(
    struct gateway_conns *gws, struct gateway_conn *gw, uint64_t offset)
{
	if (gw != NULL && gw->replicas_read != 0)
		gw->replicas_read = offset;
	if (offset > gws->replicas_offset) {
		gws->replicas_offset = offset;
		gws->replicas_offset_us =
		    clock_now(gws->sidecar->process.clock);
	} else if (offset < gws->replicas_offset && gw != NULL) {
		(void)hint_gateway(gws, gw);
	}
}

void
gateway_conns_on_read(void *ctx, struct rpc_call *call, void *args)
{
	struct gateway_conn *gw = gateway_conns_caller(ctx, call);
	const struct tm_replicas_read *msg = args;

	if (gw != NULL)
		gw->replicas_read = msg->next;
}

void
gateway_conns_hint_idle(struct gateway_conns *gws)
{
	struct gateway_conn *gw;

	TAILQ_FOREACH(gw, &gws->list, link) {
		if (gw->replicas_read == 0 ||
		    gw->replicas_read >= gws->replicas_offset ||
		    gw->hinted_offset == gws->replicas_offset)
			continue;
		if (hint_gateway(gws, gw))
			gw->hinted_offset = gws->replicas_offset;
	}
}
