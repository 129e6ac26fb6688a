/*
 * model_rates -- measures the request rate of each model at one daemon.
 *
 * An exponential moving average over some seconds, as demand moves between
 * models within that time.
 */
#ifndef COORDINATION_MODEL_RATES_H
#define COORDINATION_MODEL_RATES_H

#include <stdint.h>

struct model_rates;

struct model_rates *model_rates_create(void);
void model_rates_destroy(struct model_rates *);

/* Records a request. */
void model_rates_record(
    struct model_rates *, const char *model, int64_t now_us);
/* Returns the rate in requests per second; 0 for an unknown model. */
double model_rates_get(
    const struct model_rates *, const char *model, int64_t now_us);

#endif
