/*
 * Stand-in of the weight store, with limited bandwidth.
 *
 *	POST /fetch	{"model": ..., "adapter": ..., "base_ms": ...}; answers
 *			when the fetch is complete
 *	GET (any path)	the number of fetches, and the most at the same time
 *
 * Up to `parallel` fetches of models and `adapters` of adapters run at full
 * speed, in base_ms.  A fetch that starts above this takes longer in proportion
 * to the number in progress.  Fetches of models start at most `rate` times a
 * second; others wait.  Fault besides those of all stand-ins: slow, a factor on
 * the time of a fetch.
 */
#include "standin/standin.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>

struct weight_store {
	struct event_base *base;
	struct standin *standin;
	char *listen;
	double rate; /* model fetches started a second */
	int64_t parallel; /* model fetches at full speed */
	int64_t adapters; /* adapter fetches at full speed */
	double slow;
	int64_t next_start_us; /* earliest start of the next model fetch */
	int64_t model_fetches;
	int64_t adapter_fetches;
	int64_t models_in_transit;
	int64_t adapters_in_transit;
	int64_t peak_models;
	int64_t peak_adapters;
};

struct fetch {
	struct weight_store *store;
	struct evhttp_request *req; /* NULL once the caller disconnected */
	bool adapter;
	struct event *timer;
};

static void
on_fetched(evutil_socket_t fd, short what, void *arg)
{
	struct fetch *f = arg;

	if (f->adapter)
		f->store->adapters_in_transit--;
	else
		f->store->models_in_transit--;
	if (f->req != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(f->req), NULL, NULL);
		standin_reply(f->store->standin, f->req, 200, json_object());
	}
	event_free(f->timer);
	free(f);
}

static void
on_caller_disconnected(struct evhttp_connection *evcon, void *arg)
{
	struct fetch *f = arg;

	f->req = NULL;
}

/* Factor on the duration of a fetch; in_transit includes the fetch itself. */
static double
contention_factor(int64_t in_transit, int64_t limit)
{
	return in_transit > limit ? (double)in_transit / (double)limit : 1;
}

/* Counts a fetch that starts now; returns its duration in microseconds. */
static int64_t
start_fetch(struct weight_store *store, bool adapter, int64_t base_us)
{
	int64_t now = standin_now_us();
	int64_t wait = 0;

	if (adapter) {
		store->adapter_fetches++;
		store->adapters_in_transit++;
		if (store->adapters_in_transit > store->peak_adapters)
			store->peak_adapters = store->adapters_in_transit;
		return (int64_t)((double)base_us * store->slow *
				 contention_factor(store->adapters_in_transit,
				     store->adapters));
	}
	store->model_fetches++;
	store->models_in_transit++;
	if (store->models_in_transit > store->peak_models)
		store->peak_models = store->models_in_transit;
	if (store->next_start_us > now)
		wait = store->next_start_us - now;
	store->next_start_us = now + wait + (int64_t)(1e6 / store->rate);
	return wait + (int64_t)((double)base_us * store->slow *
				contention_factor(
				    store->models_in_transit, store->parallel));
}

static void
handle_fetch(struct weight_store *store, struct evhttp_request *req)
{
	json_t *doc = standin_body(req);
	const char *adapter =
	    json_string_value(json_object_get(doc, "adapter"));
	int64_t base_ms = json_integer_value(json_object_get(doc, "base_ms"));
	struct fetch *f = calloc(1, sizeof(*f));
	struct timeval tv;
	int64_t us;

	if (f == NULL)
		abort();
	f->store = store;
	f->req = req;
	f->adapter = adapter != NULL && adapter[0] != '\0';
	us = start_fetch(store, f->adapter, base_ms * 1000);
	tv.tv_sec = us / 1000000;
	tv.tv_usec = us % 1000000;
	f->timer = evtimer_new(store->base, on_fetched, f);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_caller_disconnected, f);
	evtimer_add(f->timer, &tv);
	json_decref(doc);
}

static void
on_request(void *ctx, struct evhttp_request *req)
{
	struct weight_store *store = ctx;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_POST) {
		handle_fetch(store, req);
		return;
	}
	standin_reply(store->standin, req, 200,
	    json_pack("{s:I,s:I,s:I,s:I}", "models",
		(json_int_t)store->model_fetches, "adapters",
		(json_int_t)store->adapter_fetches, "peak_models",
		(json_int_t)store->peak_models, "peak_adapters",
		(json_int_t)store->peak_adapters));
}

static int
set_fault(void *ctx, const char *name, const json_t *value)
{
	struct weight_store *store = ctx;

	if (strcmp(name, "slow") != 0)
		return -1;
	store->slow = json_number_value(value);
	return 0;
}

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address", 0 },
	{ "rate", 'r', "N", 0, "model fetches started a second", 0 },
	{ "parallel", 'p', "N", 0, "model fetches at full speed", 0 },
	{ "adapters", 'a', "N", 0, "adapter fetches at full speed", 0 },
	{ 0 },
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
	struct weight_store *store = state->input;

	switch (key) {
	case 'l':
		store->listen = arg;
		return 0;
	case 'r':
		store->rate = strtod(arg, NULL);
		return 0;
	case 'p':
		store->parallel = strtoll(arg, NULL, 10);
		return 0;
	case 'a':
		store->adapters = strtoll(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
standin_weights_main(int argc, char **argv)
{
	static const struct argp argp = { .options = options,
		.parser = parse_opt,
		.doc = "A weight store." };
	struct weight_store store = {
		.rate = 2, .parallel = 4, .adapters = 32, .slow = 1
	};
	struct standin_options opts = {
		.handle = on_request,
		.set_fault = set_fault,
		.ctx = &store,
	};

	if (argp_parse(&argp, argc, argv, 0, NULL, &store) != 0 ||
	    store.listen == NULL)
		return 2;
	store.base = event_base_new();
	opts.base = store.base;
	opts.listen = store.listen;
	store.standin = standin_create(&opts);
	if (store.standin == NULL)
		return 1;
	event_base_dispatch(store.base);
	return 0;
}
