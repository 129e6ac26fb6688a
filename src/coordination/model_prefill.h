/*
 * model_prefill -- learns the prefill factor of each model.
 *
 * The prefill speeds of a deployment's models differ by a factor of several,
 * and are not declared.  The factor is a moving average of measured over
 * default prefill time.  Pass it only requests that ran beside little other
 * work.
 */
#ifndef COORDINATION_MODEL_PREFILL_H
#define COORDINATION_MODEL_PREFILL_H

#include <stdint.h>

struct model_prefill;

struct model_prefill *model_prefill_create(void);
void model_prefill_destroy(struct model_prefill *);

/* Returns the prefill factor; 1 until the model has been measured. */
double model_prefill_factor(const struct model_prefill *, const char *model);
/*
 * Records the time to a first token, predicted (with the current factor) and
 * measured.
 */
void model_prefill_record(struct model_prefill *, const char *model,
    int64_t predicted_us, int64_t measured_us);

#endif
