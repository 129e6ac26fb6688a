#include "coordination/late_orders.h"

#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>

#include "common/clock.h"
#include "protocol/tm_xdr.h"

/* Counts of orders that a record covers, and how many are left at the next. */
#define COUNTS_AHEAD 16
#define COUNTS_LEFT 4
/* A planned order is sent within this time, or planned again. */
#define PLAN_US (5 * USEC_PER_SEC)
/* With so many orders of unknown content, further ones must not be added. */
#define UNKNOWN_MAX 2

/* What a replica holds, or would hold. */
struct load_sum {
	double mb;
	size_t adapters;
};

static void
drop_at(struct late_orders *l, unsigned i)
{
	l->count--;
	memmove(
	    &l->list[i], &l->list[i + 1], (l->count - i) * sizeof(l->list[0]));
}

void
late_orders_expire(struct late_orders *l, int64_t now_us)
{
	if (l->sent != 0)
		return; /* its place must not change */
	for (unsigned i = 0; i < l->count;) {
		if (l->list[i].until_us <= now_us)
			drop_at(l, i);
		else
			i++;
	}
}

static bool
is_same(const struct late_order *a, const struct late_order *b)
{
	return !a->unknown && a->expected_seq == b->expected_seq &&
	       a->load == b->load && strcmp(a->replica, b->replica) == 0 &&
	       strcmp(a->model, b->model) == 0 &&
	       strcmp(a->adapter, b->adapter) == 0;
}

static bool
is_recorded(const struct late_order *o)
{
	return o->recorded_until_us >= o->until_us;
}

static unsigned
find_same(const struct late_orders *l, const struct late_order *o)
{
	unsigned i = 0;

	while (i < l->count && !is_same(&l->list[i], o))
		i++;
	return i;
}

/* Whether orders are to be recorded before they are sent. */
static bool
needs_ahead(const struct late_orders *l)
{
	unsigned unknown = 0;

	for (unsigned i = 0; i < l->count; i++)
		unknown += l->list[i].unknown;
	return unknown >= UNKNOWN_MAX;
}

/* Whether a successor that finds the record counts with this order. */
static bool
is_in_scope(const struct late_scope *s, const struct late_target *t)
{
	return strcmp(s->replica, t->id) == 0 && t->seq >= s->first_seq &&
	       t->seq < s->end_seq;
}

bool
late_orders_may_send(const struct late_orders *l, const struct late_target *t,
    const struct late_order *o)
{
	unsigned same = find_same(l, o);

	if (!l->has_record || !is_in_scope(&l->recorded, t) ||
	    (l->is_recording && !is_in_scope(&l->recording, t)))
		return false;
	for (unsigned i = 0; i < l->count; i++) {
		const struct late_order *e = &l->list[i];

		if (!is_recorded(e) && !e->planned &&
		    (e->unknown || e->expected_seq != o->expected_seq ||
			strcmp(e->replica, o->replica) != 0))
			return false;
	}
	if (l->recorded.ahead || (l->is_recording && l->recording.ahead))
		return same < l->count &&
		       l->list[same].recorded_until_us >= o->until_us;
	return same < l->count || l->count < LATE_ORDERS_MAX;
}

void
late_orders_plan(struct late_orders *l, const struct late_order *o)
{
	unsigned at;

	if (!l->recorded.ahead && !needs_ahead(l))
		return;
	for (unsigned i = 0; i < l->count;) {
		if (l->list[i].planned && !is_same(&l->list[i], o))
			drop_at(l, i);
		else
			i++;
	}
	at = find_same(l, o);
	if (at == LATE_ORDERS_MAX)
		return;
	if (at == l->count) {
		l->list[l->count] = *o;
		l->list[l->count++].planned = true;
	}
	if (l->list[at].recorded_until_us < o->until_us)
		l->list[at].until_us = o->until_us + PLAN_US;
}

void
late_orders_add(
    struct late_orders *l, const struct late_order *o, int64_t now_us)
{
	unsigned i;

	l->sent = 0;
	late_orders_expire(l, now_us);
	i = find_same(l, o);
	if (i == LATE_ORDERS_MAX)
		abort(); /* late_orders_may_send() said otherwise */
	if (i == l->count)
		l->list[l->count++] = *o;
	l->list[i].planned = false;
	if (l->list[i].until_us < o->until_us)
		l->list[i].until_us = o->until_us;
	l->sent = i + 1;
}

