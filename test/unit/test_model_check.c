/*
 * Model check of the control fold: explores every interleaving, up to a bound,
 * of two writers, two runners and a log that delays, duplicates and loses
 * appends.  Guards against more replicas loaded than decided, records accepted
 * from a writer that lost the lease, and slots freed before their release.
 *
 * A writer appends from its view, the prefix of the log that it read last; a
 * paused writer is one that does not read for some time.  Writers do not check
 * their records: they also append ones for more slots, or fewer replicas, than
 * their view allows, and free slots that they never released.  An agent loads
 * by its own, older view, and confirms a release after it has caught up and
 * unloaded.  States that differ only in the values of offsets, in the names of
 * writers or in the order of appends in flight count as one.
 *
 * Each of these mutations of src/state/control.c fails the test:
 *   apply_assign() without its decided check;
 *   apply_record() without its epoch check;
 *   apply_released() without its releasing check;
 *   apply_assign() or apply_renew() without the expects check;
 *   apply_claim() without its check of the replaced epoch;
 *   apply_decide() without its check of the slots.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "state/control.h"

#define WRITERS 2
#define RUNNERS 2
#define SLOTS_MAX 4
#define IN_FLIGHT_MAX 3
#define OFFSETS_MAX 64
#define NO_INDEX 0xff
#define TABLE_BITS 23 /* log2 of the size of the hash table of states */

/* Offsets fit a byte: the log has at most OFFSETS_MAX records. */
struct slot_view {
	uint8_t id;
	uint8_t runner;
	uint8_t releasing;
};

struct fold_view {
	uint8_t position;
	uint8_t version;
	uint8_t epoch;
	uint8_t lease_version;
	uint8_t holder;
	uint8_t decided;
	uint8_t model_version;
	uint8_t slot_count;
	struct slot_view slots[SLOTS_MAX];
};

struct pending_record {
	uint8_t type; /* enum tm_control_type; 0: unused entry */
	uint8_t writer;
	uint8_t epoch;
	uint8_t expects;
	uint8_t arg; /* replicas, runner, slot or replaced epoch */
	uint8_t accepted;
};

struct runner {
	uint8_t known; /* slot that its view assigns to it; 0: none */
	uint8_t loaded; /* slot for which it loaded the model; 0: none */
	uint8_t confirmed; /* last slot whose release it confirmed */
};

struct system_state {
	struct fold_view fold;
	struct fold_view views[WRITERS];
	struct pending_record in_flight[IN_FLIGHT_MAX];
	struct runner runners[RUNNERS];
	uint8_t appends;
	uint8_t duplicates;
};

struct bounds {
	uint8_t appends;
	uint8_t duplicates;
};

struct search {
	struct bounds bounds;
	uint64_t *seen; /* hashes of visited states, open addressing */
	uint64_t states;
	uint64_t accepted[TM_CONTROL_CHECKPOINT];
	uint64_t verdicts[CONTROL_EXCEEDS_DECIDED + 1];
	uint64_t duplicates;
};

static char writer_names[WRITERS][3] = { "w0", "w1" };
static char runner_names[RUNNERS][3] = { "r0", "r1" };
static char no_name[] = "";
static char model_name[] = "m";

static void explore(struct search *, const struct system_state *);

/* ---- conversion between the fold and a view ---- */

static void
on_verdict(void *ctx, const char id[TM_ID_SIZE], enum control_verdict verdict,
    uint64_t offset)
{
	enum control_verdict *out = ctx;

	*out = verdict;
}

static uint8_t
index_of(char names[][3], unsigned count, const char *name)
{
	for (unsigned i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return (uint8_t)i;
	}
	return NO_INDEX;
}

