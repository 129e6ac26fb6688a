/*
 * usage -- counts and latencies of requests by rank, model and tenant since the
 * start of this entry.
 *
 * Kept for /metrics, where each has a label of its own, and for the table of
 * ctl top.  Beyond 199 names of one kind, further ones share the row "(other)".
 */
#ifndef ENTRY_USAGE_H
#define ENTRY_USAGE_H

#include <stdint.h>

#include "protocol/result.h"

struct json_t;
struct metrics;
struct usage;

struct usage_sample {
	const char *rank;
	const char *model;
	const char *tenant; /* empty: none named */
	enum result code;
	int64_t first_token_us; /* since arrival; -1: there was none */
	int64_t total_us; /* since arrival */
};

struct usage *usage_create(struct metrics *);
void usage_destroy(struct usage *);

/* Records a finished request. */
void usage_record(struct usage *, const struct usage_sample *);

/*
 * Returns {"ranks": [...], "models": [...], "tenants": [...]}, a new reference.
 */
struct json_t *usage_json(const struct usage *);

#endif
