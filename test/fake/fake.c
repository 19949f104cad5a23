#include "fake.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAKE_BODY_MAX_BYTES (8U << 20)

void fake_listen(struct fake *fake, int argc, char **argv, const GOptionEntry *program_options,
		 http_server_handler handler, void *ctx)
{
	g_autofree char *port_file = NULL;
	g_autofree char *log_file = NULL;
	gint port = 0;
	const GOptionEntry common[] = { { "port", 0, 0, G_OPTION_ARG_INT, &port,
					  "Port to listen on; 0 for any free one", "N" },
					{ "port-file", 0, 0, G_OPTION_ARG_FILENAME, &port_file,
					  "File to write the port to", "FILE" },
					{ "log", 0, 0, G_OPTION_ARG_FILENAME, &log_file,
					  "File to append the log to", "FILE" },
					{ 0 } };
	g_autoptr(GOptionContext) context = g_option_context_new("");
	g_autoptr(GError) error = NULL;
	struct http_server_conf conf = { .address = "127.0.0.1",
					 .max_body_bytes = FAKE_BODY_MAX_BYTES };

	g_option_context_add_main_entries(context, common, NULL);
	if (program_options)
		g_option_context_add_main_entries(context, program_options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	fake->loop = uv_default_loop();
	fake->log = log_file ? fopen(log_file, "a") : NULL;
	conf.port = (uint16_t)port;
	fake->srv = http_server_create(fake->loop, &conf, handler, ctx, &error);
	if (!fake->srv) {
		fprintf(stderr, "%s\n", error->message);
		exit(1);
	}
	if (port_file) {
		g_autofree char *text = g_strdup_printf("%u\n", http_server_port(fake->srv));

		g_file_set_contents(port_file, text, -1, NULL);
	}
}

uint64_t fake_now_ms(void)
{
	return (uint64_t)(g_get_real_time() / 1000);
}

void fake_log(struct fake *fake, json_t *line)
{
	char *text;

	json_object_set_new(line, "at_ms", json_integer((json_int_t)fake_now_ms()));
	text = json_dumps(line, JSON_COMPACT);
	if (fake->log) {
		fprintf(fake->log, "%s\n", text);
		fflush(fake->log);
	}
	free(text);
	json_decref(line);
}

void fake_reply(struct http_req *req, uint16_t status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	http_req_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

void fake_abort_answer(struct http_req *req)
{
	http_req_stream_begin(req, 200, "application/json");
	http_req_stream_abort(req);
}

json_t *fake_parse_body(struct http_req *req)
{
	size_t len;
	const char *body = http_req_body(req, &len);

	return json_loadb(body, len, 0, NULL);
}

int64_t fake_get_int(const json_t *root, const char *key, int64_t fallback)
{
	const json_t *value = json_object_get(root, key);

	return json_is_integer(value) ? json_integer_value(value) : fallback;
}

int64_t fake_query_int(struct http_req *req, const char *name, int64_t fallback)
{
	g_autofree char *text = http_req_query_param(req, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}