static struct control *
fold_from_view(const struct fold_view *v, enum control_verdict *verdict)
{
	struct control_options opts = {
		.shards = 1,
		.on_verdict = on_verdict,
		.ctx = verdict,
	};
	struct control *fold = control_create(&opts);
	struct tm_lease lease = {
		.epoch = v->epoch,
		.ver = v->lease_version,
		.holder =
		    v->holder == NO_INDEX ? no_name : writer_names[v->holder],
		.address = no_name,
	};
	struct tm_model_entry model = { model_name, v->decided,
		v->model_version };
	struct tm_slot slots[SLOTS_MAX] = { 0 };
	struct tm_control_snapshot snap = {
		.position = v->position,
		.ver = v->version,
		.leases = { 1, &lease },
		.models = { 1, &model },
		.slots = { v->slot_count, slots },
	};

	for (unsigned i = 0; i < v->slot_count; i++) {
		slots[i].id = v->slots[i].id;
		slots[i].model = model_name;
		slots[i].runner = runner_names[v->slots[i].runner];
		slots[i].state = v->slots[i].releasing ? TM_SLOT_RELEASING
						       : TM_SLOT_ASSIGNED;
	}
	if (v->position > 1)
		g_assert_cmpint(control_restore(fold, &snap), ==, 0);
	return fold;
}

static void
view_from_fold(const struct control *fold, struct fold_view *v)
{
	const struct control_lease *lease = control_lease(fold, 0);
	const struct control_model *m = control_model(fold, model_name);
	const struct control_slot *s = NULL;

	memset(v, 0, sizeof(*v));
	v->position = (uint8_t)control_position(fold);
	v->version = (uint8_t)control_version(fold);
	v->epoch = (uint8_t)lease->epoch;
	v->lease_version = (uint8_t)lease->version;
	v->holder = index_of(writer_names, WRITERS, lease->holder);
	v->decided = m == NULL ? 0 : (uint8_t)m->decided;
	v->model_version = m == NULL ? 0 : (uint8_t)m->version;
	while ((s = control_next_slot(fold, model_name, s)) != NULL) {
		struct slot_view *out = &v->slots[v->slot_count++];

		g_assert_cmpuint(v->slot_count, <=, SLOTS_MAX);
		out->id = (uint8_t)s->id;
		out->runner = index_of(runner_names, RUNNERS, s->runner);
		out->releasing = s->releasing;
	}
}

static const struct slot_view *
view_slot(const struct fold_view *v, uint8_t id)
{
	for (unsigned i = 0; i < v->slot_count; i++) {
		if (v->slots[i].id == id)
			return &v->slots[i];
	}
	return NULL;
}

static struct tm_control_record
record_from_pending(const struct pending_record *p)
{
	struct tm_control_record r = {
		.epoch = p->epoch,
		.expects = p->expects,
		.body.type = (enum tm_control_type)p->type,
	};

	switch (p->type) {
	case TM_LEASE_CLAIM:
		r.body.tm_control_body_u.claim = (struct tm_lease_claim){
			.holder = writer_names[p->writer],
			.address = no_name,
			.replaces = p->arg,
		};
		break;
	case TM_DECIDE:
		r.body.tm_control_body_u.decide.model = model_name;
		r.body.tm_control_body_u.decide.replicas = p->arg;
		break;
	case TM_ASSIGN:
		r.body.tm_control_body_u.assign.model = model_name;
		r.body.tm_control_body_u.assign.runner = runner_names[p->arg];
		break;
	case TM_RELEASE:
	case TM_RELEASED:
		r.body.tm_control_body_u.release_slot = p->arg;
		break;
	default:
		break;
	}
	return r;
}

/* ---- invariants, checked at every prefix of the log ---- */

static void
check_state(const struct system_state *st)
{
	unsigned loaded = 0;

	g_assert_cmpuint(st->fold.slot_count, <=, st->fold.decided);
	for (unsigned r = 0; r < RUNNERS; r++)
		loaded += st->runners[r].loaded != 0;
	g_assert_cmpuint(loaded, <=, st->fold.decided);
}

static void
check_freed_slots(const struct system_state *before,
    const struct fold_view *after, const struct pending_record *p)
{
	for (unsigned i = 0; i < before->fold.slot_count; i++) {
		const struct slot_view *s = &before->fold.slots[i];

		if (view_slot(after, s->id) != NULL)
			continue;
		g_assert_cmpint(p->type, ==, TM_RELEASED);
		g_assert_cmpuint(p->arg, ==, s->id);
		g_assert_true(s->releasing);
		g_assert_cmpuint(
		    before->runners[s->runner].confirmed, ==, s->id);
		g_assert_cmpuint(before->runners[s->runner].loaded, ==, 0);
	}
}

static void
check_verdict(const struct system_state *before, const struct fold_view *after,
    struct pending_record *p, enum control_verdict verdict)
{
	struct fold_view same = before->fold;

