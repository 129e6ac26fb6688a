/*
 * prefill_rates -- how long a replica's prompts take, by model.
 *
 * Load pattern: replicas of one service differ several-fold in speed, and so do
 * the models that share one, while no document says so.  A batch of prompts
 * that suits a fast replica then holds the streams of a slow one for twice as
 * long as they bear.  The sidecar beside the replica sees the prompts of all
 * gateways, and learns from each batch that it has admitted: a gateway alone
 * sees too few.
 *
 * A factor is the time of a prompt over that at the default rate.  Prompts
 * whose beginning the replica has kept seem fast; so a high quantile of the
 * last batches counts, not their mean.
 *
 * Pure: the caller passes the time.
 */
#ifndef COORDINATION_PREFILL_RATES_H
#define COORDINATION_PREFILL_RATES_H

#include <stddef.h>
#include <stdint.h>

struct prefill_rates;

struct prefill_rates *prefill_rates_create(double default_tokens_per_ms);
void prefill_rates_destroy(struct prefill_rates *);

/* 1 until the model has been measured. */
double prefill_rates_factor(const struct prefill_rates *, const char *model);
/* A prompt of so many tokens is sent to the replica. */
void prefill_rates_begin(struct prefill_rates *, const void *owner, uint64_t id,
    const char *model, uint32_t tokens, int64_t now_us);
/*
 * Its first event has come, or it has ended otherwise.  Other ids are ignored.
 */
void prefill_rates_end(
    struct prefill_rates *, const void *owner, uint64_t id, int64_t now_us);
/* Forgets the prompts of an owner that is gone, and what began with them. */
void prefill_rates_drop(struct prefill_rates *, const void *owner);
/*
 * Rises whenever a factor has changed by more than a tenth since it was last
 * reported.
 */
uint64_t prefill_rates_generation(const struct prefill_rates *);
/* Calls each() for every measured model. */
void prefill_rates_list(const struct prefill_rates *,
    void (*each)(void *ctx, const char *model, double factor), void *ctx);

#endif
