#include "bench/journal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <uthash.h>

#include "bench/bench_request.h"
#include "bench/loadgen.h"
#include "common/clock.h"
#include "transport/http_client.h"

#define READ_TIMEOUT_US (10 * USEC_PER_SEC)

struct booking {
	char body[BENCH_BODY_MAX];
	enum bench_outcome outcome;
	unsigned runs; /* in all journals */
	UT_hash_handle hh;
};

struct journal {
	struct event_base *base;
	struct http_client *clients[BENCH_ADDRESSES_MAX];
	size_t count;
	size_t pending; /* calls */
	size_t unread; /* journals that could not be read */
	struct booking *bookings; /* hash table by body */
	json_t *sums; /* of the journals' integer members, by name */
};

struct journal *
journal_create(
    struct event_base *base, const char *const *addresses, size_t count)
{
	struct journal *j = calloc(1, sizeof(*j));

	if (j == NULL)
		abort();
	j->base = base;
	j->sums = json_object();
	for (; j->count < count; j->count++) {
		struct http_client_options opts = {
			.base = base,
			.address = addresses[j->count],
			.max_idle = 1,
		};

		j->clients[j->count] = http_client_create(&opts);
		if (j->clients[j->count] == NULL) {
			fprintf(
			    stderr, "%s: not IP:PORT\n", addresses[j->count]);
			journal_destroy(j);
			return NULL;
		}
	}
	return j;
}

void
journal_destroy(struct journal *j)
{
	struct booking *b, *next;

	if (j == NULL)
		return;
	for (size_t i = 0; i < j->count; i++)
		http_client_destroy(j->clients[i]);
	HASH_ITER(hh, j->bookings, b, next) {
		HASH_DEL(j->bookings, b);
		free(b);
	}
	json_decref(j->sums);
	free(j);
}

void
journal_add_booking(
    struct journal *j, const char *body, enum bench_outcome outcome)
{
	struct booking *b = calloc(1, sizeof(*b));

	if (b == NULL)
		abort();
	snprintf(b->body, sizeof(b->body), "%s", body);
	b->outcome = outcome;
	HASH_ADD_STR(j->bookings, body, b);
}

static void
count_runs(struct journal *j, json_t *runs)
{
	struct booking *b;
	json_t *run;
	size_t i;

	json_array_foreach(runs, i, run)
	{
		const char *body =
		    json_string_value(json_object_get(run, "body"));

		if (body == NULL)
			continue;
		HASH_FIND_STR(j->bookings, body, b);
		if (b != NULL)
			b->runs++;
	}
}

static void
add_sum(json_t *sums, const char *name, json_int_t n)
{
	json_int_t old = json_integer_value(json_object_get(sums, name));

	json_object_set_new(sums, name, json_integer(old + n));
}

static void
on_journal(void *ctx, const struct http_response *resp)
{
	struct journal *j = ctx;
	json_t *doc = NULL, *value;
	const char *name;

	if (resp->status == HTTP_CALL_OK && resp->code == 200) {
		size_t len = evbuffer_get_length(resp->body);

		doc = json_loadb(
		    (char *)evbuffer_pullup(resp->body, -1), len, 0, NULL);
	}
	j->unread += doc == NULL;
	count_runs(j, json_object_get(doc, "runs"));
	json_object_foreach(doc, name, value)
	{
		if (json_is_integer(value))
			add_sum(j->sums, name, json_integer_value(value));
	}
	json_decref(doc);
	if (--j->pending == 0)
		event_base_loopbreak(j->base);
}

static void
read_all(struct journal *j)
{
	struct http_call_options call = {
		.method = EVHTTP_REQ_GET,
		.path = "/journal",
		.timeout_us = READ_TIMEOUT_US,
		.on_done = on_journal,
		.ctx = j,
	};

	j->pending = j->count;
	for (size_t i = 0; i < j->count; i++)
		http_client_call(j->clients[i], &call);
	if (j->pending > 0)
		event_base_dispatch(j->base);
}

static json_t *
check_bookings(const struct journal *j)
{
	json_t *out = json_object();
	const struct booking *b;

	json_object_set_new(out, "ran_twice", json_integer(0));
	json_object_set_new(out, "false_not_run", json_integer(0));
	json_object_set_new(out, "answered_not_run", json_integer(0));
	for (b = j->bookings; b != NULL; b = b->hh.next) {
		if (b->runs > 1)
			add_sum(out, "ran_twice", 1);
		if (b->runs > 0 && b->outcome == BENCH_NOT_RUN)
			add_sum(out, "false_not_run", 1);
		if (b->runs == 0 && b->outcome == BENCH_ANSWERED)
			add_sum(out, "answered_not_run", 1);
	}
	return out;
}

json_t *
journal_check(struct journal *j)
{
	static const char *const violations[] = { "overcommits",
		"double_loads" };
	json_t *broken;

	if (j->count == 0)
		return json_object();
	read_all(j);
	broken = check_bookings(j);
	for (size_t i = 0; i < sizeof(violations) / sizeof(violations[0]); i++)
		add_sum(broken, violations[i],
		    json_integer_value(
			json_object_get(j->sums, violations[i])));
	return json_pack("{s:o,s:O,s:I,s:I}", "broken", broken, "sums", j->sums,
	    "bookings", (json_int_t)HASH_COUNT(j->bookings), "unread",
	    (json_int_t)j->unread);
}
