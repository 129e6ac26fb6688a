#include "coordination/state_pull.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "common/clock.h"
#include "transport/rpc.h"

#define PULL_TIMEOUT_US (2 * USEC_PER_SEC) /* of each call */

struct state_pull {
	struct state_pull_options opts;
	struct rpc_conn *conn; /* NULL: no pull is pending */
	uint64_t peer_version; /* as last announced over conn */
	/* The snapshot being transferred. */
	uint64_t transfer; /* its id; 0: none yet */
	uint32_t next_index; /* of the next chunk */
	char *data; /* the chunks before next_index */
	size_t len; /* bytes */
};

static void pull_next(struct state_pull *);

struct state_pull *
state_pull_create(const struct state_pull_options *opts)
{
	struct state_pull *pull = calloc(1, sizeof(*pull));

	if (pull == NULL)
		abort();
	pull->opts = *opts;
	return pull;
}

static void
reset(struct state_pull *pull)
{
	free(pull->data);
	pull->data = NULL;
	pull->len = 0;
	pull->conn = NULL;
	pull->transfer = 0;
	pull->next_index = 0;
}

void
state_pull_destroy(struct state_pull *pull)
{
	if (pull == NULL)
		return;
	reset(pull);
	free(pull);
}

static void
restore_snapshot(struct state_pull *pull, uint64_t digest)
{
	bool restored =
	    (XXH3_64bits(pull->data, pull->len) | 1) == digest &&
	    pull->opts.may_restore(pull->opts.ctx) &&
	    pull->opts.restore(pull->opts.ctx, pull->data, pull->len) == 0;

	reset(pull);
	if (restored)
		pull->opts.pulled(pull->opts.ctx, true, true);
}

static void
fold_records(struct state_pull *pull, const struct tm_pull_reply *reply)
{
	struct rpc_conn *conn = pull->conn;
	bool up_to_date;

	for (u_int i = 0; i < reply->records.records_len; i++) {
		const struct tm_raw_record *rec =
		    &reply->records.records_val[i];

		if (rec->offset == pull->opts.position(pull->opts.ctx))
			pull->opts.fold(pull->opts.ctx, rec->offset,
			    rec->data.data_val, rec->data.data_len);
	}
	reset(pull);
	up_to_date = pull->opts.version(pull->opts.ctx) >= pull->peer_version;
	pull->opts.pulled(pull->opts.ctx, false, up_to_date);
	state_pull_start(pull, conn, pull->peer_version);
}

static int
add_chunk(struct state_pull *pull, const struct tm_pull_reply *reply)
{
	char *data;

	if (reply->position == 0 || reply->index != pull->next_index ||
	    (pull->transfer != 0 && reply->transfer != pull->transfer))
		return -1;
	data = realloc(pull->data, pull->len + reply->data.data_len + 1);
	if (data == NULL)
		abort();
	memcpy(data + pull->len, reply->data.data_val, reply->data.data_len);
	pull->data = data;
	pull->len += reply->data.data_len;
	pull->transfer = reply->transfer;
	pull->next_index++;
	return 0;
}

static void
on_pull_reply(void *ctx, enum rpc_status status, void *arg)
{
	struct state_pull *pull = ctx;
	const struct tm_pull_reply *reply = arg;

	if (pull->conn == NULL)
		return;
	if (status != RPC_OK) {
		reset(pull);
		return;
	}
	if (reply->records.records_len > 0) {
		fold_records(pull, reply);
		return;
	}
	if (add_chunk(pull, reply) == -1)
		reset(pull);
	else if (pull->next_index == reply->count)
		restore_snapshot(pull, reply->digest);
	else
		pull_next(pull);
}

static void
pull_next(struct state_pull *pull)
{
	struct tm_pull_args args = {
		.stream = pull->opts.stream,
		.have = pull->opts.version(pull->opts.ctx),
		.transfer = pull->transfer,
		.index = pull->next_index,
		.position = pull->opts.position(pull->opts.ctx),
	};

	rpc_conn_call(pull->conn, TM_PULL, (xdrproc_t)xdr_tm_pull_args, &args,
	    (xdrproc_t)xdr_tm_pull_reply, sizeof(struct tm_pull_reply),
	    PULL_TIMEOUT_US, on_pull_reply, pull);
}

void
state_pull_start(
    struct state_pull *pull, struct rpc_conn *conn, uint64_t peer_version)
{
	if (conn == NULL)
		return;
	if (pull->conn == conn)
		pull->peer_version = peer_version;
	if (pull->conn != NULL ||
	    peer_version <= pull->opts.version(pull->opts.ctx))
		return;
	pull->conn = conn;
	pull->peer_version = peer_version;
	pull_next(pull);
}

void
state_pull_conn_closed(struct state_pull *pull, struct rpc_conn *conn)
{
	if (pull->conn != conn)
		return;
	rpc_conn_drop_callbacks(conn, pull);
	reset(pull);
}
