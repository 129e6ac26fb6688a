/*
 * pace -- how fast each model reads prompts, learned from first tokens.
 *
 * Answers: models of one deployment differ several times in speed, and nobody
 * declares it.  The pace is measured over predicted time to the first token of
 * requests that met little other work.
 */
#ifndef COORDINATION_PACE_H
#define COORDINATION_PACE_H

#include <stdint.h>

struct model_pace;

struct model_pace *pace_create(void);
void pace_destroy(struct model_pace *);

/* 1 until the model has been measured. */
double pace_of(const struct model_pace *, const char *model);
void pace_note(struct model_pace *, const char *model, int64_t predicted_us,
    int64_t measured_us);

#endif
