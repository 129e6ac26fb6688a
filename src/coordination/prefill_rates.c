#include "coordination/prefill_rates.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <bsd/string.h>
#include <bsd/sys/queue.h>
#include <uthash.h>

#include "common/clock.h"

#define NAME_MAX_SIZE 64 /* as of a model */
#define MODELS_MAX 64 /* further ones keep a factor of 1 */
#define PROMPTS_MAX 256 /* at once; further ones are not measured */
#define SAMPLES 8
#define SAMPLE_RANK 5 /* of the sorted samples, from 0 */
/* Shorter batches say more about the network than about the replica. */
#define BATCH_MIN_TOKENS 3000
/* Time of the decoding steps that form the first event. */
#define FIRST_EVENT_US (30 * USEC_PER_MSEC)
#define FACTOR_MIN 0.05
#define FACTOR_MAX 10.0
#define REPORT_CHANGE 0.1 /* of a factor */

struct model_rate {
	char name[NAME_MAX_SIZE];
	double samples[SAMPLES];
	unsigned count; /* of samples so far, may exceed SAMPLES */
	double factor;
	double reported;
	UT_hash_handle hh;
};

struct prompt {
	const void *owner;
	uint64_t id;
	LIST_ENTRY(prompt) link;
};

/* Part of a batch: the prompts of one model. */
struct batch_part {
	char model[NAME_MAX_SIZE];
	uint64_t tokens;
};

#define PARTS_MAX 16

struct prefill_rates {
	double tokens_per_us;
	struct model_rate *models;
	uint64_t generation;
	LIST_HEAD(, prompt) prompts;
	unsigned prompt_count;
	/* The prompts since the replica last had none: */
	struct batch_part parts[PARTS_MAX];
	unsigned part_count;
	bool incomplete; /* a prompt is not in it */
	int64_t began_us;
};

struct prefill_rates *
prefill_rates_create(double default_tokens_per_ms)
{
	struct prefill_rates *r = calloc(1, sizeof(*r));

	if (r == NULL)
		abort();
	r->tokens_per_us = default_tokens_per_ms / USEC_PER_MSEC;
	LIST_INIT(&r->prompts);
	return r;
}

static void
remove_prompt(struct prefill_rates *r, struct prompt *p)
{
	LIST_REMOVE(p, link);
	r->prompt_count--;
	free(p);
}

void
prefill_rates_destroy(struct prefill_rates *r)
{
	struct model_rate *m, *next;
	struct prompt *p;

	if (r == NULL)
		return;
	while ((p = LIST_FIRST(&r->prompts)) != NULL)
		remove_prompt(r, p);
	HASH_ITER(hh, r->models, m, next) {
		HASH_DEL(r->models, m);
		free(m);
	}
	free(r);
}

static struct model_rate *
find_model(const struct prefill_rates *r, const char *name)
{
	struct model_rate *m;

	HASH_FIND_STR(r->models, name, m);
	return m;
}

double
prefill_rates_factor(const struct prefill_rates *r, const char *model)
{
	const struct model_rate *m = find_model(r, model);

	return m == NULL ? 1 : m->factor;
}

uint64_t
prefill_rates_generation(const struct prefill_rates *r)
{
	return r->generation;
}

void
prefill_rates_list(const struct prefill_rates *r,
    void (*each)(void *, const char *, double), void *ctx)
{
	const struct model_rate *m;

	for (m = r->models; m != NULL; m = m->hh.next)
		each(ctx, m->name, m->factor);
}

/* ---- measuring ---- */

static int
compare_doubles(const void *a, const void *b)
{
	double da = *(const double *)a, db = *(const double *)b;

	return da < db ? -1 : da > db;
}

static double
quantile(const struct model_rate *m)
{
	double sorted[SAMPLES];
	unsigned n = m->count < SAMPLES ? m->count : SAMPLES;

	memcpy(sorted, m->samples, n * sizeof(sorted[0]));
	qsort(sorted, n, sizeof(sorted[0]), compare_doubles);
	return sorted[n * SAMPLE_RANK / SAMPLES];
}

