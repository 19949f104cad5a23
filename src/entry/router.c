#include "entry_internal.h"

#include <string.h>

#define ROUTER_BEARER_PREFIX "Bearer "

/* helpers */

/* Returns the token of the header Authorization, or NULL. */
static const char *router_bearer_token(struct http_req *req)
{
	const char *value = http_req_header(req, "authorization");

	if (!value || strncmp(value, ROUTER_BEARER_PREFIX, strlen(ROUTER_BEARER_PREFIX)) != 0)
		return NULL;
	return value + strlen(ROUTER_BEARER_PREFIX);
}

static bool router_matches(struct http_req *req, const char *method, const char *path)
{
	return strcmp(http_req_method(req), method) == 0 && strcmp(http_req_path(req), path) == 0;
}

/* Compares in a time that does not depend on where the strings differ. */
static bool router_secrets_equal(const char *a, const char *b)
{
	size_t len = strlen(b);
	uint8_t diff = strlen(a) != len;

	for (size_t i = 0; i < len && a[0] && i < strlen(a); i++)
		diff |= (uint8_t)(a[i] ^ b[i]);
	return diff == 0;
}

static void router_reply_health(struct entry *entry, struct http_req *req, bool ok)
{
	const char *text = ok ? "ok\n" : "not ready\n";

	(void)entry;
	http_req_reply(req, ok ? 200 : 503, "text/plain", text, strlen(text));
}

/* commands */

void router_handle_caller(void *ctx, struct http_req *req)
{
	struct entry *entry = ctx;
	const struct settings_customer *customer = NULL;
	const char *token = router_bearer_token(req);

	metric_add(entry->metric, METRIC_REQUESTS, 1);
	if (token)
		customer = settings_find_customer(entry->settings, token);
	if (!customer) {
		answer_error(entry, req, ERR_UNAUTHENTICATED, NULL);
		return;
	}
	if (!entry->ready)
		answer_error(entry, req, ERR_NOT_READY, NULL);
	else if (router_matches(req, "POST", "/v1/completions"))
		generate_start(entry, req, customer, false);
	else if (router_matches(req, "POST", "/v1/chat/completions"))
		generate_start(entry, req, customer, true);
	else if (router_matches(req, "GET", "/v1/completions"))
		generate_resume(entry, req, customer);
	else if (g_str_has_prefix(http_req_path(req), "/s/"))
		call_start(entry, req, customer);
	else
		answer_error(entry, req, ERR_NOT_FOUND, NULL);
}

void router_handle_operator(void *ctx, struct http_req *req)
{
	struct entry *entry = ctx;
	const char *token = router_bearer_token(req);
	const char *path = http_req_path(req);

	if (router_matches(req, "GET", "/healthz")) {
		router_reply_health(entry, req, true);
		return;
	}
	if (router_matches(req, "GET", "/readyz")) {
		router_reply_health(entry, req, entry->ready && !entry->stopping);
		return;
	}
	if (!token || !router_secrets_equal(token, entry->settings->operator_token)) {
		answer_error(entry, req, ERR_UNAUTHENTICATED, NULL);
		return;
	}
	if (router_matches(req, "GET", "/state"))
		query_state(entry, req);
	else if (router_matches(req, "GET", "/metrics"))
		query_metrics(entry, req);
	else if (router_matches(req, "GET", "/usage"))
		query_usage(entry, req);
	else if (router_matches(req, "GET", "/profiles"))
		query_profiles(entry, req, NULL);
	else if (strcmp(http_req_method(req), "GET") == 0 && g_str_has_prefix(path, "/profiles/"))
		query_profiles(entry, req, path + strlen("/profiles/"));
	else if (router_matches(req, "POST", "/profiles/publish"))
		profile_change(entry, req, PROFILE_CONFIG_PUBLISH);
	else if (router_matches(req, "POST", "/profiles/change"))
		profile_change(entry, req, PROFILE_CONFIG_CHANGE);
	else if (router_matches(req, "POST", "/profiles/retire"))
		profile_change(entry, req, PROFILE_CONFIG_RETIRE);
	else
		answer_error(entry, req, ERR_NOT_FOUND, NULL);
}
