/*
 * load_alone -- loads from the weight store while no log can be asked.
 *
 * Answers: all daemons lose the platform's store at once, and many of them have
 * models to load.  Each begins after a random while, so that it hears of the
 * others' loads from gateways, waits for another such while if as many are
 * under way as run at full speed, and pauses after a load of its own.
 *
 * A pure policy: the caller gives time and chance.
 */
#ifndef COORDINATION_LOAD_ALONE_H
#define COORDINATION_LOAD_ALONE_H

#include <stdbool.h>
#include <stdint.h>

struct load_alone {
	int64_t pause_us; /* after a load of its own */
	int64_t from_us; /* 0: the log answered last time */
	int64_t last_us;
	bool loaded;
	unsigned under_way; /* loads of all daemons, as gateways tell */
	int64_t heard_us;
	bool heard;
};

void load_alone_init(struct load_alone *, int64_t pause_us);
/* The log answers. */
void load_alone_contact(struct load_alone *);
void load_alone_hear(struct load_alone *, unsigned under_way, int64_t now_us);
/* chance: 0 to 1, drawn anew for each call. */
bool load_alone_allows(
    struct load_alone *, unsigned limit, double chance, int64_t now_us);
/* One began. */
void load_alone_note(struct load_alone *, int64_t now_us);

#endif
