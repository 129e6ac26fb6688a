#include "coordination/deployment_sync.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/process.h"
#include "protocol/tm_xdr.h"
#include "state/accounts.h"
#include "state/deployment.h"
#include "state/deployment_history.h"
#include "state/document_delta.h"
#include "transport/rpc.h"

/* A daemon that follows the store has read a new deployment by then. */
#define STORE_FIRST_US (400 * USEC_PER_MSEC)
#define PART_TIMEOUT_US (2 * USEC_PER_SEC)
#define FAILED_PAUSE_US (1 * USEC_PER_SEC) /* of a peer, after a failure */
/* Between requests of a peer that sends whole documents only. */
#define WHOLE_PAUSE_US (3 * USEC_PER_SEC)
#define SOURCES_MAX 8 /* peers that are known to be newer */
/* A transfer that costs little beside the store's answer. */
#define SMALL_TRANSFER_BYTES 16384
/* Of a document, decoded before the event loop handles other events. */
#define DECODE_STEP_BYTES 32768

/* A peer with a newer version. */
struct source {
	struct rpc_conn *conn; /* NULL: unused */
	uint64_t version;
	bool whole_only; /* does not know TM_DEPLOYMENT_GET */
	int64_t not_before_us; /* of the next request */
};

/* What has arrived of the transfer in progress. */
struct transfer {
	struct rpc_conn *conn; /* NULL: no request is pending */
	uint64_t id;
	struct evbuffer *data;
	size_t total; /* bytes; 0: the first part has not arrived */
	int64_t start_us;
};

/* A document on its way to be in force. */
struct candidate {
	bool from_peer;
	/* The data is owned; changes: NULL unless a peer sent them. */
	struct deployment_received received;
	size_t bytes; /* that arrived for it */
	int64_t start_us; /* of its transfer; 0: not known */
};

struct deployment_sync {
	struct deployment_sync_options opts;
	struct deployment *deployment;
	struct deployment_history *history;
	struct candidate decoding; /* no data: none */
	void *decoder; /* of it */
	struct event *decode_timer;
	/* The last one that arrived meanwhile from the store and from a peer.
	 */
	struct candidate waiting[2];
	uint64_t newest; /* version that any peer has named */
	int64_t outdated_since_us; /* when a peer first had a newer version */
	struct source sources[SOURCES_MAX];
	struct transfer transfer;
};

static void request_part(struct deployment_sync *, const struct source *);
static void on_decode_timer(evutil_socket_t, short, void *);

struct deployment_sync *
deployment_sync_create(const struct deployment_sync_options *opts)
{
	struct deployment_sync *s = calloc(1, sizeof(*s));

	if (s == NULL)
		return NULL;
	s->opts = *opts;
	s->history = deployment_history_create();
	s->transfer.data = evbuffer_new();
	if (s->transfer.data == NULL)
		abort();
	s->decode_timer = process_timer_new(opts->process, on_decode_timer, s);
	return s;
}

void
deployment_sync_destroy(struct deployment_sync *s)
{
	if (s == NULL)
		return;
	s->opts.driver->decode_end(s->decoder);
	deployment_received_clear(&s->decoding.received);
	for (unsigned i = 0; i < 2; i++)
		deployment_received_clear(&s->waiting[i].received);
	event_free(s->decode_timer);
	deployment_unref(s->deployment);
	deployment_history_destroy(s->history);
	evbuffer_free(s->transfer.data);
	free(s);
}

struct deployment *
deployment_sync_current(const struct deployment_sync *s)
{
	return s->deployment;
}

uint64_t
deployment_sync_version(const struct deployment_sync *s)
{
	return s->deployment == NULL ? 0 : s->deployment->version;
}

bool
deployment_sync_outdated(const struct deployment_sync *s)
{
	return s->newest > deployment_sync_version(s);
}

/* ---- taking a deployment ---- */

