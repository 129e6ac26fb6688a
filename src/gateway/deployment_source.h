/*
 * deployment_source -- where the gateway gets the deployment: from sidecars
 * that it follows, or from the store.
 *
 * struct source_choice decides; while sidecars bring the deployment, the feed
 * of the store's topic pauses.
 */
#ifndef GATEWAY_DEPLOYMENT_SOURCE_H
#define GATEWAY_DEPLOYMENT_SOURCE_H

struct backend;
struct gateway;
struct tm_deployment_state;

/* The connection to the sidecar of b has been opened. */
void deployment_source_on_opened(struct backend *);
/* Handler of TM_DEPLOYMENT_STATE. */
void deployment_source_on_state(
    struct backend *, const struct tm_deployment_state *);
/* Follows and unfollows sidecars; call it on every tick. */
void deployment_source_tick(struct gateway *);

#endif
