#include "common/rng.h"

#include <math.h>
#include <stdlib.h>

#include <bsd/stdlib.h>

void
rng_seed(struct rng *rng, uint64_t seed)
{
	/* A splitmix64 step, since nearby seeds must not correlate. */
	seed += 0x9e3779b97f4a7c15ULL;
	seed = (seed ^ (seed >> 30)) * 0xbf58476d1ce4e5b9ULL;
	seed = (seed ^ (seed >> 27)) * 0x94d049bb133111ebULL;
	seed ^= seed >> 31;
	rng->state[0] = (unsigned short)seed;
	rng->state[1] = (unsigned short)(seed >> 16);
	rng->state[2] = (unsigned short)(seed >> 32);
}

void
rng_seed_system(struct rng *rng)
{
	uint64_t seed;

	arc4random_buf(&seed, sizeof(seed));
	rng_seed(rng, seed);
}

double
rng_real(struct rng *rng)
{
	return erand48(rng->state);
}

uint64_t
rng_below(struct rng *rng, uint64_t n)
{
	return (uint64_t)(rng_real(rng) * (double)n);
}

double
rng_exponential(struct rng *rng, double mean)
{
	return -mean * log(1.0 - rng_real(rng));
}

void
random_id(void *id, size_t len)
{
	arc4random_buf(id, len);
}

void
hex_encode(char *out, const void *id, size_t len)
{
	static const char digits[] = "0123456789abcdef";
	const unsigned char *bytes = id;

	for (size_t i = 0; i < len; i++) {
		out[2 * i] = digits[bytes[i] >> 4];
		out[2 * i + 1] = digits[bytes[i] & 15];
	}
	out[2 * len] = '\0';
}