static void
begin_decoding(struct deployment_sync *s)
{
	const struct deployment_document *doc = &s->decoding.received.document;

	s->decoder =
	    s->opts.driver->decode_begin(doc->data, doc->len, s->deployment);
	process_timer_add(s->decode_timer, 0);
}

/* Takes what the candidate owns. */
static void
add_candidate(struct deployment_sync *s, struct candidate *c)
{
	struct candidate *waits = &s->waiting[c->from_peer];

	if (s->decoder != NULL) {
		deployment_received_clear(&waits->received);
		*waits = *c;
		return;
	}
	s->decoding = *c;
	begin_decoding(s);
}

/* The next candidate, a peer's first: its version is newer than ours. */
static void
end_decoding(struct deployment_sync *s)
{
	s->opts.driver->decode_end(s->decoder);
	s->decoder = NULL;
	deployment_received_clear(&s->decoding.received);
	for (int i = 1; i >= 0; i--) {
		if (s->waiting[i].received.document.len == 0)
			continue;
		s->decoding = s->waiting[i];
		memset(&s->waiting[i], 0, sizeof(s->waiting[i]));
		begin_decoding(s);
		return;
	}
	deployment_sync_tick(s);
}

/* Takes the reference to the deployment. */
static void
put_in_force(struct deployment_sync *s, struct deployment *d)
{
	struct candidate *c = &s->decoding;
	struct deployment_document *doc = &c->received.document;
	uint64_t next = doc->next;

	log_info(s->opts.process->logger, "deployment in force",
	    LF_S("from", c->from_peer ? "peer" : "store"),
	    LF_I("version", d->version),
	    LF_I("was", deployment_sync_version(s)),
	    LF_I("routes", d->route_count), LF_I("services", d->service_count),
	    LF_I("accounts", d->accounts == NULL
				 ? -1
				 : (int64_t)accounts_count(d->accounts)),
	    LF_I("malformed_accounts", d->malformed_accounts),
	    LF_I("bytes", c->bytes),
	    LF_I("took_us",
		c->start_us == 0
		    ? 0
		    : clock_now(s->opts.process->clock) - c->start_us));
	doc->version = d->version;
	if (c->received.changes != NULL)
		deployment_history_put_received(s->history, &c->received);
	else
		deployment_history_put(s->history, doc);
	deployment_unref(s->deployment);
	s->deployment = d;
	if (c->from_peer && next != 0)
		s->opts.received(s->opts.ctx, next);
	s->opts.changed(s->opts.ctx);
}

static void
on_decode_timer(evutil_socket_t fd, short what, void *arg)
{
	struct deployment_sync *s = arg;
	const struct candidate *c = &s->decoding;
	uint64_t stated = c->received.document.version; /* 0: not stated */
	struct deployment *d = NULL;
	struct fleet_error err;

	switch (s->opts.driver->decode_step(
	    s->decoder, DECODE_STEP_BYTES, &d, &err)) {
	case FLEET_DECODE_MORE:
		process_timer_add(s->decode_timer, 0);
		return;
	case FLEET_DECODE_BAD:
		log_error(s->opts.process->logger,
		    "deployment cannot be decoded",
		    LF_S("from", c->from_peer ? "peer" : "store"),
		    LF_S("why", err.text),
		    LF_I("bytes", c->received.document.len));
		break;
	case FLEET_DECODE_DONE:
		/* After an outage the store may return an older one. */
		if (d->version > deployment_sync_version(s) &&
		    (stated == 0 || stated == d->version))
			put_in_force(s, d);
		else
			deployment_unref(d);
		break;
	}
	end_decoding(s);
}

/* A document as the store, or a peer of an older version, has sent it. */
static void
take_whole(struct deployment_sync *s, const void *data, size_t len,
    uint64_t next, bool from_peer)
{
	const struct deployment_document *newest =
	    deployment_history_newest(s->history);
	struct candidate c = { .from_peer = from_peer, .bytes = len };
	void *copy;

	/* A peer may have sent it before. */
	if (len == 0 ||
	    (newest->len == len && memcmp(newest->data, data, len) == 0))
		return;
	copy = malloc(len);
	if (copy == NULL)
		abort();
	memcpy(copy, data, len);
	c.received.document = (struct deployment_document){
		.next = next, .data = copy, .len = len
	};
	add_candidate(s, &c);
}