	if (verdict == CONTROL_ACCEPTED) {
		g_assert_false(p->accepted);
		p->accepted = true;
		if (p->type != TM_LEASE_CLAIM) {
			g_assert_cmpuint(p->epoch, ==, before->fold.epoch);
			g_assert_cmpuint(p->writer, ==, before->fold.holder);
		}
	} else {
		same.position++;
		g_assert_cmpmem(&same, sizeof(same), after, sizeof(*after));
	}
	check_freed_slots(before, after, p);
}

/* ---- transitions ---- */

static void
deliver(struct search *s, const struct system_state *st, unsigned i, bool keep)
{
	struct system_state next = *st;
	struct pending_record *p = &next.in_flight[i];
	struct tm_control_record record = record_from_pending(p);
	enum control_verdict verdict = CONTROL_CONFLICT;
	struct control *fold = fold_from_view(&st->fold, &verdict);

	g_assert_cmpuint(st->fold.position, <, OFFSETS_MAX);
	control_apply(fold, st->fold.position, &record);
	view_from_fold(fold, &next.fold);
	control_destroy(fold);
	check_verdict(st, &next.fold, p, verdict);
	s->verdicts[verdict]++;
	if (verdict == CONTROL_ACCEPTED)
		s->accepted[p->type]++;
	if (keep) {
		next.duplicates++;
		s->duplicates++;
	} else {
		memset(p, 0, sizeof(*p));
	}
	check_state(&next);
	explore(s, &next);
}

static void
step_in_flight(struct search *s, const struct system_state *st)
{
	for (unsigned i = 0; i < IN_FLIGHT_MAX; i++) {
		struct system_state lost = *st;

		if (st->in_flight[i].type == 0)
			continue;
		deliver(s, st, i, false);
		if (st->duplicates < s->bounds.duplicates)
			deliver(s, st, i, true);
		memset(&lost.in_flight[i], 0, sizeof(lost.in_flight[i]));
		explore(s, &lost);
	}
}

static void
append_record(struct search *s, const struct system_state *st, uint8_t writer,
    uint8_t type, uint8_t expects, uint8_t arg)
{
	struct system_state next = *st;

	for (unsigned i = 0; i < IN_FLIGHT_MAX; i++) {
		struct pending_record *p = &next.in_flight[i];

		if (p->type != 0)
			continue;
		p->type = type;
		p->writer = writer;
		p->epoch =
		    type == TM_LEASE_CLAIM ? 0 : next.views[writer].epoch;
		p->expects = expects;
		p->arg = arg;
		next.appends++;
		explore(s, &next);
		return;
	}
}

static void
append_slot_records(
    struct search *s, const struct system_state *st, uint8_t writer)
{
	const struct fold_view *v = &st->views[writer];

	for (unsigned i = 0; i < v->slot_count; i++) {
		const struct slot_view *slot = &v->slots[i];

		if (!slot->releasing)
			append_record(s, st, writer, TM_RELEASE,
			    v->model_version, slot->id);
		if (!slot->releasing ||
		    st->runners[slot->runner].confirmed == slot->id)
			append_record(s, st, writer, TM_RELEASED,
			    v->model_version, slot->id);
	}
}

static void
step_writer(struct search *s, const struct system_state *st, uint8_t writer)
{
	const struct fold_view *v = &st->views[writer];

	if (memcmp(v, &st->fold, sizeof(*v)) != 0) {
		struct system_state next = *st;

		next.views[writer] = st->fold;
		explore(s, &next);
	}
	if (st->appends >= s->bounds.appends)
		return;
	if (v->holder != writer) {
		append_record(s, st, writer, TM_LEASE_CLAIM, 0, v->epoch);
		return;
	}
	append_record(s, st, writer, TM_LEASE_RENEW, v->lease_version, 0);
	append_record(s, st, writer, TM_LEASE_RESIGN, 0, 0);
	for (uint8_t n = 0; n <= RUNNERS; n++) {
		if (n != v->decided)
			append_record(
			    s, st, writer, TM_DECIDE, v->model_version, n);
	}
	for (uint8_t r = 0; r < RUNNERS; r++)
		append_record(s, st, writer, TM_ASSIGN, v->model_version, r);
	append_slot_records(s, st, writer);
}

