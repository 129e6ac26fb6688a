// The admission queue before a simulated engine, on a paused clock.
//
// Shown able to fail: without pick_by_floor() in admission_pop() the floors are
// missed; with the least served tenant no longer first in first_runnable() the
// shares of tenants differ; without admission_displace()'s bound the queue
// outgrows it.
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <cstring>

#include <glib.h>

extern "C" {
#include "coordination/admission.h"
}

namespace
{

const int64_t step_us = 20000;
const double rate = 800; // tokens a second of the whole engine
const unsigned batch = 8;
const uint32_t max_queued = 120;
const uint32_t max_tokens = 60000;

struct work {
	admission_item item;
	double left; // tokens until it ends
	unsigned rank;
	unsigned tenant;
	uint32_t uses;
};

struct rank_plan {
	double floor;
	double uses; // share of the tokens asked for
	uint32_t size;
};

struct bench {
	admission *queue;
	int64_t now = 1000000;
	std::set<work *> waiting, running;
	std::vector<rank_plan> ranks;
	std::vector<double> served; // by rank
	double served_by_tenant[4] = {};
	int ended = 0, pushed = 0, refused = 0, late = 0;
	bool topped_up = false; // before each choice, not only each step
	std::vector<bool> ran_dry; // by rank: no work at some choice
};

// Each case draws one seed; thousands of draws a case would be slow to shrink.
std::mt19937_64 source;

void
draw_seed()
{
	source.seed(*rc::gen::resize(
	    rc::kNominalSize, rc::gen::inRange<uint64_t>(0, 1000000)));
}

int64_t
draw(int64_t low, int64_t high)
{
	return std::uniform_int_distribution<int64_t>(low, high - 1)(source);
}

bool
runnable(void *, admission_item *)
{
	return true;
}

work *
owner(admission_item *item)
{
	return reinterpret_cast<work *>(item);
}

bench
open_bench(const std::vector<rank_plan> &ranks)
{
	admission_options opts = {};
	bench b;

	opts.max_running = batch;
	opts.max_queued = max_queued;
	opts.max_queued_tokens = max_tokens;
	opts.tokens_per_sec = rate;
	opts.seed = 7;
	b.queue = admission_create(&opts);
	b.ranks = ranks;
	b.served.resize(ranks.size());
	b.ran_dry.resize(ranks.size());
	return b;
}

void
finish(bench &b, work *w)
{
	b.ended++;
	delete w;
}

void
push(bench &b, unsigned rank, unsigned tenant, int64_t patience_us)
{
	const rank_plan &plan = b.ranks[rank];
	work *w = new work();
	admission_item *displaced;
	int64_t retry = 0;

	snprintf(w->item.rank, sizeof(w->item.rank), "rank%u", rank);
	snprintf(w->item.tenant, sizeof(w->item.tenant), "tenant%u", tenant);
	w->item.rank_order = rank;
	w->item.rank_floor = plan.floor;
	w->item.tokens = plan.size;
	w->item.deadline_us = b.now + patience_us;
	w->item.preemptible = true;
	w->rank = rank;
	w->tenant = tenant;
	w->uses = std::max(1u, (unsigned)(plan.size * plan.uses));
	w->left = w->uses;
	if (admission_push(b.queue, &w->item, b.now, &retry) != RESULT_OK) {
		b.refused++;
		RC_ASSERT(retry >= 1000000);
		delete w;
	} else {
		b.pushed++;
		b.waiting.insert(w);
	}
	while ((displaced = admission_pop_displaced(b.queue)) != nullptr) {
		b.waiting.erase(owner(displaced));
		finish(b, owner(displaced));
	}
}

void
expire(bench &b)
{
	admission_item *it;

	while ((it = admission_pop_expired(b.queue, b.now)) != nullptr) {
		b.waiting.erase(owner(it));
		b.late++;
		finish(b, owner(it));
	}
	while ((it = admission_find_overdue(b.queue, b.now)) != nullptr) {
		admission_remove(b.queue, it, 0, b.now);
		b.running.erase(owner(it));
		b.late++;
		finish(b, owner(it));
	}
}

unsigned
waiting_of(const bench &b, unsigned rank)
{
	return (unsigned)std::count_if(b.waiting.begin(), b.waiting.end(),
	    [=](const work *w) { return w->rank == rank; });
}

void
keep_waiting(bench &b, unsigned rank)
{
	while (waiting_of(b, rank) < 3)
		push(b, rank, (unsigned)draw(0, 4), 3600000000);
}

// What each rank has for the next choice.
void
before_choice(bench &b)
{
	for (unsigned r = 0; r < b.ranks.size(); r++) {
		if (b.topped_up)
			keep_waiting(b, r);
		if (b.running.size() < batch && waiting_of(b, r) == 0)
			b.ran_dry[r] = true;
	}
}

void
schedule(bench &b)
{
	admission_item *it;

	for (;;) {
		before_choice(b);
		it = admission_pop(b.queue, b.now, runnable, nullptr);
		if (it != nullptr) {
			RC_ASSERT(it->deadline_us > b.now);
			RC_ASSERT(b.waiting.erase(owner(it)) == 1u);
			b.running.insert(owner(it));
			continue;
		}
		it = admission_preempt(b.queue, b.now, runnable, nullptr);
		if (it == nullptr)
			return;
		RC_ASSERT(b.running.erase(owner(it)) == 1u);
		b.waiting.insert(owner(it));
	}
}

void
pass_time(bench &b, bool count)
{
	double each = rate / batch * step_us / 1e6;

	b.now += step_us;
	for (auto i = b.running.begin(); i != b.running.end();) {
		work *w = *i++;

		if (count) {
			b.served[w->rank] += std::min(each, w->left);
			b.served_by_tenant[w->tenant] +=
			    std::min(each, w->left);
		}
		w->left -= each;
		if (w->left > 0)
			continue;
		b.running.erase(w);
		admission_remove(b.queue, &w->item, w->uses, b.now);
		finish(b, w);
	}
	expire(b);
	schedule(b);
	RC_ASSERT(admission_queued(b.queue) == b.waiting.size());
	RC_ASSERT(admission_running(b.queue) == b.running.size());
	RC_ASSERT(b.running.size() <= batch);
	RC_ASSERT(b.waiting.empty() || b.running.size() == batch);
	RC_ASSERT(admission_queued(b.queue) <= max_queued);
}

void
close_bench(bench &b)
{
	RC_ASSERT(
	    b.ended + (int)(b.waiting.size() + b.running.size()) == b.pushed);
	for (work *w : b.waiting)
		delete w;
	for (work *w : b.running)
		delete w;
	admission_destroy(b.queue);
}

std::vector<rank_plan>
draw_ranks()
{
	std::vector<rank_plan> ranks;
	double left = 0.9;

	for (int i = 0; i < 3; i++) {
		double floor = left * (double)draw(5, 60) / 100;

		left -= floor;
		ranks.push_back({ floor, (double)draw(5, 100) / 100,
		    (uint32_t)draw(50, 600) });
	}
	return ranks;
}

// Ranks beside the flooding one whose floors were judged: others ran dry.
unsigned judged;

// One rank floods, also the most urgent; the others always have work waiting.
// Several places can come free in one step, and a floor is owed only while
// work waits: either each rank has work again before the next place is given,
// or a rank that ran dry is owed nothing.
void
check_floors(bool topped_up)
{
	bench b = open_bench(draw_ranks());
	unsigned flooding = (unsigned)draw(0, 3);
	double total = 0;
	int steps = 6000;

	// A floor is paid in whole items: one of them is 2.5 in 100 at most.
	for (const rank_plan &plan : b.ranks)
		steps = std::max(
		    steps, 300 + (int)(40 * plan.size * plan.uses /
				       (plan.floor * rate * step_us / 1e6)));
	b.topped_up = topped_up;
	for (int i = 0; i < steps; i++) {
		for (unsigned r = 0; r < 3; r++)
			keep_waiting(b, r);
		for (int n = 0; n < 8; n++)
			push(b, flooding, (unsigned)draw(0, 4), 3600000000);
		pass_time(b, i > 300);
	}
	for (double s : b.served)
		total += s;
	for (unsigned r = 0; r < 3; r++) {
		RC_ASSERT(!topped_up || !b.ran_dry[r]);
		if (b.ran_dry[r])
			continue;
		judged += r != flooding;
		RC_ASSERT(b.served[r] >= 0.95 * b.ranks[r].floor * total);
	}
	close_bench(b);
}

// One tenant asks ten times as often as the others; all get the same.
void
check_tenants()
{
	draw_seed();
	bench b = open_bench({ { 0, 0.5, (uint32_t)draw(50, 400) } });
	double low, high;

	for (int i = 0; i < 1500; i++) {
		for (int n = 0; n < 10; n++)
			push(b, 0, 0, 3600000000);
		push(b, 0, 1, 3600000000);
		push(b, 0, 2, 3600000000);
		pass_time(b, i > 500);
	}
	low = *std::min_element(b.served_by_tenant, b.served_by_tenant + 3);
	high = *std::max_element(b.served_by_tenant, b.served_by_tenant + 3);
	RC_ASSERT(low >= 0.9 * high);
	close_bench(b);
}

// Anything goes: nothing is lost, started late, or beyond the bounds.
void
check_random()
{
	draw_seed();
	bench b = open_bench(draw_ranks());

	for (int i = 0; i < 400; i++) {
		for (int64_t n = draw(0, 8); n > 0; n--)
			push(b, (unsigned)draw(0, 3), (unsigned)draw(0, 4),
			    draw(1000, 5000000));
		pass_time(b, false);
	}
	close_bench(b);
}

// In a steady flood, what is accepted ends in time.
void
check_promises()
{
	draw_seed();
	bench b = open_bench(
	    { { 0.2, 0.5, 100 }, { 0.2, 0.25, 200 }, { 0.2, 1, 150 } });
	int pushed = 0, late = 0;

	for (int i = 0; i < 1500; i++) {
		for (unsigned r = 0; r < 3; r++)
			push(b, r, (unsigned)draw(0, 4), 4000000);
		pass_time(b, false);
		if (i == 500) { // has seen how long answers are
			pushed = b.pushed;
			late = b.late;
		}
	}
	RC_ASSERT(b.refused > b.pushed);
	RC_ASSERT(b.late - late <= (b.pushed - pushed) / 20);
	close_bench(b);
}

void
test_floors(void)
{
	g_assert_true(rc::check("each rank keeps its floor in any flood", [] {
		draw_seed();
		check_floors(true);
	}));
}

// An urgent rank that runs dry lets others in, and then preempts them.
void
test_floors_light(void)
{
	judged = 0;
	g_assert_true(
	    rc::check("each rank that has work waiting keeps its floor", [] {
		    draw_seed();
		    check_floors(false);
	    }));
	g_test_message("%u of 200 lesser ranks were judged", judged);
	g_assert_cmpuint(judged, >, 0);
}

// The draw of RC_PARAMS="seed=24": a rank was charged twice for what was
// preempted, and got 90 in 100 of its floor.
void
test_floors_preempted(void)
{
	bool played = false; // the same draw each time: once is enough

	g_assert_true(rc::check("what is preempted is charged once", [&] {
		if (played)
			return;
		played = true;
		source.seed(541488);
		check_floors(false);
	}));
}

void
test_tenants(void)
{
	g_assert_true(rc::check("tenants share a rank", check_tenants));
}

void
test_random(void)
{
	g_assert_true(rc::check("every item ends once, within the bounds", [] {
		for (int i = 0; i < 10; i++)
			check_random();
	}));
}

void
test_promises(void)
{
	g_assert_true(
	    rc::check("what is accepted ends in time", check_promises));
}

} // namespace

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/admission/floors", test_floors);
	g_test_add_func("/admission/floors_light", test_floors_light);
	g_test_add_func("/admission/floors_preempted", test_floors_preempted);
	g_test_add_func("/admission/tenants", test_tenants);
	g_test_add_func("/admission/random", test_random);
	g_test_add_func("/admission/promises", test_promises);
	return g_test_run();
}
