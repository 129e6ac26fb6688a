/*
 * quota_meter -- a keeper's parts of the quotas of client accounts.
 *
 * A sidecar has one.  Gateways take from it for each request, and state the
 * limit with the version of the deployment that they have it from; the newest
 * version counts, and of one version the smallest limit that was stated within
 * a window, as gateways may know different numbers of keepers.  So the keeper
 * needs no deployment of its own, and a changed quota binds with the first
 * request under the new version.
 *
 * What a predecessor gave out before this process started is not known.  So the
 * share of the limit that may be used rises from none at the start to all after
 * a window.
 *
 * Pure: the caller passes the time.
 */
#ifndef COORDINATION_ACCOUNTS_QUOTA_METER_H
#define COORDINATION_ACCOUNTS_QUOTA_METER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct quota_meter;

struct quota_take {
	const char *account;
	uint64_t version; /* of the deployment with this quota */
	double limit; /* of this keeper within a window */
	int64_t window_us;
	double amount;
};

struct quota_grant {
	bool granted;
	int64_t wait_us; /* unless granted: until the amount is there */
};

struct quota_meter *quota_meter_create(int64_t now_us);
void quota_meter_destroy(struct quota_meter *);

/* Figures that are no numbers, or negative, are refused. */
struct quota_grant quota_meter_take(
    struct quota_meter *, const struct quota_take *, int64_t now_us);
/* Puts back what was taken here, or of a predecessor, and not used. */
void quota_meter_return(
    struct quota_meter *, const char *account, double amount, int64_t now_us);
/* Number of accounts that are remembered. */
size_t quota_meter_count(const struct quota_meter *);

#endif
