/* rng -- seeded pseudo-random numbers; equal seeds give equal sequences. */
#ifndef COMMON_RNG_H
#define COMMON_RNG_H

#include <stddef.h>
#include <stdint.h>

struct rng {
	unsigned short state[3];
};

void rng_seed(struct rng *, uint64_t seed);

/* Seeds from the operating system's random source. */
void rng_seed_system(struct rng *);

double rng_real(struct rng *); /* uniform in [0, 1) */
uint64_t rng_below(struct rng *, uint64_t n); /* uniform in [0, n), n > 0 */
double rng_exponential(struct rng *, double mean);

/*
 * Fills id from the operating system's random source.  For identifiers only:
 * decisions of policies use a struct rng, so that a seed reproduces them.
 */
void random_id(void *id, size_t len);

/* Writes len bytes in lower-case hex and a NUL, 2 * len + 1 bytes. */
void hex_encode(char *out, const void *id, size_t len);

#endif