static void
add_sample(struct prefill_rates *r, const char *model, double factor)
{
	struct model_rate *m = find_model(r, model);

	if (m == NULL) {
		if (HASH_COUNT(r->models) >= MODELS_MAX)
			return;
		m = calloc(1, sizeof(*m));
		if (m == NULL)
			abort();
		strlcpy(m->name, model, sizeof(m->name));
		m->reported = 1;
		HASH_ADD_STR(r->models, name, m);
	}
	if (factor < FACTOR_MIN)
		factor = FACTOR_MIN;
	if (factor > FACTOR_MAX)
		factor = FACTOR_MAX;
	m->samples[m->count++ % SAMPLES] = factor;
	m->factor = quantile(m);
	if (m->factor > m->reported * (1 + REPORT_CHANGE) ||
	    m->factor < m->reported * (1 - REPORT_CHANGE)) {
		m->reported = m->factor;
		r->generation++;
	}
}

/* Of several models, each is as much slower than believed as the batch. */
static void
measure_batch(struct prefill_rates *r, int64_t now_us)
{
	double took_us = (double)(now_us - r->began_us - FIRST_EVENT_US);
	double expected_us = 0;
	uint64_t tokens = 0;

	for (unsigned i = 0; i < r->part_count; i++) {
		const struct batch_part *p = &r->parts[i];

		tokens += p->tokens;
		expected_us += (double)p->tokens / r->tokens_per_us *
			       prefill_rates_factor(r, p->model);
	}
	if (r->incomplete || tokens < BATCH_MIN_TOKENS)
		return;
	if (took_us < 0)
		took_us = 0;
	for (unsigned i = 0; i < r->part_count; i++) {
		const char *model = r->parts[i].model;

		add_sample(r, model,
		    prefill_rates_factor(r, model) * took_us / expected_us);
	}
}

static void
add_part(struct prefill_rates *r, const char *model, uint32_t tokens)
{
	struct batch_part *p = NULL;

	for (unsigned i = 0; i < r->part_count && p == NULL; i++) {
		if (strcmp(r->parts[i].model, model) == 0)
			p = &r->parts[i];
	}
	if (p == NULL && r->part_count == PARTS_MAX) {
		r->incomplete = true;
		return;
	}
	if (p == NULL) {
		p = &r->parts[r->part_count++];
		strlcpy(p->model, model, sizeof(p->model));
		p->tokens = 0;
	}
	p->tokens += tokens;
}

void
prefill_rates_begin(struct prefill_rates *r, const void *owner, uint64_t id,
    const char *model, uint32_t tokens, int64_t now_us)
{
	struct prompt *p;

	if (r->prompt_count == 0) {
		r->part_count = 0;
		r->incomplete = false;
		r->began_us = now_us;
	}
	if (r->prompt_count >= PROMPTS_MAX) {
		r->incomplete = true;
		return;
	}
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort();
	p->owner = owner;
	p->id = id;
	LIST_INSERT_HEAD(&r->prompts, p, link);
	r->prompt_count++;
	add_part(r, model, tokens);
}

void
prefill_rates_end(
    struct prefill_rates *r, const void *owner, uint64_t id, int64_t now_us)
{
	struct prompt *p;

	LIST_FOREACH(p, &r->prompts, link) {
		if (p->owner == owner && p->id == id)
			break;
	}
	if (p == NULL)
		return;
	remove_prompt(r, p);
	if (r->prompt_count == 0)
		measure_batch(r, now_us);
}

void
prefill_rates_drop(struct prefill_rates *r, const void *owner)
{
	struct prompt *p, *next;

	for (p = LIST_FIRST(&r->prompts); p != NULL; p = next) {
		next = LIST_NEXT(p, link);
		if (p->owner != owner)
			continue;
		remove_prompt(r, p);
		r->incomplete = true;
	}
}
