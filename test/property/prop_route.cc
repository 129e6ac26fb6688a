// Properties of the routing policy, the prefix map and the retry budget.
//
// Guards against requests routed to unusable or slower agents, several cold
// slots that load one model for entries of different zones, and retries that
// multiply an overload.
#include <algorithm>
#include <string>
#include <vector>

#include <glib.h>
#include <rapidcheck.h>

extern "C" {
#include "common/rng.h"
#include "coordination/prefix_map.h"
#include "coordination/retry_budget.h"
#include "coordination/router.h"
}

namespace
{

// Margins within which the router may prefer a slower candidate.
constexpr int64_t kTieUs = 1000; // the times count as equal
constexpr int64_t kZoneUs = 3000; // the other is in another data centre

struct Fleet {
	std::vector<std::string> names;
	std::vector<router_candidate> candidates;
};

Fleet
draw_fleet()
{
	Fleet f;
	auto n = *rc::gen::inRange<size_t>(1, 12);

	for (size_t i = 0; i < n; i++)
		f.names.push_back("runner-" + std::to_string(i));
	for (size_t i = 0; i < n; i++) {
		router_candidate c = {};

		c.vm = f.names[i].c_str();
		c.usable = *rc::gen::inRange(0, 4) > 0;
		c.same_zone = *rc::gen::arbitrary<bool>();
		c.load_us = *rc::gen::element<int64_t>(
		    0, 0, 800000, 4000000, ROUTER_LOAD_UNKNOWN);
		c.loading = c.load_us > 0 && *rc::gen::arbitrary<bool>();
		c.queued_tokens = *rc::gen::inRange<uint32_t>(0, 20000);
		c.tokens_per_sec =
		    *rc::gen::element<uint32_t>(0, 200, 400, 1600);
		c.report_age_us = *rc::gen::inRange<int64_t>(-1, 10000000);
		c.unreported_tokens = *rc::gen::inRange<uint32_t>(0, 4000);
		c.prefix_cached = *rc::gen::arbitrary<bool>();
		c.correction = *rc::gen::element(0.0, 0.5, 1.0, 3.0);
		f.candidates.push_back(c);
	}
	return f;
}

router_query
draw_query()
{
	router_query q = {};

	q.model = "alpha";
	q.prompt_tokens = *rc::gen::inRange<uint32_t>(1, 4000);
	q.max_tokens = *rc::gen::inRange<uint32_t>(1, 2000);
	return q;
}

int64_t
predicted_us(const router_query &q, const router_candidate &c)
{
	return router_predict(&q, &c).total_us;
}

void
prop_fastest()
{
	Fleet f = draw_fleet();
	router_query q = draw_query();
	router_choice r =
	    router_choose(&q, f.candidates.data(), f.candidates.size());
	bool any = false;

	for (const auto &c : f.candidates)
		any |= c.usable;
	RC_ASSERT(any == (r.index >= 0));
	if (!any)
		return;
	RC_ASSERT(f.candidates[(size_t)r.index].usable);
	for (const auto &c : f.candidates) {
		if (c.usable)
			RC_ASSERT(r.predicted.total_us <=
				  predicted_us(q, c) + kTieUs + kZoneUs);
	}
}

void
prop_order()
{
	Fleet f = draw_fleet();
	router_query q = draw_query();
	auto reversed = f.candidates;
	router_choice a, b;

	std::reverse(reversed.begin(), reversed.end());
	a = router_choose(&q, f.candidates.data(), f.candidates.size());
	b = router_choose(&q, reversed.data(), reversed.size());
	RC_ASSERT((a.index == -1) == (b.index == -1));
	if (a.index != -1)
		RC_ASSERT(f.candidates[(size_t)a.index].vm ==
			  reversed[(size_t)b.index].vm);
}

void
prop_cold_slot()
{
	Fleet f = draw_fleet();
	router_query q = draw_query();
	auto other = f.candidates;
	router_choice a, b;

	for (size_t i = 0; i < other.size(); i++) {
		f.candidates[i].load_us = 4000000;
		f.candidates[i].loading = false;
		f.candidates[i].same_zone = i % 2 == 0;
		other[i] = f.candidates[i];
		other[i].same_zone = i % 3 == 0;
	}
	a = router_choose(&q, f.candidates.data(), f.candidates.size());
	b = router_choose(&q, other.data(), other.size());
	RC_ASSERT(a.index == b.index);
}

void
prop_queue()
{
	Fleet f = draw_fleet();
	router_query q = draw_query();
	router_candidate longer = f.candidates[0];

	longer.queued_tokens += *rc::gen::inRange<uint32_t>(0, 5000);
	longer.unreported_tokens += *rc::gen::inRange<uint32_t>(0, 5000);
	RC_ASSERT(predicted_us(q, longer) >= predicted_us(q, f.candidates[0]));
}

void
prop_correction()
{
	double ratio = *rc::gen::element(0.2, 0.5, 1.0, 2.0, 5.0);
	router_prediction p = { 100000, 1000000, 1100000 };
	double c = 0;

	for (int i = 0; i < 100; i++)
		c = router_correct(c, &p, 100000 + (int64_t)(ratio * 1000000));
	RC_ASSERT(c > 0.95 * ratio && c < 1.05 * ratio);
}

void
prop_one_measurement()
{
	router_prediction p = { 0, 1000000, 1000000 };
	auto us = *rc::gen::inRange<int64_t>(0, 3600000000);
	double c = router_correct(1, &p, us);

	RC_ASSERT(c > 0.9 && c < 2.0);
}

void
prop_prefix_map()
{
	prefix_map *m = prefix_map_create(64);
	auto keys = *rc::gen::container<std::vector<uint64_t>>(
	    200, rc::gen::inRange<uint64_t>(1, 100000));

	for (auto key : keys) {
		prefix_map_add(m, key);
		RC_ASSERT(prefix_map_has(m, key));
	}
	prefix_map_destroy(m);
}

void
prop_retry_budget()
{
	retry_budget_options o = { 0.2, 10, 10, 4 };
	retry_budget *b = retry_budget_create(&o);
	auto n = *rc::gen::inRange(0, 500);
	int withdrawn = 0;

	for (int i = 0; i < n; i++) {
		retry_budget_deposit(b, "alpha");
		withdrawn += retry_budget_withdraw(b, "alpha");
		withdrawn += retry_budget_withdraw(b, "alpha");
	}
	RC_ASSERT(withdrawn <= 10 + 0.2 * n + 1e-6);
	RC_ASSERT(retry_budget_withdraw(b, "beta"));
	retry_budget_destroy(b);
}

void
prop_retry_after()
{
	rng r;
	auto hint = *rc::gen::inRange<int64_t>(0, 100000);
	int64_t low = INT64_MAX, high = 0;

	rng_seed(&r, *rc::gen::arbitrary<uint64_t>());
	for (int i = 0; i < 64; i++) {
		int64_t ms = retry_after_jitter(&r, hint);

		low = std::min(low, ms);
		high = std::max(high, ms);
	}
	RC_ASSERT(low >= std::max<int64_t>(hint, 1000));
	RC_ASSERT(high <= std::max<int64_t>(hint, 1000) * 3 / 2);
	RC_ASSERT(high - low > std::max<int64_t>(hint, 1000) / 8);
}

struct property {
	const char *path;
	const char *text;
	void (*check)();
};

const property properties[] = {
	{ "/route/fastest",
	    "the choice is usable, and no other is faster beyond the margins",
	    prop_fastest },
	{ "/route/order", "the order of the candidates does not matter",
	    prop_order },
	{ "/route/cold_slot", "entries of all zones choose the same cold slot",
	    prop_cold_slot },
	{ "/route/queue", "more queued work never lowers the predicted time",
	    prop_queue },
	{ "/route/correction", "the correction converges on the measured ratio",
	    prop_correction },
	{ "/route/one_measurement",
	    "one measurement moves the correction little",
	    prop_one_measurement },
	{ "/route/prefix_map", "the map holds the prefix that was added last",
	    prop_prefix_map },
	{ "/route/retry_budget", "retries stay within their share and burst",
	    prop_retry_budget },
	{ "/route/retry_after", "Retry-After is at least the hint, with jitter",
	    prop_retry_after },
};

void
run_property(const void *arg)
{
	const auto *p = static_cast<const property *>(arg);

	g_assert_true(rc::check(p->text, p->check));
}

} // namespace

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	for (const auto &p : properties)
		g_test_add_data_func(p.path, &p, run_property);
	return g_test_run();
}
