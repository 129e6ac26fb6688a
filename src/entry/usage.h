/*
 * usage -- what ranks, models and tenants got from this entry since its start.
 *
 * Each is counted in /metrics by its own label, with bounded cardinality, and
 * in the table that ctl top shows.
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
	const char *tenant; /* "": none named */
	enum result code;
	int64_t first_token_us; /* -1: there was none */
	int64_t total_us;
};

struct usage *usage_create(struct metrics *);
void usage_destroy(struct usage *);

void usage_record(struct usage *, const struct usage_sample *);

/* {"ranks": [...], "models": [...], "tenants": [...]}; a new reference. */
struct json_t *usage_json(const struct usage *);

#endif