/* Returns the slot that the fold assigns to the runner; 0 if there is none. */
static uint8_t
assigned_slot(const struct system_state *st, uint8_t runner)
{
	for (unsigned i = 0; i < st->fold.slot_count; i++) {
		const struct slot_view *slot = &st->fold.slots[i];

		if (slot->runner == runner && !slot->releasing)
			return slot->id;
	}
	return 0;
}

static void
step_runner(struct search *s, const struct system_state *st, uint8_t runner)
{
	const struct runner *r = &st->runners[runner];
	uint8_t assigned = assigned_slot(st, runner);
	struct system_state next = *st;

	if (r->known != assigned) {
		next.runners[runner].known = assigned;
		explore(s, &next);
		next = *st;
	}
	if (r->known != 0 && r->loaded == 0) {
		next.runners[runner].loaded = r->known;
		explore(s, &next);
	}
}

/*
 * A writer asks for the confirmation of a release in its view; the agent first
 * catches up with the log.
 */
static void
step_confirm(struct search *s, const struct system_state *st, uint8_t writer)
{
	const struct fold_view *v = &st->views[writer];

	for (unsigned i = 0; i < v->slot_count; i++) {
		const struct slot_view *slot = &v->slots[i];
		const struct slot_view *now = view_slot(&st->fold, slot->id);
		struct system_state next = *st;
		struct runner *r = &next.runners[slot->runner];

		if (!slot->releasing || now == NULL || r->confirmed == slot->id)
			continue;
		r->known = assigned_slot(st, slot->runner);
		r->loaded = 0;
		r->confirmed = slot->id;
		explore(s, &next);
	}
}

/* ---- the search ---- */

/* Replaces offsets by their ranks: the fold uses only the order of offsets. */
static void
rank_offsets(struct system_state *st)
{
	uint8_t *offsets[OFFSETS_MAX];
	uint8_t order[256] = { 0 }, rank = 0;
	struct fold_view *views[] = { &st->fold, &st->views[0], &st->views[1] };
	unsigned n = 0;

	for (unsigned i = 0; i < G_N_ELEMENTS(views); i++) {
		struct fold_view *v = views[i];

		v->position = v->version = 0;
		offsets[n++] = &v->epoch;
		offsets[n++] = &v->lease_version;
		offsets[n++] = &v->model_version;
		for (unsigned k = 0; k < v->slot_count; k++)
			offsets[n++] = &v->slots[k].id;
	}
	for (unsigned i = 0; i < IN_FLIGHT_MAX; i++) {
		struct pending_record *p = &st->in_flight[i];

		offsets[n++] = &p->epoch;
		offsets[n++] = &p->expects;
		if (p->type == TM_LEASE_CLAIM || p->type == TM_RELEASE ||
		    p->type == TM_RELEASED)
			offsets[n++] = &p->arg;
	}
	for (unsigned i = 0; i < RUNNERS; i++) {
		offsets[n++] = &st->runners[i].known;
		offsets[n++] = &st->runners[i].loaded;
		offsets[n++] = &st->runners[i].confirmed;
	}
	g_assert_cmpuint(n, <=, OFFSETS_MAX);
	for (unsigned i = 0; i < n; i++)
		order[*offsets[i]] = 1;
	order[0] = 0; /* 0 means none, not an offset */
	for (unsigned i = 1; i < G_N_ELEMENTS(order); i++)
		order[i] = order[i] ? ++rank : 0;
	for (unsigned i = 0; i < n; i++)
		*offsets[i] = order[*offsets[i]];
}

static int
compare_pending_records(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(struct pending_record));
}

static uint64_t
hash_sorted(struct system_state *st)
{
	qsort(st->in_flight, IN_FLIGHT_MAX, sizeof(st->in_flight[0]),
	    compare_pending_records);
	return XXH3_64bits(st, sizeof(*st));
}

static void
swap_writers(struct system_state *st)
{
	struct fold_view view = st->views[0];
	struct fold_view *views[] = { &st->fold, &st->views[0], &st->views[1] };

	st->views[0] = st->views[1];
	st->views[1] = view;
	for (unsigned i = 0; i < G_N_ELEMENTS(views); i++) {
		if (views[i]->holder != NO_INDEX)
			views[i]->holder ^= 1;
	}
	for (unsigned i = 0; i < IN_FLIGHT_MAX; i++) {
		if (st->in_flight[i].type != 0)
			st->in_flight[i].writer ^= 1;
	}
}