void
deployment_sync_on_record(void *sync, const struct fleet_record *record)
{
	struct deployment_sync *s = sync;
	const char *key = s->opts.driver->deployment_key;

	if (record->key_len == strlen(key) &&
	    memcmp(record->key, key, record->key_len) == 0 && record->len > 0)
		take_whole(
		    s, record->value, record->len, record->offset + 1, false);
}

/* ---- requests to peers ---- */

static struct source *
find_source(struct deployment_sync *s, const struct rpc_conn *conn)
{
	for (unsigned i = 0; i < SOURCES_MAX; i++) {
		if (s->sources[i].conn == conn)
			return &s->sources[i];
	}
	return NULL;
}

static void
end_transfer(struct deployment_sync *s)
{
	evbuffer_drain(s->transfer.data, evbuffer_get_length(s->transfer.data));
	s->transfer.conn = NULL;
	s->transfer.id = 0;
	s->transfer.total = 0;
}

static void
take_transfer(struct deployment_sync *s)
{
	size_t len = evbuffer_get_length(s->transfer.data);
	struct candidate c = { .from_peer = true,
		.bytes = len,
		.start_us = s->transfer.start_us };
	const char *why;

	if (deployment_history_decode(s->history,
		evbuffer_pullup(s->transfer.data, -1), len, &c.received,
		&why) == 0) {
		add_candidate(s, &c);
		return;
	}
	log_warn(s->opts.process->logger, "deployment from a peer refused",
	    LF_S("why", why), LF_I("bytes", len),
	    LF_I("have", deployment_sync_version(s)));
}

/* The peer knows whole documents only. */
static void
request_whole(struct deployment_sync *s, struct source *from)
{
	struct tm_deployment_ask ask = { deployment_sync_version(s) };

	from->whole_only = true;
	from->not_before_us =
	    clock_now(s->opts.process->clock) + WHOLE_PAUSE_US;
	log_info(s->opts.process->logger, "deployment asked from a peer",
	    LF_I("have", ask.have), LF_I("seen", from->version),
	    LF_I("whole", 1));
	(void)rpc_conn_send(from->conn, TM_DEPLOYMENT_ASK,
	    (xdrproc_t)xdr_tm_deployment_ask, &ask);
}

/* Returns whether a further part is due. */
static bool
take_part(struct deployment_sync *s, const struct tm_deployment_part *part)
{
	struct transfer *t = &s->transfer;

	if (part->ver <= deployment_sync_version(s) || part->total == 0) {
		end_transfer(s); /* the store was faster, or it is too large */
		return false;
	}
	if (part->transfer != t->id) {
		/* The peer has another version since, or it is the first. */
		evbuffer_drain(t->data, evbuffer_get_length(t->data));
		t->id = part->transfer;
		t->total = part->total;
	}
	if (part->from != evbuffer_get_length(t->data) ||
	    part->data.data_len == 0 || part->total > DOCUMENT_MAX ||
	    part->from + part->data.data_len > part->total) {
		end_transfer(s);
		return false;
	}
	evbuffer_add(t->data, part->data.data_val, part->data.data_len);
	if (evbuffer_get_length(t->data) < t->total)
		return true;
	take_transfer(s);
	end_transfer(s);
	return false;
}

static void
on_part(void *ctx, enum rpc_status status, void *reply)
{
	struct deployment_sync *s = ctx;
	struct source *from = find_source(s, s->transfer.conn);

	s->transfer.conn = NULL;
	if (status == RPC_REJECTED && from != NULL) {
		end_transfer(s);
		request_whole(s, from);
		return;
	}
	if (status != RPC_OK) {
		if (from != NULL)
			from->not_before_us =
			    clock_now(s->opts.process->clock) + FAILED_PAUSE_US;
		end_transfer(s);
		return;
	}
	if (take_part(s, reply) && from != NULL)
		request_part(s, from);
	else
		deployment_sync_tick(s);
}

