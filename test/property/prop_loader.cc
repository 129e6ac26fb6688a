// The ledger and the loader against a simulated engine that loses replies, acts
// late, reports outdated states, and runs on when its agent is killed.
//
// Guards against overcommitted memory and a model that is loaded twice.
//
// Each of these mutations fails within the first 100 cases: a reported state
// that counts as newer than an order that ended after it was asked for
// (is_outdated() returns false); a load with a lost reply whose memory is freed
// at once (no uncertain_until_us); a load before a restarted agent has waited
// for its predecessor's orders (predecessor_done set with initialized).
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <glib.h>

extern "C" {
#include "common/clock.h"
#include "common/log.h"
#include "common/metrics.h"
#include "coordination/loader.h"
#include "state/ledger.h"
#include "transport/engine.h"
}

namespace
{

const int64_t linger_us = 500000;
const uint64_t memory_bytes = 100;

using item_key = std::pair<std::string, std::string>;

const std::map<std::string, uint64_t> models = { { "a", 60 }, { "b", 50 },
	{ "c", 40 }, { "d", 30 } };
const uint64_t adapter_bytes = 5;

struct delayed_action {
	int64_t due_us;
	uint64_t agent; // skipped if another runs; 0: never skipped
	std::function<void()> fn;
};

struct loaded_item {
	uint64_t bytes;
	engine_load_state state;
};

// The engine and its network; delays and the outcomes of orders are drawn.
struct fake_engine {
	struct clock *clock;
	uint64_t agent = 1;
	std::vector<delayed_action> queue;
	std::map<item_key, loaded_item> held_items;
	int double_loads = 0;
	bool faults = true;

	uint64_t
	used() const
	{
		uint64_t sum = 0;

		for (const auto &h : held_items)
			sum += h.second.bytes;
		return sum;
	}

	void
	schedule(int64_t delay, uint64_t for_agent, std::function<void()> fn)
	{
		queue.push_back({ clock_now(clock) + delay, for_agent, fn });
	}