void
late_orders_answered(struct late_orders *l)
{
	unsigned sent = l->sent;

	l->sent = 0;
	/* The same order, sent before, may still be without an answer. */
	if (sent > 0 && !l->list[sent - 1].lost)
		drop_at(l, sent - 1);
}

void
late_orders_lost(struct late_orders *l)
{
	if (l->sent > 0)
		l->list[l->sent - 1].lost = true;
	l->sent = 0;
}

/* ---- the record ---- */

bool
late_orders_record_due(const struct late_orders *l, const struct late_target *t)
{
	for (unsigned i = 0; i < l->count; i++) {
		if (!is_recorded(&l->list[i]) && i + 1 != l->sent)
			return true;
	}
	return !l->has_record || l->recorded.ahead != needs_ahead(l) ||
	       strcmp(l->recorded.replica, t->id) != 0 ||
	       l->recorded.born_ms != t->born_ms ||
	       t->seq < l->recorded.first_seq ||
	       t->seq + COUNTS_LEFT > l->recorded.end_seq;
}

static char *
copy_text(const char *text)
{
	char *copy = strdup(text);

	if (copy == NULL)
		abort();
	return copy;
}

static u_int
left_ms(const struct late_order *o, int64_t now_us)
{
	int64_t us = o->until_us - now_us;

	return us <= 0 ? 0 : (u_int)((us + USEC_PER_MSEC - 1) / USEC_PER_MSEC);
}

/* The times left are those of now: a successor counts them from its start. */
static void
fill_orders(struct late_orders *l, int64_t now_us, struct tm_orders *out)
{
	out->orders.orders_val =
	    calloc(l->count + 1, sizeof(*out->orders.orders_val));
	if (out->orders.orders_val == NULL)
		abort();
	out->orders.orders_len = l->count;
	for (unsigned i = 0; i < l->count; i++) {
		struct late_order *o = &l->list[i];

		o->recording_until_us = o->until_us;
		out->orders.orders_val[i] = (struct tm_order){
			.replica = copy_text(o->replica),
			.first = o->first_seq,
			.expected = o->expected_seq,
			.unknown = o->unknown,
			.load = o->load,
			.model = copy_text(o->model),
			.adapter = copy_text(o->adapter),
			.size_mb = o->size_mb,
			.left_ms = left_ms(o, now_us),
		};
	}
}

void
late_orders_record(struct late_orders *l, const struct late_target *t,
    int64_t now_us, struct tm_orders *out)
{
	struct late_scope *s = &l->recording;

	late_orders_expire(l, now_us);
	memset(s, 0, sizeof(*s));
	strlcpy(s->replica, t->id, sizeof(s->replica));
	s->born_ms = t->born_ms;
	s->first_seq = t->seq;
	s->end_seq = t->seq + COUNTS_AHEAD;
	s->ahead = needs_ahead(l);
	l->is_recording = true;
	memset(out, 0, sizeof(*out));
	out->replica = copy_text(s->replica);
	out->born_ms = s->born_ms;
	out->first = s->first_seq;
	out->end = s->end_seq;
	out->ahead = s->ahead;
	fill_orders(l, now_us, out);
}

void
late_orders_recorded(struct late_orders *l)
{
	for (unsigned i = 0; i < l->count; i++) {
		struct late_order *o = &l->list[i];

		if (o->recording_until_us != 0)
			o->recorded_until_us = o->recording_until_us;
		o->recording_until_us = 0;
	}
	l->recorded = l->recording;
	l->has_record = true;
	l->is_recording = false;
}

static int
append(struct late_orders *l, const struct late_order *o)
{
	if (l->count == LATE_ORDERS_MAX)
		return -1;
	l->list[l->count++] = *o;
	return 0;
}

static int
adopt_orders(
    struct late_orders *l, const struct tm_orders *record, int64_t now_us)
{
	for (u_int i = 0; i < record->orders.orders_len; i++) {
		const struct tm_order *from = &record->orders.orders_val[i];
		struct late_order o = { .first_seq = from->first,
			.expected_seq = from->expected,
			.unknown = from->unknown,
			.load = from->load,
			.size_mb = from->size_mb,
			.until_us = now_us + from->left_ms * USEC_PER_MSEC,
			.lost = true };

		strlcpy(o.replica, from->replica, sizeof(o.replica));
		strlcpy(o.model, from->model, sizeof(o.model));
		strlcpy(o.adapter, from->adapter, sizeof(o.adapter));
		if (append(l, &o) == -1)
			return -1;
	}
	return 0;
}

