/*
 * number -- reads the numbers of a peer.
 *
 * strtoull() takes signs, spaces and line ends before a number and turns -1
 * into the largest one; a peer could choose what it is taken for.
 */
#ifndef COMMON_NUMBER_H
#define COMMON_NUMBER_H

#include <stddef.h>
#include <stdint.h>

/*
 * Reads the digits that text begins with.  Returns how many there are; 0 if
 * there are none, or if the number is larger than max, with *n set to max.
 */
size_t number_read(const char *text, size_t len, uint64_t max, uint64_t *n);

#endif
