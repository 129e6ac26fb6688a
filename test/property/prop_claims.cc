// Properties of the claims fold: all readers of a stream agree, and a key has
// one owner at a time.
//
// Guards against a request that runs twice under one idempotency key, as two
// daemons both take the key, or one frees the claim of another.
//
// Each of these mutations fails the test: a second claim that wins (`won =
// true` in apply_take()); a free that is accepted from any owner (no
// claim_owner_equal() in claims_apply()).
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include <cstring>

#include <glib.h>

extern "C" {
#include "state/claims.h"
}

namespace
{

struct event {
	tm_claim_type type;
	std::string key;
	uint64_t owner;
};

tm_claim_record
record_from_event(event &e)
{
	tm_claim_record rec = {};

	rec.type = e.type;
	rec.key = &e.key[0];
	rec.incarnation = e.owner;
	rec.content_type = const_cast<char *>("");
	rec.digest = e.owner;
	rec.kept = true;
	rec.answer.answer_val = &e.key[0];
	rec.answer.answer_len = 1;
	return rec;
}

struct reader {
	claims *fold;
	// Keys and the owners that won them, in order.
	std::vector<std::pair<std::string, uint64_t>> wins;
};

void
on_claim(void *ctx, const char *key, const claim_owner *owner, bool won)
{
	if (won)
		static_cast<reader *>(ctx)->wins.push_back(
		    { key, owner->incarnation });
}

reader *
create_reader()
{
	reader *r = new reader();
	claims_options opts = {};

	opts.lifetime_us = 1000;
	opts.max_keys = 100;
	opts.max_answer_bytes = 100;
	opts.on_claim = on_claim;
	opts.ctx = r;
	r->fold = claims_create(&opts);
	return r;
}

void
destroy_reader(reader *r)
{
	claims_destroy(r->fold);
	delete r;
}

event
draw_event()
{
	event e;

	e.type = *rc::gen::element(TM_CLAIM_TAKE, TM_CLAIM_TAKE, TM_CLAIM_TAKE,
	    TM_CLAIM_DONE, TM_CLAIM_FREED);
	e.key = *rc::gen::element<std::string>("a", "b", "c");
	e.owner = *rc::gen::element<uint64_t>(1, 2, 3, 4);
	return e;
}

// A reference model of the fold: the state of one key.
struct model_key {
	uint64_t owner = 0;
	claim_state state = CLAIM_FREE;
};

void
apply_model(
    std::map<std::string, model_key> &keys, reader &expected, const event &e)
{
	model_key &k = keys[e.key];

	if (e.type == TM_CLAIM_TAKE) {
		if (k.state != CLAIM_FREE || k.owner == e.owner)
			return;
		k.owner = e.owner;
		k.state = CLAIM_TAKEN;
		expected.wins.push_back({ e.key, e.owner });
	} else if (k.state == CLAIM_TAKEN && k.owner == e.owner) {
		k.state = e.type == TM_CLAIM_DONE ? CLAIM_DONE : CLAIM_FREE;
	}
}

void
check_order()
{
	std::map<std::string, model_key> keys;
	reader *early = create_reader(), *late = create_reader();
	reader expected = {};
	std::vector<event> log;

	for (int i = 0; i < 60; i++) {
		event e = log.empty() || *rc::gen::inRange(0, 5) != 0
			      ? draw_event()
			      : log[*rc::gen::inRange<size_t>(0, log.size())];

		log.push_back(e);
	}
	for (event &e : log) {
		tm_claim_record rec = record_from_event(e);

		claims_apply(early->fold, &rec, 0);
		apply_model(keys, expected, e);
		for (const auto &k : keys) {
			claim c = claims_find(early->fold, k.first.c_str());

			RC_ASSERT(c.state == k.second.state);
			RC_ASSERT(c.state == CLAIM_FREE ||
				  c.owner.incarnation == k.second.owner);
		}
	}
	for (event &e : log) {
		tm_claim_record rec = record_from_event(e);

		claims_apply(late->fold, &rec, 500);
	}
	RC_ASSERT(early->wins == expected.wins);
	RC_ASSERT(late->wins == expected.wins);
	claims_expire(late->fold, 1600);
	RC_ASSERT(claims_count(late->fold) == 0u);
	destroy_reader(early);
	destroy_reader(late);
}

void
test_order(void)
{
	g_assert_true(
	    rc::check("the first claim of a key wins, for all readers", [] {
		    for (int i = 0; i < 20; i++)
			    check_order();
	    }));
}

} // namespace

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/claims/order", test_order);
	return g_test_run();
}