/*
 * One that the predecessor has not recorded.  While the replica is the
 * incarnation of the record, it expects no more than the count reported now.
 */
int
late_orders_adopt(struct late_orders *l, const struct tm_orders *record,
    const struct late_target *t, int64_t now_us)
{
	struct late_order unknown = { .first_seq = record->first,
		.expected_seq = record->end - 1,
		.unknown = true,
		.load = true,
		.until_us = now_us + l->linger_us,
		.lost = true };
	bool of_this = strcmp(record->replica, t->id) == 0;

	if (adopt_orders(l, record, now_us) == -1)
		return -1;
	if (record->ahead)
		return 0;
	strlcpy(unknown.replica, record->replica, sizeof(unknown.replica));
	if (of_this && record->born_ms == t->born_ms &&
	    t->seq < unknown.expected_seq)
		unknown.expected_seq = t->seq;
	return append(l, &unknown);
}

/* ---- what fits ---- */

static struct load_sum
sum_after(
    const struct swap_input *in, const struct swap_step *step, double step_mb)
{
	struct load_sum sum = { .mb = swap_used_mb(in) };

	for (size_t i = 0; i < in->model_count; i++) {
		const struct swap_model *m = &in->models[i];
		bool unloaded = step->op == SWAP_UNLOAD &&
				strcmp(m->name, step->model) == 0;

		sum.adapters += m->adapter_count;
		if (unloaded && step->adapter == NULL) {
			sum.adapters -= m->adapter_count;
			sum.mb -= m->size_mb +
				  (double)m->adapter_count * m->adapter_mb;
		} else if (unloaded) {
			sum.adapters--;
			sum.mb -= m->adapter_mb;
		}
	}
	if (step->op == SWAP_LOAD) {
		sum.mb += step_mb;
		sum.adapters += step->adapter != NULL;
	}
	return sum;
}

static bool
concerns(const struct swap_step *step, const char *model, const char *adapter)
{
	return strcmp(step->model, model) == 0 &&
	       strcmp(step->adapter == NULL ? "" : step->adapter, adapter) == 0;
}

static bool
is_held(const struct swap_input *in, const char *model, const char *adapter)
{
	for (size_t i = 0; i < in->model_count; i++) {
		const struct swap_model *m = &in->models[i];

		if (strcmp(m->name, model) != 0)
			continue;
		if (adapter[0] == '\0')
			return true;
		for (size_t j = 0; j < m->adapter_count; j++) {
			if (strcmp(m->adapters[j].name, adapter) == 0)
				return true;
		}
	}
	return false;
}

/* Whether the replica has it after the step, so that a late load is no load. */
static bool
is_held_after(const struct swap_input *in, const struct swap_step *step,
    const struct late_order *o)
{
	if (step->op == SWAP_LOAD && concerns(step, o->model, o->adapter))
		return true;
	if (step->op == SWAP_UNLOAD && (concerns(step, o->model, o->adapter) ||
					   concerns(step, o->model, "")))
		return false;
	return is_held(in, o->model, o->adapter);
}

/* Whether the replica may get an order of unknown content at these counts. */
static bool
is_unknown_within(const struct late_order *o, int64_t now_us,
    const char *replica, uint64_t from, uint64_t to)
{
	return o->unknown && o->until_us > now_us && o->first_seq <= to &&
	       o->expected_seq >= from &&
	       (o->replica[0] == '\0' || strcmp(o->replica, replica) == 0);
}

/* Whether a late order is for this count of orders, and known. */
static bool
is_known_at(const struct late_order *o, int64_t now_us, const char *replica,
    uint64_t seq)
{
	return !o->unknown && o->until_us > now_us && o->expected_seq == seq &&
	       strcmp(o->replica, replica) == 0;
}

/* Whether an earlier one in the list loads the same, from this count on. */
static bool
is_listed(const struct late_orders *l, unsigned at, int64_t now_us,
    const char *replica, uint64_t from, uint64_t to)
{
	const struct late_order *o = &l->list[at];

	for (unsigned i = 0; i < at; i++) {
		const struct late_order *e = &l->list[i];

		if (e->load && strcmp(e->model, o->model) == 0 &&
		    strcmp(e->adapter, o->adapter) == 0 &&
		    e->expected_seq >= from && e->expected_seq <= to &&
		    is_known_at(e, now_us, replica, e->expected_seq))
			return true;
	}
	return false;
}

