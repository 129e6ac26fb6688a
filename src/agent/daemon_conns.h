/*
 * links -- which connection each daemon uses to reach this agent.
 *
 * A daemon uses one connection at a time.  Once it says hello on a newer one,
 * or settles a request there, nothing that it sent on an older one may be acted
 * on: the older ones are closed, and later ones that turn out older, too.
 */
#ifndef AGENT_DAEMON_CONNS_H
#define AGENT_DAEMON_CONNS_H

#include <stdbool.h>

struct daemon_conns;
struct rpc_conn;
struct tm_hello_args;

struct daemon_conns *daemon_conns_create(void);
void daemon_conns_destroy(struct daemon_conns *);

/* Notes a hello; may close this connection or an older one. */
void daemon_conns_on_hello(
    struct daemon_conns *, struct rpc_conn *, const struct tm_hello_args *);
void daemon_conns_on_closed(struct daemon_conns *, struct rpc_conn *);

/* Whether the daemon behind the connection has said who it is. */
bool daemon_conns_is_current(
    const struct daemon_conns *, const struct rpc_conn *);
/* The connection to a VM's daemon, or NULL. */
struct rpc_conn *daemon_conns_find(const struct daemon_conns *, const char *vm);

#endif
