/*
 * Stand-in of a model engine with continuous batching and a prefix cache.
 *
 *	GET /engine/state	memory, caches and number of running streams
 *	POST /engine/orders	load, unload, load_adapter, unload_adapter
 *	POST /engine/generate	JSON lines {"i": n, "t": text}, then {"done": n}
 *	DELETE /engine/streams/ID	cancels a stream
 *	GET /engine/events?from=N	events of the prefix cache
 *	GET /journal		counters by which tests check the system
 *
 * The tokens are those of common/synthetic_text.h, so that a client can verify
 * an answer.  Faults besides those of all stand-ins:
 *
 *	lag_ms		age up to which that number may be out of date
 *	event_gap	leave out every nth event
 *	fail_loads	number of loads to fail
 *	slow		factor on token times, and on the times of loads that
 *			do not fetch from the weight store
 *	die_mid_load	accepted, without effect
 *	endless		go on with answers after the tokens asked for
 *	crash_prompt	crash when the answer to a prompt with this text begins:
 *			close the connections of all streams, and accept no
 *			request for crash_ms
 */
#include "standin/engine.h"
#include "standin/standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <event2/event.h>

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct engine_server *e = ctx;
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	const char *streams = "/engine/streams/";

	if (e->crashed && strcmp(path, "/journal") != 0)
		standin_drop(req);
	else if (strcmp(path, "/engine/state") == 0)
		engine_handle_state(e, req);
	else if (strcmp(path, "/engine/orders") == 0)
		engine_handle_order(e, req);
	else if (strcmp(path, "/engine/generate") == 0)
		engine_handle_generate(e, req);
	else if (strcmp(path, "/engine/events") == 0)
		engine_handle_events(e, req);
	else if (strncmp(path, streams, strlen(streams)) == 0)
		engine_handle_cancel(e, req, path + strlen(streams));
	else if (strcmp(path, "/journal") == 0)
		engine_handle_journal(e, req);
	else
		standin_reply(e->standin, req, 404, json_object());
}

static int
set_fault(void *ctx, const char *name, const json_t *value)
{
	struct engine_server *e = ctx;

	if (strcmp(name, "lag_ms") == 0)
		e->lag_ms = json_integer_value(value);
	else if (strcmp(name, "event_gap") == 0)
		e->event_gap = json_integer_value(value);
	else if (strcmp(name, "fail_loads") == 0)
		e->fail_loads = json_integer_value(value);
	else if (strcmp(name, "slow") == 0)
		e->slow = json_number_value(value);
	else if (strcmp(name, "die_mid_load") == 0)
		e->die_mid_load = json_is_true(value);
	else if (strcmp(name, "endless") == 0)
		e->endless = json_is_true(value);
	else if (strcmp(name, "crash_prompt") == 0)
		strlcpy(e->crash_prompt, json_string_value(value),
		    sizeof(e->crash_prompt));
	else if (strcmp(name, "crash_ms") == 0)
		e->crash_ms = json_integer_value(value);
	else
		return -1;
	return 0;
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address", 0 },
	{ "weights", 'w', "IP:PORT", 0, "weight store for remote checkpoints",
	    0 },
	{ "cache", 'c', "MODEL=TIER,...", 0,
	    "models cached at the start, in memory or on disk", 0 },
	{ "memory-mib", 'm', "N", 0, "accelerator memory", 0 },
	{ "memory-ms", 'M', "MS", 0, "load time from memory", 0 },
	{ "disk-ms", 'D', "MS", 0, "load time from disk", 0 },
	{ "remote-ms", 'R', "MS", 0, "load time from the weight store", 0 },
	{ "adapter-ms", 'A', "MS", 0, "load time of an adapter", 0 },
	{ "token-ms", 't', "MS", 0, "time between tokens", 0 },
	{ "prefill-us", 'p', "US", 0, "prefill time of a prompt token", 0 },
	{ "batch", 'b', "N", 0, "streams generated at the same time", 0 },
	{ "fencing", 'f', NULL, 0, "refuse orders with an old fencing token",
	    0 },
	{ 0 },
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct engine_server *e = state->input;

	switch (key) {
	case 'l':
		e->listen = arg;
		return 0;
	case 'w':
		e->weights = arg;
		return 0;
	case 'c':
		engine_set_caches(e, arg);
		return 0;
	case 'm':
		e->memory_total = strtoull(arg, NULL, 10) << 20;
		return 0;
	case 'M':
		e->load_ms[ENGINE_TIER_MEMORY] = strtoll(arg, NULL, 10);
		return 0;
	case 'D':
		e->load_ms[ENGINE_TIER_DISK] = strtoll(arg, NULL, 10);
		return 0;
	case 'R':
		e->load_ms[ENGINE_TIER_REMOTE] = strtoll(arg, NULL, 10);
		return 0;
	case 'A':
		e->adapter_ms = strtoll(arg, NULL, 10);
		return 0;
	case 't':
		e->token_us = (int64_t)(strtod(arg, NULL) * 1000);
		return 0;
	case 'p':
		e->prefill_us = strtoll(arg, NULL, 10);
		return 0;
	case 'b':
		e->max_batch = strtoll(arg, NULL, 10);
		return 0;
	case 'f':
		e->checks_fencing = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
standin_engine_main(int argc, char **argv)
{
	static const struct argp argp = { .options = options,
		.parser = parse_opt,
		.doc = "A model engine." };
	struct engine_server e = {
		.memory_total = 24576ULL << 20,
		.load_ms = { 1500, 500, 100 },
		.adapter_ms = 7,
		.token_us = 5000,
		.prefill_us = 20,
		.max_batch = 8,
		.slow = 1,
	};
	struct standin_options opts = {
		.handle = on_request,
		.set_fault = set_fault,
		.ctx = &e,
	};

	engine_init(&e);
	if (argp_parse(&argp, argc, argv, 0, NULL, &e) != 0 || e.listen == NULL)
		return 2;
	e.base = event_base_new();
	if (engine_create_store_client(&e) == -1)
		return 2;
	opts.base = e.base;
	opts.listen = e.listen;
	e.standin = standin_create(&opts);
	if (e.standin == NULL)
		return 1;
	event_base_dispatch(e.base);
	return 0;
}
