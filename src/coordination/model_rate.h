/*
 * model_rate -- requests a second of each model, as one daemon sees them.
 *
 * A moving average that forgets within some seconds: demand moves between
 * models within that time.
 */
#ifndef COORDINATION_MODEL_RATE_H
#define COORDINATION_MODEL_RATE_H

#include <stdint.h>

struct model_rates;

struct model_rates *model_rates_create(void);
void model_rates_destroy(struct model_rates *);

void model_rates_record(
    struct model_rates *, const char *model, int64_t now_us);
double model_rates_get(
    const struct model_rates *, const char *model, int64_t now_us);

#endif
