#include "transport/tls.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include "common/log.h"

#define DAEMON_ROLE "daemon"

/* Argument of on_verify(). */
struct verify_info {
	const struct tls *tls;
	bool requires_daemon;
};

struct tls {
	char *certificate;
	char *key;
	char *authority;
	struct logger *logger;
	/* By use (enum tls_use) and side: 0 accepts, 1 connects. */
	SSL_CTX *contexts[2][2];
	struct verify_info verify_infos[2][2];
};

static int
set_error(struct tls_error *err, const char *path, const char *reason)
{
	const char *cause = ERR_reason_error_string(ERR_peek_last_error());

	snprintf(err->text, sizeof(err->text), "%s: %s%s%s", path, reason,
	    cause ? ": " : "", cause ? cause : "");
	ERR_clear_error();
	return -1;
}

static int
cert_role(X509 *cert, char *role, size_t size)
{
	return X509_NAME_get_text_by_NID(X509_get_subject_name(cert),
		   NID_organizationalUnitName, role, (int)size) < 0
		   ? -1
		   : 0;
}

/* ---- checking peers ---- */

static void
log_refused_cert(const struct tls *tls, X509 *cert, const char *reason)
{
	char subject[128] = "";

	if (cert != NULL)
		X509_NAME_oneline(
		    X509_get_subject_name(cert), subject, sizeof(subject));
	log_warn(tls->logger, "refusing a peer's certificate",
	    LF_S("subject", subject), LF_S("reason", reason));
}

/* Called for each certificate of the peer's chain; returns 0 to refuse it. */
static int
on_verify(int ok, X509_STORE_CTX *store)
{
	SSL *ssl = X509_STORE_CTX_get_ex_data(
	    store, SSL_get_ex_data_X509_STORE_CTX_idx());
	const struct verify_info *info =
	    SSL_CTX_get_app_data(SSL_get_SSL_CTX(ssl));
	X509 *cert = X509_STORE_CTX_get_current_cert(store);
	char role[TLS_ROLE_MAX] = "";

	if (!ok) {
		log_refused_cert(info->tls, cert,
		    X509_verify_cert_error_string(
			X509_STORE_CTX_get_error(store)));
		return 0;
	}
	if (!info->requires_daemon || X509_STORE_CTX_get_error_depth(store) > 0)
		return 1;
	if (cert_role(cert, role, sizeof(role)) == 0 &&
	    strcmp(role, DAEMON_ROLE) == 0)
		return 1;
	log_refused_cert(info->tls, cert, "its role is not daemon");
	X509_STORE_CTX_set_error(store, X509_V_ERR_APPLICATION_VERIFICATION);
	return 0;
}

/* ---- files ---- */

static int
load_certificate(const struct tls *tls, SSL_CTX *context, struct tls_error *err)
{
	X509 *cert;

	if (tls->certificate[0] == '\0')
		return 0;
	if (SSL_CTX_use_certificate_chain_file(context, tls->certificate) != 1)
		return set_error(err, tls->certificate, "not a certificate");
	if (SSL_CTX_use_PrivateKey_file(context, tls->key, SSL_FILETYPE_PEM) !=
	    1)
		return set_error(err, tls->key, "not the certificate's key");
	cert = SSL_CTX_get0_certificate(context);
	if (X509_cmp_current_time(X509_get0_notAfter(cert)) <= 0)
		return set_error(
		    err, tls->certificate, "the certificate expired");
	if (X509_cmp_current_time(X509_get0_notBefore(cert)) > 0)
		return set_error(
		    err, tls->certificate, "the certificate is not valid yet");
	return 0;
}

static int
verify_mode(enum tls_use use, bool connecting)
{
	if (use == TLS_HTTP && !connecting)
		return SSL_VERIFY_PEER; /* callers need no certificate */
	return SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT;
}

static SSL_CTX *
create_context(
    struct tls *tls, enum tls_use use, bool connecting, struct tls_error *err)
{
	SSL_CTX *context =
	    SSL_CTX_new(connecting ? TLS_client_method() : TLS_server_method());

	if (context == NULL)
		abort();
	tls->verify_infos[use][connecting].tls = tls;
	tls->verify_infos[use][connecting].requires_daemon =
	    use == TLS_RPC || connecting;
	SSL_CTX_set_app_data(context, &tls->verify_infos[use][connecting]);
	SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
	SSL_CTX_set_verify(context, verify_mode(use, connecting), on_verify);
	/* Session resumption would skip the check of the peer's certificate. */
	SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
	SSL_CTX_set_options(context, SSL_OP_NO_TICKET);
	if (SSL_CTX_load_verify_locations(context, tls->authority, NULL) != 1) {
		set_error(
		    err, tls->authority, "not an authority's certificate");
		goto fail;
	}
	SSL_CTX_set_client_CA_list(
	    context, SSL_load_client_CA_file(tls->authority));
	if (load_certificate(tls, context, err) == 0)
		return context;

fail:
	SSL_CTX_free(context);
	return NULL;
}

static void
free_contexts(SSL_CTX *contexts[2][2])
{
	for (int i = 0; i < 4; i++)
		SSL_CTX_free(contexts[i / 2][i % 2]);
}

int
tls_reload(struct tls *tls, struct tls_error *err)
{
	SSL_CTX *new_contexts[2][2] = { { NULL } };

	for (int i = 0; i < 4; i++) {
		new_contexts[i / 2][i % 2] =
		    create_context(tls, (enum tls_use)(i / 2), i % 2 == 1, err);
		if (new_contexts[i / 2][i % 2] == NULL) {
			free_contexts(new_contexts);
			return -1;
		}
	}
	/* Open connections hold references to the old contexts. */
	free_contexts(tls->contexts);
	memcpy(tls->contexts, new_contexts, sizeof(new_contexts));
	return 0;
}

struct tls *
tls_create(const struct tls_options *opts, struct tls_error *err)
{
	struct tls *tls = calloc(1, sizeof(*tls));

	if (tls == NULL)
		abort();
	tls->certificate = strdup(opts->certificate);
	tls->key = strdup(opts->key);
	tls->authority = strdup(opts->authority);
	tls->logger = opts->logger;
	if (tls_reload(tls, err) == 0)
		return tls;
	tls_destroy(tls);
	return NULL;
}

void
tls_destroy(struct tls *tls)
{
	if (tls == NULL)
		return;
	free_contexts(tls->contexts);
	free(tls->certificate);
	free(tls->key);
	free(tls->authority);
	free(tls);
}

/* ---- connections ---- */

void
tls_set_nodelay(evutil_socket_t fd)
{
	int one = 1;

	if (fd >= 0)
		(void)setsockopt(
		    fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

struct bufferevent *
tls_bufferevent(const struct tls *tls, enum tls_use use,
    struct event_base *base, evutil_socket_t fd, bool connecting)
{
	SSL *ssl;

	tls_set_nodelay(fd);
	if (tls == NULL)
		return bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	ssl = SSL_new(tls->contexts[use][connecting]);
	if (ssl == NULL)
		return NULL;
	return bufferevent_openssl_socket_new(base, fd, ssl,
	    connecting ? BUFFEREVENT_SSL_CONNECTING : BUFFEREVENT_SSL_ACCEPTING,
	    BEV_OPT_CLOSE_ON_FREE);
}

int
tls_peer_role(struct bufferevent *bev, char *role, size_t size)
{
	SSL *ssl = bufferevent_openssl_get_ssl(bev);
	X509 *cert = ssl == NULL ? NULL : SSL_get0_peer_certificate(ssl);

	return cert == NULL ? -1 : cert_role(cert, role, size);
}