/*
 * Adds the largest load among the late orders for this count of orders.
 * Returns false if there are none.
 */
static bool
add_largest(const struct late_orders *l, const struct swap_input *in,
    const struct swap_step *step, const char *replica, uint64_t seq,
    struct load_sum *sum)
{
	struct load_sum most = { 0 };
	bool found = false;

	for (unsigned i = 0; i < l->count; i++) {
		const struct late_order *o = &l->list[i];

		if (!is_known_at(o, in->now_us, replica, seq))
			continue;
		found = true;
		if (!o->load || is_held_after(in, step, o))
			continue;
		if (o->adapter[0] != '\0')
			most.adapters = 1;
		if (o->size_mb > most.mb)
			most.mb = o->size_mb;
	}
	sum->mb += most.mb;
	sum->adapters += most.adapters;
	return found;
}

/* Sums what the late orders for these counts may load, each thing once. */
static struct load_sum
sum_distinct(const struct late_orders *l, const struct swap_input *in,
    const struct swap_step *step, const char *replica, uint64_t from,
    uint64_t to)
{
	struct load_sum sum = { 0 };

	for (unsigned i = 0; i < l->count; i++) {
		const struct late_order *o = &l->list[i];

		if (!o->load || o->expected_seq < from ||
		    o->expected_seq > to ||
		    !is_known_at(o, in->now_us, replica, o->expected_seq) ||
		    is_held_after(in, step, o) ||
		    is_listed(l, i, in->now_us, replica, from, to))
			continue;
		sum.mb += o->size_mb;
		sum.adapters += o->adapter[0] != '\0';
	}
	return sum;
}

/* Of those of unknown content that may fill this count, the first to end. */
static int
find_filler(const struct late_orders *l, const struct swap_input *in,
    const char *replica, uint64_t seq, uint64_t used)
{
	int best = -1;

	for (unsigned i = 0; i < l->count; i++) {
		const struct late_order *o = &l->list[i];

		if ((used >> i & 1) != 0 ||
		    !is_unknown_within(o, in->now_us, replica, seq, seq))
			continue;
		if (best == -1 || o->expected_seq < l->list[best].expected_seq)
			best = (int)i;
	}
	return best;
}

/*
 * Late orders are carried out one after the other, each at the next count, from
 * this one on; those of unknown content fill the counts for which there is no
 * other.  Returns the count that they do not reach.
 */
static uint64_t
last_count(const struct late_orders *l, const struct swap_input *in,
    const struct swap_step *step, const char *replica, uint64_t from,
    struct load_sum *by_count)
{
	uint64_t used = 0;
	int filler;

	_Static_assert(LATE_ORDERS_MAX <= 64, "bits of used");
	for (uint64_t at = from;; at++) {
		if (add_largest(l, in, step, replica, at, by_count))
			continue;
		/* An unload makes room, whatever else may come beside it. */
		filler = step->op == SWAP_UNLOAD
			     ? -1
			     : find_filler(l, in, replica, at, used);
		if (filler == -1)
			return at;
		used |= 1ULL << filler;
	}
}

bool
late_orders_fit(const struct late_orders *l, const struct swap_input *in,
    const struct swap_step *step, double step_mb, const char *replica,
    uint64_t seq, const struct late_load *unknown)
{
	struct load_sum sum = sum_after(in, step, step_mb), by_count = { 0 };
	struct load_sum distinct;
	const uint64_t from = seq + 1;
	uint64_t to = last_count(l, in, step, replica, from, &by_count);

	if (to == from)
		return true;
	to--;
	distinct = sum_distinct(l, in, step, replica, from, to);
	sum.mb += by_count.mb < distinct.mb ? by_count.mb : distinct.mb;
	sum.adapters += by_count.adapters < distinct.adapters
			    ? by_count.adapters
			    : distinct.adapters;
	for (unsigned i = 0; i < l->count && step->op != SWAP_UNLOAD; i++) {
		if (!is_unknown_within(
			&l->list[i], in->now_us, replica, from, to))
			continue;
		sum.mb += unknown->mb;
		sum.adapters += unknown->adapters;
	}
	return sum.mb <= in->memory_mb && sum.adapters <= in->adapter_capacity;
}
