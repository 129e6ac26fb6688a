#include "common/synthetic_text.h"

#include <stdio.h>

#include <xxhash.h>

uint64_t
synthetic_seed(const char *prompt, size_t len)
{
	return XXH3_64bits(prompt, len);
}

void
synthetic_token(
    char out[SYNTHETIC_TOKEN_LEN + 1], uint64_t seed, unsigned index)
{
	snprintf(out, SYNTHETIC_TOKEN_LEN + 1, "%08x ",
	    (unsigned)XXH3_64bits_withSeed(&index, sizeof(index), seed));
}