static void
request_part(struct deployment_sync *s, const struct source *from)
{
	const struct deployment_document *newest =
	    deployment_history_newest(s->history);
	struct tm_deployment_get args = {
		.have = deployment_sync_version(s),
		.base = newest->hash,
		.transfer = s->transfer.id,
		.from = (u_int)evbuffer_get_length(s->transfer.data),
		.max = s->opts.store_answers(s->opts.ctx) ? SMALL_TRANSFER_BYTES
							  : DOCUMENT_MAX,
	};

	s->transfer.conn = from->conn;
	rpc_conn_call(from->conn, TM_DEPLOYMENT_GET,
	    (xdrproc_t)xdr_tm_deployment_get, &args,
	    (xdrproc_t)xdr_tm_deployment_part,
	    sizeof(struct tm_deployment_part), PART_TIMEOUT_US, on_part, s);
}

/* The newest one that may be asked; NULL: none. */
static struct source *
choose_source(struct deployment_sync *s)
{
	int64_t now = clock_now(s->opts.process->clock);
	struct source *best = NULL;

	for (unsigned i = 0; i < SOURCES_MAX; i++) {
		struct source *c = &s->sources[i];

		if (c->conn == NULL || now < c->not_before_us ||
		    c->version <= deployment_sync_version(s) ||
		    (best != NULL && c->version <= best->version))
			continue;
		best = c;
	}
	return best;
}

void
deployment_sync_tick(struct deployment_sync *s)
{
	int64_t now = clock_now(s->opts.process->clock);
	bool peers_first =
	    s->deployment == NULL || s->opts.peers_first(s->opts.ctx);
	struct source *from;

	if (!deployment_sync_outdated(s) || s->transfer.conn != NULL ||
	    s->decoder != NULL ||
	    (!peers_first && now - s->outdated_since_us < STORE_FIRST_US))
		return;
	from = choose_source(s);
	if (from == NULL)
		return;
	if (from->whole_only) {
		if (!s->opts.store_answers(s->opts.ctx))
			request_whole(s, from);
		return;
	}
	/* It is not asked again at once if this one brings nothing. */
	from->not_before_us = now + FAILED_PAUSE_US;
	s->transfer.start_us = now;
	log_info(s->opts.process->logger, "deployment asked from a peer",
	    LF_I("have", deployment_sync_version(s)),
	    LF_I("seen", from->version), LF_I("whole", 0));
	request_part(s, from);
}

/* ---- what peers say ---- */

void
deployment_sync_fill_versions(void *sync, struct rpc_versions *v)
{
	v->config = deployment_sync_version(sync);
	v->control = 0;
}

/* A known one, an unused one, or the one with the lowest version. */
static struct source *
source_for(struct deployment_sync *s, struct rpc_conn *conn)
{
	struct source *oldest = &s->sources[0], *c = find_source(s, conn);

	if (c == NULL)
		c = find_source(s, NULL);
	if (c != NULL)
		return c;
	for (unsigned i = 1; i < SOURCES_MAX; i++) {
		if (s->sources[i].version < oldest->version)
			oldest = &s->sources[i];
	}
	return oldest;
}

void
deployment_sync_on_peer_versions(
    void *sync, struct rpc_conn *conn, const struct rpc_versions *v)
{
	struct deployment_sync *s = sync;
	uint64_t own = deployment_sync_version(s);
	struct source *c;

	if (v->config <= own)
		return;
	if (s->newest <= own)
		s->outdated_since_us = clock_now(s->opts.process->clock);
	if (v->config > s->newest)
		s->newest = v->config;
	c = source_for(s, conn);
	if (c->conn == conn && c->version >= v->config)
		return;
	if (c->conn != conn) {
		if (c->version > v->config && c->conn != NULL)
			return;
		memset(c, 0, sizeof(*c));
		c->conn = conn;
	}
	if (c->version < v->config && !c->whole_only)
		c->not_before_us = 0;
	c->version = v->config;
	deployment_sync_tick(s);
}

