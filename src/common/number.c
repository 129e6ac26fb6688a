#include "common/number.h"

size_t
number_read(const char *text, size_t len, uint64_t max, uint64_t *n)
{
	size_t digits = 0;

	*n = 0;
	while (digits < len && text[digits] >= '0' && text[digits] <= '9') {
		uint64_t digit = (uint64_t)(text[digits] - '0');

		if (digit > max || *n > (max - digit) / 10) {
			*n = max;
			return 0;
		}
		*n = *n * 10 + digit;
		digits++;
	}
	return digits;
}
