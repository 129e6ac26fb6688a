// Properties of the control fold over random records, stale and duplicate ones
// included.
//
// Guards against more slots than decided replicas, and against readers that
// disagree after a restore from a snapshot.
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include <glib.h>

extern "C" {
#include "state/control.h"
}

namespace
{

struct Record {
	tm_control_record rec;
	std::string model, runner;

	tm_control_record
	raw()
	{
		tm_control_record r = rec;

		if (r.body.type == TM_DECIDE)
			r.body.tm_control_body_u.decide.model = &model[0];
		if (r.body.type == TM_ASSIGN) {
			r.body.tm_control_body_u.assign.model = &model[0];
			r.body.tm_control_body_u.assign.runner = &runner[0];
		}
		if (r.body.type == TM_LEASE_CLAIM) {
			r.body.tm_control_body_u.claim.holder = &runner[0];
			r.body.tm_control_body_u.claim.address = &runner[0];
		}
		return r;
	}
};

control *
create_fold()
{
	control_options opts = {};

	opts.shards = 1;
	return control_create(&opts);
}

// Draws a record that fits the fold's state, or one of an earlier epoch if
// stale is not 0.
Record
draw_record(const control *c, uint64_t stale)
{
	static const tm_control_type types[] = { TM_LEASE_CLAIM, TM_LEASE_RENEW,
		TM_DECIDE, TM_DECIDE, TM_ASSIGN, TM_ASSIGN, TM_ASSIGN,
		TM_RELEASE, TM_RELEASED };
	const struct control_lease *lease = control_lease(c, 0);
	const struct control_model *m;
	Record r = {};

	r.model = *rc::gen::element<std::string>("a", "b");
	r.runner = *rc::gen::element<std::string>("r1", "r2", "r3");
	r.rec.body.type = types[*rc::gen::inRange(0, 9)];
	r.rec.epoch = stale ? stale : lease->epoch;
	m = control_model(c, r.model.c_str());
	r.rec.expects = m ? m->version : 0;
	if (r.rec.body.type == TM_LEASE_CLAIM)
		r.rec.body.tm_control_body_u.claim.replaces =
		    stale ? stale : lease->epoch;
	if (r.rec.body.type == TM_LEASE_RENEW)
		r.rec.expects = lease->version;
	if (r.rec.body.type == TM_DECIDE)
		r.rec.body.tm_control_body_u.decide.replicas =
		    static_cast<u_int>(*rc::gen::inRange(0, 3));
	if (r.rec.body.type == TM_RELEASE || r.rec.body.type == TM_RELEASED) {
		const struct control_slot *s =
		    control_next_slot(c, r.model.c_str(), nullptr);

		r.rec.body.tm_control_body_u.release_slot = s ? s->id : 7;
	}
	return r;
}

void
check_bounds(const control *c)
{
	const struct control_model *m = nullptr;

	while ((m = control_next_model(c, m)) != nullptr) {
		const struct control_slot *s = nullptr;
		unsigned count = 0;

		while ((s = control_next_slot(c, m->name, s)) != nullptr)
			count++;
		RC_ASSERT(count == m->slots);
		RC_ASSERT(m->slots <= m->decided);
	}
}

bool
is_same_state(const control *a, const control *b)
{
	tm_control_snapshot x, y;
	char *bufs[2];
	u_int lens[2];
	const control *folds[2] = { a, b };
	tm_control_snapshot *snaps[2] = { &x, &y };
	bool same;

	for (int i = 0; i < 2; i++) {
		XDR xdrs;

		control_snapshot(folds[i], snaps[i]);
		lens[i] = static_cast<u_int>(xdr_sizeof(
		    reinterpret_cast<xdrproc_t>(xdr_tm_control_snapshot),
		    snaps[i]));
		bufs[i] = static_cast<char *>(calloc(1, lens[i]));
		xdrmem_create(&xdrs, bufs[i], lens[i], XDR_ENCODE);
		xdr_tm_control_snapshot(&xdrs, snaps[i]);
		xdr_free(reinterpret_cast<xdrproc_t>(xdr_tm_control_snapshot),
		    reinterpret_cast<char *>(snaps[i]));
	}
	same = lens[0] == lens[1] && memcmp(bufs[0], bufs[1], lens[0]) == 0;
	free(bufs[0]);
	free(bufs[1]);
	return same;
}

// apply_assign() without its decided check fails this test.
void
slots_never_exceed_decided()
{
	control *c = create_fold();
	std::vector<Record> sent;
	uint64_t offset = 1;

	for (int i = 0; i < 60; i++) {
		uint64_t stale = *rc::gen::weightedElement<uint64_t>(
		    { { 8, 0 }, { 1, 1 }, { 1, 2 } });
		bool repeat = !sent.empty() && *rc::gen::inRange(0, 5) == 0;
		Record r = repeat ? sent[static_cast<size_t>(*rc::gen::inRange(
					0, static_cast<int>(sent.size())))]
				  : draw_record(c, stale);
		tm_control_record raw = r.raw();

		sent.push_back(r);
		control_apply(c, offset++, &raw);
		check_bounds(c);
	}
	control_destroy(c);
}

// A snapshot without the models' versions fails this test.
void
readers_agree_from_any_snapshot()
{
	control *from_start = create_fold(), *from_snapshot = create_fold();
	int snapshot_offset = *rc::gen::inRange(0, 60);

	for (uint64_t offset = 1; offset <= 60; offset++) {
		Record r = draw_record(from_start, 0);
		tm_control_record raw = r.raw();

		if (static_cast<int>(offset) == snapshot_offset) {
			tm_control_snapshot snap;

			control_snapshot(from_start, &snap);
			control_restore(from_snapshot, &snap);
			xdr_free(reinterpret_cast<xdrproc_t>(
				     xdr_tm_control_snapshot),
			    reinterpret_cast<char *>(&snap));
		}
		control_apply(from_start, offset, &raw);
		if (static_cast<int>(offset) >= snapshot_offset)
			control_apply(from_snapshot, offset, &raw);
	}
	RC_ASSERT(is_same_state(from_start, from_snapshot));
	control_destroy(from_start);
	control_destroy(from_snapshot);
}

void
test_slots()
{
	g_assert_true(rc::check(
	    "slots never exceed decided", slots_never_exceed_decided));
}

void
test_snapshot()
{
	g_assert_true(rc::check("readers agree from any snapshot",
	    readers_agree_from_any_snapshot));
}

} // namespace

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/control/slots", test_slots);
	g_test_add_func("/control/snapshot", test_snapshot);
	return g_test_run();
}
