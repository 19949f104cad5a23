#include "cli.h"
#include "flamingolatch/fetch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLI_TIMEOUT_MS	     12000
#define CLI_ANSWER_MAX_BYTES (16U << 20)

struct cli_exchange {
	uint16_t status; /* HTTP status; 0 when no answer arrived */
	json_t *root;	 /* body of the answer; NULL without an answer or when it is not JSON */
	bool done;
};

bool cli_target_load_token(struct cli_target *target, GError **error)
{
	g_autoptr(GError) cause = NULL;

	if (!target->address || !target->token_file) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_REQUEST,
			    "the options --operator and --token-file are required");
		return false;
	}
	if (!g_file_get_contents(target->token_file, &target->token, NULL, &cause)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s", cause->message);
		return false;
	}
	g_strstrip(target->token);
	return true;
}

void cli_target_clear(struct cli_target *target)
{
	g_clear_pointer(&target->address, g_free);
	g_clear_pointer(&target->token_file, g_free);
	g_clear_pointer(&target->token, g_free);
}

int cli_parse_options(const char *summary, const char *arguments, const GOptionEntry *entries,
		      int *argc, char ***argv)
{
	g_autoptr(GOptionContext) context = g_option_context_new(arguments);
	g_autoptr(GError) error = NULL;

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	if (g_option_context_parse(context, argc, argv, &error))
		return -1;
	fprintf(stderr, "flamingolatch: %s\n", error->message);
	return err_info(ERR_BAD_REQUEST)->exit_code;
}

int cli_report_error(const GError *error)
{
	enum err_kind kind = err_kind_of(error);

	fprintf(stderr, "flamingolatch: %s: %s\n", err_info(kind)->name, error->message);
	return err_info(kind)->exit_code;
}

static void cli_on_answer(void *ctx, const struct fetch_response *answer)
{
	struct cli_exchange *exchange = ctx;

	exchange->done = true;
	if (answer->result != HTTP_CALL_OK)
		return;
	exchange->status = answer->status;
	exchange->root = json_loadb(answer->body, answer->body_len, 0, NULL);
}

/* @return the error kind, ERR_INTERNAL for an unknown name or NULL */
static enum err_kind cli_err_kind_by_name(const char *name)
{
	for (int kind = 0; name && kind < ERR_KIND_COUNT; kind++) {
		if (strcmp(err_info((enum err_kind)kind)->name, name) == 0)
			return (enum err_kind)kind;
	}
	return ERR_INTERNAL;
}

json_t *cli_request(const struct cli_target *target, const char *path, const json_t *body,
		    GError **error)
{
	uv_loop_t *loop = uv_default_loop();
	struct http_client *cli = http_client_create(loop);
	struct cli_exchange exchange = { 0 };
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	g_autofree char *headers = g_strdup_printf(
		"authorization: Bearer %s\r\ncontent-type: application/json\r\n", target->token);
	struct http_call_request req = { .address = target->address,
					 .method = body ? "POST" : "GET",
					 .path = path,
					 .headers = headers,
					 .body = text,
					 .body_len = text ? strlen(text) : 0,
					 .timeout_ms = CLI_TIMEOUT_MS,
					 .new_connection = true };
	const json_t *failure;

	fetch_start(cli, &req, CLI_ANSWER_MAX_BYTES, NULL, cli_on_answer, &exchange);
	while (!exchange.done)
		uv_run(loop, UV_RUN_ONCE);
	uv_run(loop, UV_RUN_NOWAIT);
	free(text);
	if (exchange.status == 200)
		return exchange.root;
	failure = json_object_get(exchange.root, "error");
	if (failure)
		g_set_error(error, ERR_DOMAIN,
			    (gint)cli_err_kind_by_name(
				    json_string_value(json_object_get(failure, "kind"))),
			    "%s", json_string_value(json_object_get(failure, "message")));
	else
		g_set_error(error, ERR_DOMAIN, ERR_IO, "no valid answer from %s", target->address);
	json_decref(exchange.root);
	return NULL;
}
