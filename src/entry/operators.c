#include "entry/operators.h"

#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/http.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "transport/http_server.h"
#include "transport/tls.h"

#define TOKEN_LEN_MIN 16 /* characters */
#define LINE_MAX_LEN 512 /* bytes */
#define BEARER "Bearer "

enum role {
	ROLE_NONE,
	ROLE_READ,
	ROLE_WRITE,
};

struct token {
	unsigned char digest[SHA256_DIGEST_LENGTH];
	enum role role;
};

struct operators {
	struct token *tokens;
	size_t count;
	bool unrestricted; /* no token file: everyone may write */
};

static enum role
role_parse(const char *text)
{
	if (strcmp(text, "write") == 0)
		return ROLE_WRITE;
	return strcmp(text, "read") == 0 ? ROLE_READ : ROLE_NONE;
}

/* Returns NULL or an error text, which never contains the token. */
static const char *
parse_line(struct operators *operators, char *line)
{
	char *rest = NULL;
	char *token = strtok_r(line, " \t\n", &rest);
	char *role = token ? strtok_r(NULL, " \t\n", &rest) : NULL;
	struct token *t;

	if (token == NULL || token[0] == '#')
		return NULL;
	if (strlen(token) < TOKEN_LEN_MIN)
		return "the token must have at least 16 characters";
	if (role == NULL || role_parse(role) == ROLE_NONE)
		return "the role must be read or write";
	operators->tokens = reallocarray(operators->tokens,
	    operators->count + 1, sizeof(*operators->tokens));
	if (operators->tokens == NULL)
		abort();
	t = &operators->tokens[operators->count++];
	SHA256((unsigned char *)token, strlen(token), t->digest);
	t->role = role_parse(role);
	return NULL;
}

static int
read_tokens(
    struct operators *operators, const char *path, struct operators_error *err)
{
	FILE *file = fopen(path, "re");
	char line[LINE_MAX_LEN];
	const char *error = NULL;
	int number = 0;

	if (file == NULL) {
		snprintf(err->text, sizeof(err->text), "%s: %s", path,
		    strerror(errno));
		return -1;
	}
	while (error == NULL && fgets(line, sizeof(line), file) != NULL) {
		number++;
		error = parse_line(operators, line);
	}
	fclose(file);
	explicit_bzero(line, sizeof(line));
	if (error == NULL)
		return 0;
	snprintf(
	    err->text, sizeof(err->text), "%s:%d: %s", path, number, error);
	return -1;
}

struct operators *
operators_create(const char *path, struct operators_error *err)
{
	struct operators *operators = calloc(1, sizeof(*operators));

	if (operators == NULL)
		abort();
	operators->unrestricted = path[0] == '\0';
	if (operators->unrestricted || read_tokens(operators, path, err) == 0)
		return operators;
	operators_destroy(operators);
	return NULL;
}

void
operators_destroy(struct operators *operators)
{
	if (operators == NULL)
		return;
	free(operators->tokens);
	free(operators);
}

/*
 * Compares the digest with all others in constant time, so that response times
 * give no hint about a valid token.
 */
static enum role
token_role(const struct operators *operators, const char *token)
{
	unsigned char digest[SHA256_DIGEST_LENGTH];
	enum role role = ROLE_NONE;

	SHA256((const unsigned char *)token, strlen(token), digest);
	for (size_t i = 0; i < operators->count; i++) {
		if (CRYPTO_memcmp(digest, operators->tokens[i].digest,
			sizeof(digest)) == 0)
			role = operators->tokens[i].role;
	}
	return role;
}

static enum role
certificate_role(struct evhttp_request *req)
{
	char role[TLS_ROLE_MAX] = "";

	if (tls_peer_role(evhttp_connection_get_bufferevent(
			      evhttp_request_get_connection(req)),
		role, sizeof(role)) == -1)
		return ROLE_NONE;
	return role_parse(role);
}

static enum role
request_role(const struct operators *operators, struct evhttp_request *req)
{
	const char *header = http_request_header(req, "Authorization");
	enum role role = certificate_role(req);

	if (header != NULL && strncmp(header, BEARER, strlen(BEARER)) == 0 &&
	    role == ROLE_NONE)
		role = token_role(operators, header + strlen(BEARER));
	return role;
}

enum result
operators_authorize(
    const struct operators *operators, struct evhttp_request *req)
{
	enum evhttp_cmd_type method = evhttp_request_get_command(req);
	enum role role =
	    operators->unrestricted ? ROLE_WRITE : request_role(operators, req);

	if (role == ROLE_NONE)
		return RESULT_UNAUTHORIZED;
	if (role == ROLE_READ && method != EVHTTP_REQ_GET)
		return RESULT_FORBIDDEN;
	return RESULT_OK;
}
