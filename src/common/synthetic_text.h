/*
 * synthetic_text -- the tokens that the engine stand-in generates for a prompt.
 *
 * Token i is a hash of the prompt and i, so that a client that knows the prompt
 * can verify that an answer is complete and belongs to its request.
 */
#ifndef COMMON_SYNTHETIC_TEXT_H
#define COMMON_SYNTHETIC_TEXT_H

#include <stddef.h>
#include <stdint.h>

#define SYNTHETIC_TOKEN_LEN 9 /* bytes, without the NUL */

uint64_t synthetic_seed(const char *prompt, size_t len);

/* Writes token `index` of the prompt with this seed, NUL-terminated. */
void synthetic_token(
    char out[SYNTHETIC_TOKEN_LEN + 1], uint64_t seed, unsigned index);

#endif
