/*
 * keyed_hash -- a keyed hash of several fields (HMAC-SHA256, of which 64 bits
 * are used): those who do not have the key cannot choose fields with the hash
 * of other ones.
 */
#ifndef COMMON_KEYED_HASH_H
#define COMMON_KEYED_HASH_H

#include <stddef.h>
#include <stdint.h>

struct keyed_hash;

/* Aborts if memory is exhausted, like the functions below. */
struct keyed_hash *keyed_hash_begin(const char *key);
/* Each field is added with its length, so that the borders count. */
void keyed_hash_add(struct keyed_hash *, const void *data, size_t len);
void keyed_hash_add_text(struct keyed_hash *, const char *text); /* or NULL */
/* Frees the state; returns the hash, never 0. */
uint64_t keyed_hash_end(struct keyed_hash *);

#endif
