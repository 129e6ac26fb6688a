/*
 * daemon_conns -- the current connection of each daemon to this agent.
 *
 * A daemon uses one connection at a time and numbers them in its hello.  Once
 * it has sent a hello or settled a request on a newer connection, messages from
 * an older one must not be acted on.  So a hello closes the connection with the
 * lower number, whichever of the two arrives first.
 */
#ifndef AGENT_DAEMON_CONNS_H
#define AGENT_DAEMON_CONNS_H

#include <stdbool.h>

struct daemon_conns;
struct rpc_conn;
struct tm_hello_args;

struct daemon_conns *daemon_conns_create(void);
void daemon_conns_destroy(struct daemon_conns *);

/* Records the connection of a hello; closes it or an older one of the VM. */
void daemon_conns_on_hello(
    struct daemon_conns *, struct rpc_conn *, const struct tm_hello_args *);
/* Call when a connection has been closed. */
void daemon_conns_on_closed(struct daemon_conns *, struct rpc_conn *);

/* Whether a daemon sent its newest hello on the connection. */
bool daemon_conns_is_current(
    const struct daemon_conns *, const struct rpc_conn *);
/* The current connection of a VM's daemon; NULL if there is none. */
struct rpc_conn *daemon_conns_find(const struct daemon_conns *, const char *vm);

#endif
