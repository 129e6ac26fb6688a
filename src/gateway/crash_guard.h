/*
 * crash_guard -- keeps requests from replicas that their prompts would crash.
 *
 * Applies the policy of coordination/crash_parts.h to this gateway's requests,
 * and shares what it learns with the other gateways through
 * coordination/crash_records.h, and at once by way of a sidecar.  A trial is
 * recorded before its request is sent, so that one gateway only makes it. While
 * the store is unreachable a gateway acts on what it knows, and makes no
 * trials.
 *
 * The last part of a prompt belongs to its request alone, and is never barred
 * by itself: the request as a whole is, see request_hash.h.
 */
#ifndef GATEWAY_CRASH_GUARD_H
#define GATEWAY_CRASH_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/crash_parts.h"

struct backend;
struct crash_guard;
struct gateway;
struct request_params;
struct tm_crash;

/* Returns NULL if out of memory. */
struct crash_guard *crash_guard_create(struct gateway *);
/* Destroy the store's client before the event loop runs again. */
void crash_guard_destroy(struct crash_guard *);
/* As keyed_feed_read_again(). */
void crash_guard_read_again(struct crash_guard *);
/* Sends what is due to the store; call it on every tick. */
void crash_guard_tick(struct crash_guard *);

/* Whether no request was lost: only otherwise are hashes of requests needed. */
bool crash_guard_is_idle(const struct crash_guard *);

/* Whether the request was lost so often that its next replica may end too. */
bool crash_guard_suspects(
    const struct crash_guard *, const struct request_params *);

/* A report of another gateway, by way of a sidecar. */
void crash_guard_on_report(struct crash_guard *, const struct tm_crash *);

/*
 * Whether the request may be sent.  CRASH_TRIAL: a trial is being recorded, ask
 * again soon.  CRASH_REFUSE: *wait_us is the time until the next trial.
 */
enum crash_verdict crash_guard_check(
    struct crash_guard *, const struct request_params *, int64_t *wait_us);
/* The request is sent: uses up the trial that it was admitted for, if any. */
void crash_guard_sent(struct crash_guard *, const struct request_params *);

/* The request was lost with the replica.  begun: its answer had begun. */
void crash_guard_lost(struct crash_guard *, const struct request_params *,
    const struct backend *, bool begun);
/*
 * The replica answered the request.  sure: the end of the answer cannot be that
 * of a crash; otherwise it counts if the replica outlives it for a while.
 */
void crash_guard_answered(struct crash_guard *, const struct request_params *,
    const struct backend *, bool sure);

#endif
