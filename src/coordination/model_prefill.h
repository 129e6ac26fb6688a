/*
 * pace -- how fast each model reads prompts, learned from first tokens.
 *
 * Answers: models of one deployment differ several times in speed, and nobody
 * declares it.  The pace is measured over predicted time to the first token of
 * requests that met little other work.
 */
#ifndef COORDINATION_MODEL_PREFILL_H
#define COORDINATION_MODEL_PREFILL_H

#include <stdint.h>

struct model_prefill;

struct model_prefill *model_prefill_create(void);
void model_prefill_destroy(struct model_prefill *);

/* 1 until the model has been measured. */
double model_prefill_factor(const struct model_prefill *, const char *model);
void model_prefill_record(struct model_prefill *, const char *model,
    int64_t predicted_us, int64_t measured_us);

#endif
