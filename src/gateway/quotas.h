/*
 * quotas -- takes from the quota of a request's client account before the
 * request is dispatched, and returns what was taken if it does not run.
 *
 * Sidecars keep the quotas, see coordination/accounts/quota_asker.h;
 * docs/design/ accounts.md has the reasons.
 */
#ifndef GATEWAY_QUOTAS_H
#define GATEWAY_QUOTAS_H

struct exchange;
struct gateway;

/*
 * Dispatches the request, now or once a keeper has granted it, or refuses it;
 * may free the exchange.
 */
void quotas_take(struct exchange *);
/*
 * The exchange ends: withdraws a request for quota, and returns what was taken
 * unless the request may have run.
 */
void quotas_end(struct exchange *);
/* Notes which sidecars may keep quotas; call it on every tick. */
void quotas_tick(struct gateway *);

#endif
