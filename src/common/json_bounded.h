/*
 * json_bounded -- parses JSON of a peer whose text may be small and its values
 * many.
 *
 * jansson takes up to some 200 bytes for a value of three: a text within the
 * limits of its transport can exhaust the memory of a small VM.
 */
#ifndef COMMON_JSON_BOUNDED_H
#define COMMON_JSON_BOUNDED_H

#include <stddef.h>

struct json_t;

/*
 * Returns NULL if the text is malformed, or may have more than max_values
 * values and names; separators within strings are counted, too.
 */
struct json_t *json_load_bounded(
    const char *text, size_t len, size_t max_values);

#endif