static uint64_t
hash_state(const struct system_state *st)
{
	struct system_state c = *st;
	uint64_t a, b;

	rank_offsets(&c);
	a = hash_sorted(&c);
	swap_writers(&c);
	b = hash_sorted(&c);
	return MIN(a, b) | 1;
}

/* Returns false if the state was visited before. */
static bool
mark_seen(struct search *s, const struct system_state *st)
{
	uint64_t hash = hash_state(st);
	uint64_t mask = (UINT64_C(1) << TABLE_BITS) - 1;
	uint64_t bucket = (hash >> 1) & mask;

	for (; s->seen[bucket] != 0; bucket = (bucket + 1) & mask) {
		if (s->seen[bucket] == hash)
			return false;
	}
	s->seen[bucket] = hash;
	s->states++;
	g_assert_cmpuint(s->states, <, mask - mask / 4);
	return true;
}

static void
explore(struct search *s, const struct system_state *st)
{
	if (!mark_seen(s, st))
		return;
	step_in_flight(s, st);
	for (uint8_t i = 0; i < WRITERS; i++) {
		step_writer(s, st, i);
		step_confirm(s, st, i);
	}
	for (uint8_t i = 0; i < RUNNERS; i++)
		step_runner(s, st, i);
}

static void
search_all(const struct system_state *start, struct bounds bounds)
{
	struct search s = { .bounds = bounds };

	s.seen = calloc(UINT64_C(1) << TABLE_BITS, sizeof(*s.seen));
	g_assert_nonnull(s.seen);
	explore(&s, start);
	g_test_message(
	    "%" G_GUINT64_FORMAT " states, %" G_GUINT64_FORMAT
	    " duplicates appended; verdicts: accepted %" G_GUINT64_FORMAT
	    ", stale epoch %" G_GUINT64_FORMAT ", conflict %" G_GUINT64_FORMAT
	    ", exceeds decided %" G_GUINT64_FORMAT,
	    s.states, s.duplicates, s.verdicts[CONTROL_ACCEPTED],
	    s.verdicts[CONTROL_STALE_EPOCH], s.verdicts[CONTROL_CONFLICT],
	    s.verdicts[CONTROL_EXCEEDS_DECIDED]);
	for (int type = TM_LEASE_CLAIM; type < TM_CONTROL_CHECKPOINT; type++)
		g_assert_cmpuint(s.accepted[type], >, 0);
	g_assert_cmpuint(s.verdicts[CONTROL_STALE_EPOCH], >, 0);
	g_assert_cmpuint(s.verdicts[CONTROL_CONFLICT], >, 0);
	g_assert_cmpuint(s.verdicts[CONTROL_EXCEEDS_DECIDED], >, 0);
	g_assert_cmpuint(s.duplicates, >, 0);
	free(s.seen);
}

static struct system_state
empty_state(void)
{
	struct system_state st;

	memset(&st, 0, sizeof(st));
	st.fold.position = 1;
	st.fold.holder = NO_INDEX;
	st.views[0] = st.views[1] = st.fold;
	return st;
}

/* From an empty log; the shortest complete move takes a claim and 4 records. */
static void
test_from_empty(void)
{
	struct system_state st = empty_state();

	search_all(&st, (struct bounds){ .appends = 5, .duplicates = 1 });
}

/*
 * From a held lease and one loaded replica, which reaches later stages of a
 * move within the bound.
 */
static void
test_from_loaded(void)
{
	struct system_state st = empty_state();

	st.fold = (struct fold_view){
		.position = 4,
		.version = 3,
		.epoch = 1,
		.lease_version = 1,
		.decided = 1,
		.model_version = 3,
		.slot_count = 1,
		.slots[0] = { .id = 3 },
	};
	st.views[0] = st.views[1] = st.fold;
	st.runners[0].known = st.runners[0].loaded = 3;
	search_all(&st, (struct bounds){ .appends = 4, .duplicates = 1 });
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/model_check/from_empty", test_from_empty);
	g_test_add_func("/model_check/from_loaded", test_from_loaded);
	return g_test_run();
}