	void
	run_due()
	{
		for (size_t i = 0; i < queue.size();) {
			delayed_action action = queue[i];

			if (action.due_us > clock_now(clock)) {
				i++;
				continue;
			}
			queue.erase(queue.begin() + (long)i);
			if (action.agent == 0 || action.agent == agent)
				action.fn();
			i = 0;
		}
	}
};

using reply_fn = std::function<void(enum engine_status)>;

int64_t
draw_us(int64_t low, int64_t high)
{
	return *rc::gen::resize(
	    rc::kNominalSize, rc::gen::inRange<int64_t>(low, high));
}

void
execute_load(fake_engine *e, item_key k, uint64_t bytes, const reply_fn &done)
{
	if (e->held_items.count(k)) {
		e->double_loads++;
		done(ENGINE_REFUSED);
		return;
	}
	if (!k.second.empty() &&
	    (!e->held_items.count({ k.first, "" }) ||
		e->held_items[{ k.first, "" }].state != ENGINE_LOADED)) {
		done(ENGINE_REFUSED);
		return;
	}
	e->held_items[k] = { bytes, ENGINE_LOADING };
	e->schedule(draw_us(1000, 300000), 0, [=] {
		if (e->faults && draw_us(0, 10) == 0) {
			e->held_items.erase(k);
			done(ENGINE_REFUSED);
			return;
		}
		e->held_items[k].state = ENGINE_LOADED;
		done(ENGINE_OK);
	});
}

void
execute_unload(fake_engine *e, item_key k, const reply_fn &done)
{
	if (!e->held_items.count(k)) {
		done(ENGINE_OK);
		return;
	}
	for (const auto &h : e->held_items) {
		if (k.second.empty() && h.first.first == k.first &&
		    !h.first.second.empty()) {
			done(ENGINE_REFUSED);
			return;
		}
	}
	if (e->held_items[k].state == ENGINE_LOADING) {
		done(ENGINE_REFUSED);
		return;
	}
	e->held_items.erase(k);
	done(ENGINE_OK);
}

void
send_order(void *priv, const struct engine_order *o,
    void (*done)(void *, enum engine_status, const char *), void *ctx)
{
	fake_engine *e = static_cast<fake_engine *>(priv);
	uint64_t agent = e->agent;
	item_key k = { o->model, o->adapter };
	uint64_t bytes = o->bytes;
	bool load = o->op == ENGINE_LOAD || o->op == ENGINE_LOAD_ADAPTER;
	int64_t outcome = e->faults ? draw_us(0, 10) : 9;
	reply_fn reply = [=](enum engine_status status) {
		e->schedule(draw_us(1000, 20000), agent,
		    [=] { done(ctx, status, ""); });
	};
	reply_fn no_reply = [](enum engine_status) {};

	// 0: never sent.  1: executed late, reply lost.  2: executed, reply
	// lost.
	if (outcome == 0) {
		reply(ENGINE_NOT_SENT);
		return;
	}
	if (outcome <= 2)
		reply(ENGINE_LOST);
	e->schedule(
	    outcome == 1 ? draw_us(0, linger_us) : draw_us(0, 500), 0, [=] {
		    if (load)
			    execute_load(
				e, k, bytes, outcome <= 2 ? no_reply : reply);
		    else
			    execute_unload(
				e, k, outcome <= 2 ? no_reply : reply);
	    });
}

void
read_state(
    void *priv, void (*done)(void *, const struct engine_state *), void *ctx)
{
	fake_engine *e = static_cast<fake_engine *>(priv);
	uint64_t agent = e->agent;

	if (e->faults && draw_us(0, 10) == 0) {
		e->schedule(20000, agent, [=] { done(ctx, nullptr); });
		return;
	}
	e->schedule(draw_us(0, 50000), agent, [=] {
		auto items = std::make_shared<std::vector<engine_item>>();

		for (const auto &h : e->held_items) {
			engine_item it = {};

			h.first.first.copy(it.model, sizeof(it.model) - 1);
			h.first.second.copy(it.adapter, sizeof(it.adapter) - 1);
			it.state = h.second.state;
			it.bytes = h.second.bytes;
			items->push_back(it);
		}
		e->schedule(draw_us(0, 100000), agent, [=] {
			engine_state st = {};

			st.memory_total = memory_bytes;
			st.max_batch = 4;
			st.remote_load_us = 100000;
			st.items = items->data();
			st.item_count = items->size();
			done(ctx, &st);
		});
	});
}

struct agent {
	fake_engine engine;
	engine_client client;
	struct clock *clock;
	struct logger *logger;
	struct metrics *metrics;
	struct loader *loader = nullptr;
	std::map<std::string, bool> slots;
	std::vector<item_key> pins;
	int permits = 0;
};

uint64_t
fence(void *, const char *)
{
	return 1;
}

enum loader_placement
placement(void *ctx, const char *model)
{
	return static_cast<agent *>(ctx)->slots[model] ? LOADER_PLACED
						       : LOADER_NOT_PLACED;
}

void
request_permit(void *ctx, const struct loader_request *request, bool adapter)
{
	agent *a = static_cast<agent *>(ctx);
	item_key k = { request->model, adapter ? request->adapter : "" };

	a->engine.schedule(draw_us(0, 30000), a->engine.agent, [=] {
		a->permits++;
		loader_permit_reply(
		    a->loader, k.first.c_str(), k.second.c_str(), true);
	});
}

void
return_permit(void *ctx, const char *, const char *)
{
	static_cast<agent *>(ctx)->permits--;
}

void
changed(void *)
{
}

void
start_agent(agent *a)
{
	struct loader_options opts = {};

	opts.clock = a->clock;
	opts.logger = a->logger;
	opts.metrics = a->metrics;
	opts.engine = &a->client;
	opts.state_refresh_us = 50000;
	opts.order_linger_us = linger_us;
	opts.fence = fence;
	opts.placement = placement;
	opts.request_permit = request_permit;
	opts.return_permit = return_permit;
	opts.changed = changed;
	opts.ctx = a;
	a->loader = loader_create(&opts);
}

void
kill_agent(agent *a)
{
	loader_destroy(a->loader);
	a->pins.clear();
	a->permits = 0;
	a->engine.agent++;
	start_agent(a);
}

struct loader_request
make_request(agent *a, const std::string &model, bool adapter)
{
	struct loader_request request = {};

	request.model = models.find(model)->first.c_str();
	request.adapter = adapter ? "x" : "";
	request.model_bytes = models.at(model);
	request.adapter_bytes = adapter_bytes;
	request.rank = "r";
	request.deadline_us = clock_now(a->clock) + 2000000;
	return request;
}

void
check_invariants(agent *a)
{
	RC_ASSERT(a->engine.used() <= memory_bytes);
	RC_ASSERT(a->engine.double_loads == 0);
	RC_ASSERT(ledger_used(loader_ledger(a->loader)) <= memory_bytes);
}

void
random_step(agent *a)
{
	std::string model = *rc::gen::element<std::string>("a", "b", "c", "d");
	struct loader_request request =
	    make_request(a, model, draw_us(0, 3) == 0);

	switch (draw_us(0, 12)) {
	case 0:
		a->slots[model] = !a->slots[model];
		break;
	case 1:
		if (draw_us(0, 4) == 0)
			kill_agent(a);
		break;
	case 2:
		(void)loader_release(a->loader, model.c_str());
		break;
	case 3:
		(void)loader_unload(a->loader, model.c_str(), request.adapter);
		break;
	case 4:
		if (!a->pins.empty()) {
			item_key k = a->pins.back();

			a->pins.pop_back();
			loader_unpin(
			    a->loader, k.first.c_str(), k.second.c_str());
		}
		break;
	default:
		if (loader_request(a->loader, &request) == LOADER_READY &&
		    a->pins.size() < 3) {
			loader_pin(a->loader, request.model, request.adapter);
			a->pins.push_back({ request.model, request.adapter });
		}
	}
}

void
advance_time(agent *a, int64_t us)
{
	clock_advance(a->clock, us);
	a->engine.run_due();
	loader_tick(a->loader);
	check_invariants(a);
}

// Once faults end, a requested model that fits gets ready within 8 s.
void
check_progress(agent *a)
{
	struct loader_request request;
	bool ready = false;

	a->engine.faults = false;
	while (!a->pins.empty()) {
		item_key k = a->pins.back();

		a->pins.pop_back();
		loader_unpin(a->loader, k.first.c_str(), k.second.c_str());
	}
	for (const auto &m : models)
		a->slots[m.first] = true;
	for (int i = 0; i < 800 && !ready; i++) {
		advance_time(a, 10000);
		request = make_request(a, "a", true);
		ready = loader_request(a->loader, &request) == LOADER_READY;
	}
	RC_ASSERT(ready);
}

// A released model is not loaded again without a new slot.
void
check_release(agent *a)
{
	bool released = false;

	a->slots["a"] = false;
	for (int i = 0; i < 400 && !released; i++) {
		advance_time(a, 10000);
		released = loader_release(a->loader, "a");
	}
	RC_ASSERT(released);
	for (int i = 0; i < 100; i++) {
		advance_time(a, 10000);
		RC_ASSERT(a->engine.held_items.count({ "a", "" }) == 0);
	}
	// Permits of loads that are no longer requested have been returned.
	for (int i = 0; i < 300; i++)
		advance_time(a, 10000);
	RC_ASSERT(a->permits == 0);
}

void
run_case()
{
	static const struct engine_client_ops ops = { read_state, send_order,
		nullptr, nullptr, nullptr, nullptr };
	struct logger_options log = {};
	agent a;

	a.clock = clock_create_manual(1000000);
	log.clock = a.clock;
	log.process = "prop";
	log.level = LOG_LEVEL_ERROR;
	log.fd = 2;
	a.logger = logger_create(&log);
	a.metrics = metrics_create();
	a.engine.clock = a.clock;
	a.client.ops = &ops;
	a.client.priv = &a.engine;
	for (const auto &m : models)
		a.slots[m.first] = true;
	start_agent(&a);
	for (int i = 0; i < 150; i++) {
		random_step(&a);
		advance_time(&a, draw_us(0, 40000));
	}
	check_progress(&a);
	check_release(&a);
	loader_destroy(a.loader);
	metrics_destroy(a.metrics);
	logger_destroy(a.logger);
	clock_destroy(a.clock);
}

void
test_memory(void)
{
	g_assert_true(
	    rc::check("memory is never overcommitted, no model is loaded twice",
		[] { run_case(); }));
}

} // namespace

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/loader/memory", test_memory);
	return g_test_run();
}
