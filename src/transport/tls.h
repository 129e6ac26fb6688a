/*
 * tls -- TLS for HTTP and RPC connections, with certificates from files.
 *
 * One authority signs all certificates.  The organizational unit (OU) of the
 * subject is the role: "daemon" for the daemons, "write" or "read" for
 * operators.  On RPC connections both sides must be daemons.  HTTP servers must
 * be daemons; HTTP clients may be without a certificate, but one that they send
 * must be valid.  A NULL struct tls means plain text.
 */
#ifndef TRANSPORT_TLS_H
#define TRANSPORT_TLS_H

#include <stdbool.h>
#include <stddef.h>

#include <event2/util.h>

#define TLS_ROLE_MAX 32 /* size of a role, with the NUL */

struct bufferevent;
struct event_base;
struct logger;
struct tls;

enum tls_use {
	TLS_RPC,
	TLS_HTTP,
};

struct tls_options {
	/* Paths of PEM files. */
	const char *certificate; /* "": none; only for clients */
	const char *key;
	const char *authority; /* certificate of the authority */
	struct logger *logger; /* gets refused certificates; may be NULL */
};

struct tls_error {
	char text[256];
};

/*
 * Returns NULL with file and reason in err if a file can't be read or the
 * certificate is not valid now.
 */
struct tls *tls_create(const struct tls_options *, struct tls_error *err);
void tls_destroy(struct tls *);

/*
 * Reads the files again, for new connections.  Returns 0, or -1 with err filled
 * in; the previous certificates then stay in use.
 */
int tls_reload(struct tls *, struct tls_error *err);

/*
 * Creates a bufferevent for a connection, with TLS unless it is NULL.  fd -1:
 * still to be connected.  The descriptor is closed when it is freed.  Returns
 * NULL on error.
 */
struct bufferevent *tls_bufferevent(const struct tls *, enum tls_use,
    struct event_base *, evutil_socket_t fd, bool connecting);

/* Gets the role in the peer's certificate.  Returns -1 if there is none. */
int tls_peer_role(struct bufferevent *, char *role, size_t size);

/* Sets TCP_NODELAY, so that small records are sent immediately. */
void tls_set_nodelay(evutil_socket_t fd);

#endif
