#include "coordination/source_choice.h"

#include "common/clock.h"

#define CURRENT_WANTED 4 /* sidecars that are followed and current */
#define CURRENT_MIN 2 /* to rely on them */
#define CURRENT_MAX 8 /* more were followed while others were not current */
/* After an outage all sidecars read the store again within this time. */
#define SETTLE_US (1 * USEC_PER_SEC)

enum source_step
source_choice_update(struct source_choice *c, unsigned followed,
    unsigned current, unsigned connected, int64_t now_us)
{
	if (current < CURRENT_MIN) {
		c->enough_since_us = 0;
		c->peers = false;
	} else if (c->enough_since_us == 0) {
		c->enough_since_us = now_us;
	} else if (now_us - c->enough_since_us >= SETTLE_US) {
		c->peers = true;
	}
	if (current < CURRENT_WANTED && followed < connected)
		return SOURCE_FOLLOW;
	return current > CURRENT_MAX ? SOURCE_UNFOLLOW : SOURCE_KEEP;
}
