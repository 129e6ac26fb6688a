/*
 * answer_text -- the text that the engine stand-in generates for a prompt.
 *
 * Token i depends only on the prompt and i, so that anyone who knows the prompt
 * can check that an answer is whole and its own.
 */
#ifndef COMMON_SYNTHETIC_TEXT_H
#define COMMON_SYNTHETIC_TEXT_H

#include <stddef.h>
#include <stdint.h>

#define SYNTHETIC_TOKEN_LEN 9 /* without the NUL */

uint64_t synthetic_seed(const char *prompt, size_t len);
void synthetic_token(
    char out[SYNTHETIC_TOKEN_LEN + 1], uint64_t seed, unsigned index);

#endif
