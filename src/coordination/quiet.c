#include "coordination/quiet.h"

#define RETURN_US (1 * USEC_PER_SEC) /* requests come one by one so long */

void
quiet_begin(struct quiet *q, int64_t for_us, int64_t jitter_us, int64_t now_us)
{
	if (for_us > QUIET_MAX_US)
		for_us = QUIET_MAX_US;
	if (for_us <= 0 || now_us + for_us <= q->until_us)
		return;
	q->until_us = now_us + for_us;
	q->next_us = q->until_us + jitter_us;
}

int64_t
quiet_wait_us(const struct quiet *q, int64_t now_us)
{
	return q->next_us > now_us ? q->next_us - now_us : 0;
}

void
quiet_send(struct quiet *q, int64_t now_us)
{
	if (q->until_us != 0 && now_us - q->until_us < RETURN_US)
		q->next_us = now_us + QUIET_GAP_US;
}