void
deployment_sync_conn_closed(struct deployment_sync *s, struct rpc_conn *conn)
{
	struct source *c = find_source(s, conn);

	if (c != NULL)
		memset(c, 0, sizeof(*c));
}

/* ---- answering peers ---- */

static void
handle_get(void *sync, struct rpc_call *call, void *args)
{
	struct deployment_sync *s = sync;
	const struct tm_deployment_get *get = args;
	struct tm_deployment_part part = { .ver = deployment_sync_version(s) };
	size_t len = 0;
	uint64_t id = 0;
	const char *transfer = NULL;

	if (part.ver > get->have)
		transfer = deployment_history_transfer(
		    s->history, get->base, &len, &id);
	if (transfer != NULL && len <= get->max) {
		part.transfer = id;
		part.total = (u_int)len;
		if (get->transfer == id && get->from < len)
			part.from = get->from;
		part.data.data_val = (char *)transfer + part.from;
		part.data.data_len = (u_int)len - part.from;
		if (part.data.data_len > TM_PART_MAX)
			part.data.data_len = TM_PART_MAX;
		if (part.from == 0)
			log_info(s->opts.process->logger,
			    "deployment sent to a peer",
			    LF_I("version", part.ver),
			    LF_I("peer_has", get->have), LF_I("bytes", len));
	}
	rpc_call_reply(call, &part);
}

/* Of a peer that does not know TM_DEPLOYMENT_GET. */
static void
handle_ask(void *sync, struct rpc_call *call, void *args)
{
	struct deployment_sync *s = sync;
	const struct tm_deployment_ask *ask = args;
	const struct deployment_document *newest =
	    deployment_history_newest(s->history);
	struct rpc_conn *conn = rpc_call_conn(call);
	struct tm_deployment_doc doc = {
		.ver = deployment_sync_version(s),
		.doc.doc_val = (char *)newest->data,
		.doc.doc_len = (u_int)newest->len,
	};

	if (conn == NULL || doc.ver <= ask->have)
		return;
	if (newest->len > TM_BODY_MAX) {
		log_error(s->opts.process->logger,
		    "deployment is too large to send to a peer",
		    LF_I("bytes", newest->len));
		return;
	}
	log_info(s->opts.process->logger, "deployment sent to a peer",
	    LF_I("version", doc.ver), LF_I("peer_has", ask->have),
	    LF_I("bytes", newest->len));
	(void)rpc_conn_send(
	    conn, TM_DEPLOYMENT, (xdrproc_t)xdr_tm_deployment_doc, &doc);
}

static void
handle_doc(void *sync, struct rpc_call *call, void *args)
{
	const struct tm_deployment_doc *msg = args;

	take_whole(sync, msg->doc.doc_val, msg->doc.doc_len, 0, true);
}

void
deployment_sync_handlers(struct deployment_sync *s, struct rpc_handler *out)
{
	out[0] = (struct rpc_handler){ TM_DEPLOYMENT,
		(xdrproc_t)xdr_tm_deployment_doc,
		sizeof(struct tm_deployment_doc), NULL, handle_doc, s };
	out[1] = (struct rpc_handler){ TM_DEPLOYMENT_ASK,
		(xdrproc_t)xdr_tm_deployment_ask,
		sizeof(struct tm_deployment_ask), NULL, handle_ask, s };
	out[2] = (struct rpc_handler){ TM_DEPLOYMENT_GET,
		(xdrproc_t)xdr_tm_deployment_get,
		sizeof(struct tm_deployment_get),
		(xdrproc_t)xdr_tm_deployment_part, handle_get, s };
}
