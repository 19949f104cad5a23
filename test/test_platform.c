/**
 * @file test_platform.c
 * The adapter to the users' platform: decoding and encoding of every message,
 * with malformed fields.
 */
#include "../platform/platform.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char config_text[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/q/\",\"route_kind\":\"streaming\","
	"\"timeout_ms\":6000,\"slo_ms\":1500,\"priority\":1,\"service\":\"s1\",\"max_attempts\":2,"
	"\"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":180},"
	"{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/w/\",\"route_kind\":\"unsafe\","
	"\"split\":[{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
	"\"max_attempts\":1,\"public\":true},"
	"{\"host\":\"a.example\",\"prefix\":\"/n/\",\"route_kind\":\"new\"},"
	"{\"prefix\":\"/nowhere/\"},17],"
	"\"services\":[{\"name\":\"s1\",\"health_path\":\"/healthz\",\"max_conns\":362,"
	"\"engine\":{\"slots\":48,\"kv_capacity\":34403,\"kv_bytes\":163840,\"link_mbps\":24000.0,"
	"\"moves\":true,\"backups\":true,\"stride\":4,\"kv_handle_s\":5.0}},{\"name\":\"s2\"},{}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\",3],\"priority\":1},"
	"{\"name\":\"t2\",\"api_keys\":[\"k3\"]},{\"api_keys\":[\"k4\"]}]}";

static void test_config(void)
{
	struct route_config *config = platform_decode_config(config_text, strlen(config_text));
	const struct route *route;
	const struct route_service *service;

	g_assert_nonnull(config);
	g_assert_cmpuint(route_config_version(config), ==, 7);
	g_assert_cmpuint(route_config_route_count(config), ==, 3);
	route = route_config_match(config, "a.example", "/q/x");
	g_assert_cmpstr(route->name, ==, "r1");
	g_assert_cmpint((int)route->kind, ==, ROUTE_STREAM);
	g_assert_cmpuint(route->queue_timeout_ms, ==, 6000);
	g_assert_cmpuint(route->latency_slo_ms, ==, 1500);
	g_assert_cmpuint(route->event_gap_slo_ms, ==, 180);
	g_assert_cmpuint(route->priority, ==, 1);
	g_assert_cmpuint(route->max_attempts, ==, 2);
	g_assert_true(route->resumable && !route->is_public);
	route = route_config_match(config, "a.example", "/w/x");
	g_assert_cmpint((int)route->kind, ==, ROUTE_AT_MOST_ONCE);
	g_assert_true(route->is_public);
	g_assert_cmpuint(route->targets->len, ==, 2);
	/* requests of an unknown kind are not retried */
	g_assert_cmpint((int)route_config_match(config, "a.example", "/n/x")->kind, ==,
			ROUTE_AT_MOST_ONCE);
	service = route_config_find_service(config, "s1");
	g_assert_true(service->has_engines && service->engine.can_migrate &&
		      service->engine.can_backup);
	g_assert_cmpuint(service->engine.kv_tokens, ==, 34403);
	g_assert_cmpuint(service->engine.tokens_per_event, ==, 4);
	g_assert_false(route_config_find_service(config, "s2")->has_engines);
	g_assert_cmpint(route_config_find_customer(config, "k2")->priority, ==, 1);
	g_assert_cmpint(route_config_find_customer(config, "k3")->priority, ==, -1);
	g_assert_null(route_config_find_customer(config, "k4"));
	g_assert_cmpuint(route_config_limits(config)->idle_timeout_ms, ==, 15000);
	route_config_unref(config);
}

static void test_config_broken(void)
{
	static const char *const texts[] = { "",
					     "7",
					     "{}",
					     "{\"version\":\"7\",\"routes\":[]}",
					     "{\"version\":7}",
					     "{\"version\":7,\"routes\":{}}",
					     "{\"version\":7,\"routes\":[",
					     "{\"version\":7,\"routes\":[,]}",
					     "{\"version\":7,\"routes\":[{}{}]}",
					     "{\"version\":7,,\"routes\":[]}",
					     "{\"version\":7 \"routes\":[]}",
					     "{\"version\":7,\"routes\":[]}x",
					     "{7:7,\"version\":7,\"routes\":[]}" };

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_null(platform_decode_config(texts[i], strlen(texts[i])));
}

/* Decoding in parts of any size gives the same configuration, and no beginning of the text is taken
 * for a configuration. One part never decodes more than it is allowed to. */
static void test_config_parts(void)
{
	g_autoptr(GBytes) text = g_bytes_new_static(config_text, strlen(config_text));

	for (uint32_t items = 1; items < 20; items++) {
		struct store_config_decoder *decoder = platform_config_decoder_create(text);
		struct route_config *config;
		uint32_t steps = 1;

		while (!platform_config_decoder_step(decoder, items))
			steps++;
		config = platform_config_decoder_result(decoder);
		g_assert_nonnull(config);
		g_assert_cmpuint(route_config_version(config), ==, 7);
		g_assert_cmpuint(route_config_route_count(config), ==, 3);
		g_assert_cmpuint(route_config_limits(config)->idle_timeout_ms, ==, 15000);
		g_assert_nonnull(route_config_find_customer(config, "k3"));
		/* the text has five routes, three services and three customers */
		g_assert_cmpuint(steps * items, >=, 11);
		route_config_unref(config);
		platform_config_decoder_destroy(decoder);
	}
	for (size_t len = 0; len < strlen(config_text); len++)
		g_assert_null(platform_decode_config(config_text, len));
}

static bool upstream_is_malformed(const char *text)
{
	struct store_change *change = g_new0(struct store_change, 1);
	bool malformed;

	platform_decode_upstream(text, strlen(text), change);
	malformed = change->malformed;
	platform_change_free(change);
	return malformed;
}

#define SOUND_ADDRESS "\"10.0.0.1:80\""

/* Returns whether an entry with these members is malformed, beside sound ones. */
static bool entry_is_malformed(const char *address, const char *more)
{
	g_autofree char *text = g_strdup_printf(
		"{\"service\":\"s\",\"address\":%s,\"zone\":\"z\",\"state\":\"ready\"%s}", address,
		more);

	return upstream_is_malformed(text);
}

/* An entry that another writer left among those of the upstreams names none, and the others hold.
 */
static void test_odd_entries(void)
{
	static const char *const addresses[] = {
		"\"10.0.0.1:65536\"", "\"10.0.0.1:99999\"", "\"10.0.0.1:0\"",
		"\"10.0.0.1:-1\"",    "\"10.0.0.1:\"",	    "\"10.0.0.1:80x\"",
		"\"10.0.0:80\"",      "\"host:80\"",	    "\":80\"",
		"\"10.0.0.1:80:90\"", "\"10.0.0.256:80\"",  "80",
	};
	static const char *const members[] = {
		",\"slots\":1e300",
		",\"slots\":-1",
		",\"version\":1",
		",\"version\":\"\"",
		",\"slots\":\"8\"",
		",\"slots\":99999999999",
		",\"slots\":9999999999999999999999",
		",\"cold_left_ms\":1e300",
		",\"cold_left_ms\":4294967296",
		",\"born\":-1",
		",\"born\":1e300",
		",\"born\":99999999999999999999",
		",\"zone\":\"a\\r\\nb\"",
	};
	static const char rows[] =
		"{\"row_version\":5,\"rows\":["
		"{\"table\":\"servers\",\"part\":\"\",\"key\":\"a\\u0000b\",\"value\":\"e30=\"},"
		"{\"table\":\"servers\",\"part\":\"\",\"key\":\"a\\r\\nX: "
		"b\",\"value\":"
		"\"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJ6Iiwic3RhdGUiOiJy"
		"ZWFkeSJ9\"},"
		"{\"table\":\"servers\",\"part\":\"\",\"key\":\"i-1\",\"value\":"
		"\"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJ6Iiwic3RhdGUiOiJy"
		"ZWFkeSJ9\"}]}";
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(platform_change_free);
	g_autofree char *nested = g_strnfill(100000, '[');
	g_autofree char *deep = g_strdup_printf(",\"slots\":%s", nested);
	uint64_t version;

	g_assert_false(entry_is_malformed(SOUND_ADDRESS, ""));
	g_assert_false(entry_is_malformed("\"10.0.0.1:65535\"", ",\"slots\":48.0"));
	g_assert_true(entry_is_malformed(SOUND_ADDRESS, deep));
	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		g_assert_true(entry_is_malformed(addresses[i], ""));
	for (size_t i = 0; i < G_N_ELEMENTS(members); i++)
		g_assert_true(entry_is_malformed(SOUND_ADDRESS, members[i]));
	g_assert_true(platform_decode_rows(rows, strlen(rows), STORE_TABLE_UPSTREAMS, changes,
					   &version, NULL, NULL));
	g_assert_cmpuint(changes->len, ==, 2);
	g_assert_true(((struct store_change *)changes->pdata[0])->malformed);
	g_assert_false(((struct store_change *)changes->pdata[1])->malformed);
}

static void test_upstream(void)
{
	struct store_change *change = g_new0(struct store_change, 1);
	const char *text = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
			   "\"version\":\"v1\",\"slots\":48,\"state\":\"draining\","
			   "\"cold_left_ms\":900,\"seq_no\":4,\"born\":1700000000123}";

	platform_decode_upstream(text, strlen(text), change);
	g_assert_false(change->malformed);
	g_assert_true(change->leaving);
	g_assert_cmpuint(change->slots, ==, 48);
	g_assert_cmpuint(change->cold_ms, ==, 900);
	g_assert_cmpuint(change->started_ms, ==, 1700000000123);
	g_assert_cmpstr(change->software_version, ==, "v1");
	platform_change_free(change);
	g_assert_true(upstream_is_malformed(""));
	g_assert_true(upstream_is_malformed("\xff\xfe"));
	g_assert_true(upstream_is_malformed("[]"));
	g_assert_true(
		upstream_is_malformed("{\"service\":1,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
				      "\"state\":\"ready\"}"));
	g_assert_true(
		upstream_is_malformed("{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\","
				      "\"state\":\"ready\"}"));
	g_assert_true(upstream_is_malformed(
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"state\":\"asleep\"}"));
	g_assert_true(upstream_is_malformed(
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"state\":\"ready\",\"born\":1.5}"));
	g_assert_false(upstream_is_malformed("{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
					     "\"zone\":\"z\",\"state\":\"ready\"}"));
}

static void test_rows(void)
{
	g_autofree char *value = g_base64_encode((const guchar *)config_text, strlen(config_text));
	g_autofree char *text =
		g_strdup_printf("{\"rows\":[{\"table\":\"op\",\"key\":\"config\",\"value\":\"%s\"},"
				"{\"key\":\"other\",\"value\":\"\"},{\"value\":\"x\"}],"
				"\"has_more\":true,\"row_version\":530,\"now_ms\":5}",
				value);
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(platform_change_free);
	g_autofree char *last_key = NULL;
	uint64_t version = 0;
	bool more = false;

	g_assert_true(platform_decode_rows(text, strlen(text), STORE_TABLE_CONFIG, changes,
					   &version, &more, &last_key));
	g_assert_cmpuint(version, ==, 530);
	g_assert_true(more);
	g_assert_cmpstr(last_key, ==, "other");
	g_assert_cmpuint(changes->len, ==, 1);
	g_assert_cmpuint(g_bytes_get_size(((struct store_change *)changes->pdata[0])->config_text),
			 ==, strlen(config_text));
	/* An answer without length may be cut anywhere. */
	for (size_t len = 0; len < strlen(text); len++)
		g_assert_false(platform_decode_rows(text, len, STORE_TABLE_CONFIG, changes,
						    &version, NULL, NULL));
	g_assert_false(platform_decode_rows("{\"rows\":[]}", 11, STORE_TABLE_CONFIG, changes,
					    &version, NULL, NULL));
	g_assert_false(
		platform_decode_rows("[", 1, STORE_TABLE_CONFIG, changes, &version, NULL, NULL));
}

/* Rows that evacuate a zone are decoded beside the configuration, whatever their value; a name that
 * is none must not hide the others. */
static void test_rows_evacuation(void)
{
	const char *text = "{\"rows\":[{\"key\":\"config\",\"value\":\"e30=\"},"
			   "{\"key\":\"evacuate/z1\",\"value\":\"e30=\"},"
			   "{\"key\":\"evacuate/z2\",\"value\":\"!\"},"
			   "{\"key\":\"evacuate/z3\",\"value\":7},"
			   "{\"key\":\"evacuate/z4\",\"deleted\":true},"
			   "{\"key\":\"evacuate/\",\"value\":\"e30=\"},"
			   "{\"key\":\"evacuate/a\\nb\",\"value\":\"e30=\"},"
			   "{\"key\":\"evacuated/z5\",\"value\":\"e30=\"}],\"row_version\":9}";
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(platform_change_free);
	static const char *const zones[] = { "z1", "z2", "z3", "z4", "", "a\nb" };
	uint64_t version;

	g_assert_true(platform_decode_rows(text, strlen(text), STORE_TABLE_CONFIG, changes,
					   &version, NULL, NULL));
	g_assert_cmpuint(changes->len, ==, G_N_ELEMENTS(zones) + 1);
	for (guint i = 0; i < G_N_ELEMENTS(zones); i++) {
		const struct store_change *change = changes->pdata[i];

		g_assert_null(change->config_text);
		g_assert_cmpstr(change->zone, ==, zones[i]);
		g_assert_true(change->removed == (i == 3));
		g_assert_true(change->malformed == (i >= 4));
	}
	g_assert_nonnull(((struct store_change *)changes->pdata[6])->config_text);
}

static void test_rows_upstreams(void)
{
	const char *text = "{\"rows\":[{\"key\":\"a\",\"deleted\":true},"
			   "{\"key\":\"b\",\"value\":\"bm90IGpzb24=\"}],\"row_version\":9}";
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(platform_change_free);
	const struct store_change *change;
	uint64_t version;

	g_assert_true(platform_decode_rows(text, strlen(text), STORE_TABLE_UPSTREAMS, changes,
					   &version, NULL, NULL));
	change = changes->pdata[0];
	g_assert_true(change->removed && !change->malformed);
	change = changes->pdata[1];
	g_assert_true(change->malformed && !change->removed);
}

/* Each row has the version of its last write; one that is no version counts as unknown. Both of the
 * system's own tables have texts. */
static void test_rows_version(void)
{
	const char *text = "{\"rows\":[{\"key\":\"config\",\"value\":\"e30=\",\"row_version\":11},"
			   "{\"key\":\"evacuate/z1\",\"value\":\"e30=\",\"row_version\":12},"
			   "{\"key\":\"evacuate/z2\",\"deleted\":true,\"row_version\":13},"
			   "{\"key\":\"evacuate/z3\",\"value\":\"e30=\"},"
			   "{\"key\":\"evacuate/z4\",\"value\":\"e30=\",\"row_version\":\"15\"},"
			   "{\"key\":\"evacuate/z5\",\"value\":\"e30=\",\"row_version\":-1},"
			   "{\"key\":\"evacuate/z6\",\"value\":\"e30=\",\"row_version\":"
			   "9007199254740993}],\"row_version\":90}";
	static const uint64_t versions[] = { 11, 12, 13, 0, 0, 0, 9007199254740993 };
	uint64_t version;

	for (int table = 0; table < STORE_TABLE_COUNT; table++) {
		g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(platform_change_free);
		bool is_text = table == STORE_TABLE_OWN || table == STORE_TABLE_STREAMS;

		g_assert_true(platform_decode_rows(text, strlen(text), (enum store_table)table,
						   changes, &version, NULL, NULL));
		g_assert_cmpuint(version, ==, 90);
		g_assert_cmpuint(changes->len, ==, G_N_ELEMENTS(versions));
		for (guint i = 0; i < changes->len; i++) {
			const struct store_change *change = changes->pdata[i];
			/* the configuration comes last among the rows of its table */
			guint number = table == STORE_TABLE_CONFIG ? (i + 1) % changes->len : i;

			g_assert_cmpuint(change->row_version, ==, versions[number]);
			g_assert_true(change->removed == (number == 2));
			g_assert_cmpstr(change->text, ==, is_text && number != 2 ? "{}" : NULL);
		}
	}
}

/* A request as an HTTP server received and decoded it. */
struct decoded {
	uv_loop_t loop;
	struct protocol_request request;
	bool done;
};

static void decoded_on_request(void *ctx, struct http_req *req)
{
	struct decoded *decoded = ctx;

	platform_protocol()->decode(req, &decoded->request);
	decoded->done = true;
	http_req_reply(req, 200, NULL, "", 0);
}

/* Sends a request with the header lines to a server. */
static void decode_headers(struct decoded *decoded, const char *headers)
{
	struct http_server_conf conf = { .address = "127.0.0.1", .max_body_bytes = 1000 };
	struct http_server *srv;
	g_autofree char *text = g_strdup_printf("GET /a HTTP/1.1\r\nHost: h\r\n%s\r\n", headers);
	struct sockaddr_in addr = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(decoded, 0, sizeof(*decoded));
	uv_loop_init(&decoded->loop);
	srv = http_server_create(&decoded->loop, &conf, decoded_on_request, decoded, NULL);
	addr.sin_port = htons(http_server_port(srv));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), ==, 0);
	g_assert_cmpint(send(fd, text, strlen(text), 0), ==, (int)strlen(text));
	while (!decoded->done)
		uv_run(&decoded->loop, UV_RUN_ONCE);
	close(fd);
	http_server_destroy(srv);
	while (uv_run(&decoded->loop, UV_RUN_NOWAIT))
		;
	uv_loop_close(&decoded->loop);
}

static void test_request(void)
{
	struct decoded decoded;
	const struct protocol_attempt attempt = { .upstream_id = "i-1",
						  .customer = "acme",
						  .left_ms = 1200,
						  .backup = "10.0.0.2:80",
						  .from_address = "10.0.0.3:80",
						  .from_handle = "h7",
						  .last_event_id = "12",
						  .priority = 1 };
	g_autofree char *out = NULL;

	decode_headers(
		&decoded,
		"X-Flamingolatch-Attempt-Id: abc\r\nX-Flamingolatch-Deadline-Ms: 3000\r\n"
		"X-Flamingolatch-Token-Usage: 1460,80\r\nX-Flamingolatch-Length-Hint: 33\r\n"
		"X-Flamingolatch-Prompt-Prefix: 5C1e07a2:800, "
		"91bd3f06:410,:7,91bd3f0691bd3f0691:2,e4402b7d:250\r\n"
		"X-Flamingolatch-Model: m\r\nX-Flamingolatch-Prompt-Prefix: 5c:800,91:410\r\n"
		"Authorization: Bearer k1\r\nX-Custom: kept\r\nX-Hop: dropped\r\n"
		"Connection: keep-alive, X-Hop\r\n");
	g_assert_cmpstr(decoded.request.id, ==, "abc");
	g_assert_cmpstr(decoded.request.key, ==, "k1");
	g_assert_cmpuint(decoded.request.wait_ms, ==, 3000);
	g_assert_cmpuint(decoded.request.prompt_tokens, ==, 1460);
	g_assert_cmpuint(decoded.request.prompt_part_count, ==, 4);
	g_assert_cmphex(decoded.request.prompt_parts[0], ==, 0x5c1e07a2);
	g_assert_cmphex(decoded.request.prompt_parts[1], ==, 0x91bd3f06);
	g_assert_cmphex(decoded.request.prompt_parts[2], !=, 0);
	g_assert_cmphex(decoded.request.prompt_parts[3], ==, 0xe4402b7d);
	g_assert_cmpuint(decoded.request.max_output_tokens, ==, 80);
	g_assert_cmpuint(decoded.request.hinted_output_tokens, ==, 33);
	out = platform_protocol()->encode(&decoded.request, &attempt);
	g_assert_nonnull(strstr(out, "x-custom: kept\r\n"));
	g_assert_nonnull(strstr(out, "x-flamingolatch-prompt-prefix: 5c:800,91:410\r\n"));
	g_assert_nonnull(strstr(out, "x-flamingolatch-attempt-id: abc\r\n"));
	g_assert_nonnull(strstr(out, "X-Flamingolatch-Deadline-Ms: 1200\r\n"));
	g_assert_nonnull(strstr(out, "X-Flamingolatch-Expect-Replica: i-1\r\n"));
	g_assert_nonnull(strstr(out, "X-Flamingolatch-Tenant: acme\r\n"));
	g_assert_nonnull(strstr(out, "X-Flamingolatch-Kv-Backup: 10.0.0.2:80\r\n"));
	g_assert_nonnull(strstr(out, "Kv-From: 10.0.0.3:80/h7\r\n"));
	g_assert_nonnull(strstr(out, "Last-Event-Id: 12\r\n"));
	g_assert_null(strstr(out, "3000"));
	g_assert_null(strstr(out, "k1"));
	g_assert_null(strstr(out, "dropped"));
	protocol_request_clear(&decoded.request);
}

/* Headers that only the system may set are not forwarded from a caller. */
static void test_reserved_headers(void)
{
	struct decoded decoded;
	const struct protocol_attempt attempt = { .upstream_id = "i-1", .priority = -1 };
	g_autofree char *out = NULL;

	decode_headers(
		&decoded,
		"X-Flamingolatch-Attempt-Id: abc\r\nX-Flamingolatch-Tenant: forged\r\n"
		"X-Flamingolatch-Hold: forged\r\nX-Flamingolatch-Pin-Ms: 1\r\n"
		"X-Flamingolatch-Kv-Backup: forged\r\nKv-From: forged\r\nKv-Fetch: forged\r\n"
		"X-Flamingolatch-Expect-Replica: forged\r\n"
		"X-Flamingolatch-Request-Priority: 0\r\n"
		"X-Flamingolatch-Expect-Version: 9\r\n"
		"X-Flamingolatch-Not-Executed: 1\r\n"
		"X-Flamingolatch-Replica-Signature: forged\r\n"
		"Authorization: Basic k1\r\n");
	g_assert_null(decoded.request.key);
	out = platform_protocol()->encode(&decoded.request, &attempt);
	g_assert_cmpstr(out, ==,
			"x-flamingolatch-attempt-id: abc\r\n"
			"X-Flamingolatch-Expect-Replica: i-1\r\n");
	protocol_request_clear(&decoded.request);
}

/* A restriction that cannot be read must not be taken for none. */
static void test_regions(void)
{
	static const char format[] = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
				     "\"prefix\":\"/\",\"service\":\"s\","
				     "\"route_kind\":\"safe\"%s}],\"services\":[],\"tenants\":[{"
				     "\"name\":\"t\",\"api_keys\":[\"k\"]%s}]}";
	static const char *const malformed[] = { "\"north\"", "7",	"{}",		"null",
						 "[1]",	      "[\"\"]", "[[\"north\"]]" };
	g_autofree char *text = g_strdup_printf(format, ",\"allowed_regions\":[\"north\"]",
						",\"allowed_regions\":[]");
	struct route_config *config = platform_decode_config(text, strlen(text));
	const struct route *route = route_config_match(config, "h", "/");

	g_assert_cmpuint(route->regions->len, ==, 1);
	g_assert_true(route_allows_region(route, route_config_find_customer(config, "k"), "north"));
	g_assert_false(
		route_allows_region(route, route_config_find_customer(config, "k"), "south"));
	route_config_unref(config);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		g_autofree char *regions = g_strdup_printf(",\"allowed_regions\":%s", malformed[i]);
		g_autofree char *in_route = g_strdup_printf(format, regions, "");
		g_autofree char *in_customer = g_strdup_printf(format, "", regions);

		g_assert_null(platform_decode_config(in_route, strlen(in_route)));
		g_assert_null(platform_decode_config(in_customer, strlen(in_customer)));
	}
}

/* A request that is passed on has what its caller sent and the mark, which no upstream gets. */
static void test_passed_on(void)
{
	static const struct {
		const char *value;
		uint32_t runs;
	} marks[] = { { "0", 0 }, { "2", 2 }, { "99999999999", 100 }, { "x", 0 }, { "", 0 } };
	const struct protocol_attempt attempt = { .upstream_id = "i-1", .priority = -1 };
	const struct protocol_ops *ops = platform_protocol();

	for (size_t i = 0; i < G_N_ELEMENTS(marks); i++) {
		g_autofree char *headers = g_strdup_printf(
			"X-Flamingolatch-Attempt-Id: abc\r\nAuthorization: Bearer k1\r\n"
			"Last-Event-Id: 7\r\nResumes: first\r\nX-Flamingolatch-Tenant: forged\r\n"
			"X-Flamingolatch-No-Path: 1\r\nX-Flamingolatch-Passed-On: %s\r\n",
			marks[i].value);
		g_autofree char *to_upstream = NULL;
		g_autofree char *to_peer = NULL;
		struct decoded decoded;

		decode_headers(&decoded, headers);
		g_assert_true(decoded.request.passed_on);
		g_assert_cmpuint(decoded.request.runs, ==, marks[i].runs);
		to_upstream = ops->encode(&decoded.request, &attempt);
		g_assert_null(strstr(to_upstream, "passed-on"));
		g_assert_null(strstr(to_upstream, "no-path"));
		to_peer = ops->encode_passed_on(&decoded.request, 900, 3);
		g_assert_nonnull(strstr(to_peer, "x-flamingolatch-attempt-id: abc\r\n"));
		g_assert_nonnull(strstr(to_peer, "Authorization: Bearer k1\r\n"));
		g_assert_nonnull(strstr(to_peer, "Last-Event-Id: 7\r\n"));
		g_assert_nonnull(strstr(to_peer, "resumes: first\r\n"));
		g_assert_nonnull(strstr(to_peer, "X-Flamingolatch-Deadline-Ms: 900\r\n"));
		g_assert_nonnull(strstr(to_peer, "x-flamingolatch-passed-on: 3\r\n"));
		g_assert_null(strstr(to_peer, "tenant"));
		protocol_request_clear(&decoded.request);
	}
}

static void test_migration(void)
{
	const struct protocol_ops *ops = platform_protocol();
	struct protocol_migration migration = { "abc", "10.0.0.2:80", true };
	struct protocol_kv_copy kv_copy = { 0 };
	const char *answer = "{\"kv_handle\":\"h1\",\"created\":17}";
	char *path;
	char *body;

	ops->encode_migration(&migration, &path, &body);
	g_assert_cmpstr(path, ==, "/kv-move");
	g_assert_nonnull(strstr(body, "\"to\":\"10.0.0.2:80\""));
	g_assert_nonnull(strstr(body, "\"last\":true"));
	g_free(path);
	free(body);
	g_assert_true(ops->decode_kv_copy(answer, strlen(answer), &kv_copy));
	g_assert_cmpstr(kv_copy.handle, ==, "h1");
	g_assert_cmpuint(kv_copy.event_count, ==, 17);
	g_free(kv_copy.handle);
	for (size_t len = 0; len < strlen(answer); len++)
		g_assert_false(ops->decode_kv_copy(answer, len, &kv_copy));
	g_assert_false(ops->decode_kv_copy("{}", 2, &kv_copy));
}

static void test_limit(void)
{
	static const char *const malformed[] = { "",	"x",   "1x",  "-1", "nan",
						 "inf", "1e9", "1,5", "1 2" };

	g_assert_cmpfloat(platform_parse_limit("3.4"), ==, 3.4);
	g_assert_cmpfloat(platform_parse_limit("0"), ==, 0.0);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		g_assert_cmpfloat(platform_parse_limit(malformed[i]), <, 0.0);
}

/* Terms for cold upstreams and the time that an answer states; what is none sets no limit and makes
 * no upstream cold. */
static void test_cold(void)
{
	static const char format[] = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\","
				     "\"cold_per_s\":%s,\"cold_start_s\":%s}]}";
	static const char *const malformed[] = { "-1",	 "0",	 "1e300", "\"22\"", "null",
						 "true", "[22]", "{}",	  "1e7" };
	static const char *const odd_ms[] = { "",	"-1",	   "x",		 "1.5",
					      "900 ms", "3600001", "99999999999" };
	g_autofree char *text = g_strdup_printf(format, "22", "1.5");
	struct route_config *config = platform_decode_config(text, strlen(text));
	const struct route_service *service = route_config_find_service(config, "s");

	g_assert_cmpfloat(service->cold_per_s, ==, 22.0);
	g_assert_cmpuint(service->cold_start_ms, ==, 1500);
	route_config_unref(config);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		g_autofree char *odd = g_strdup_printf(format, malformed[i], malformed[i]);

		config = platform_decode_config(odd, strlen(odd));
		service = route_config_find_service(config, "s");
		g_assert_cmpfloat(service->cold_per_s, ==, 0.0);
		g_assert_cmpuint(service->cold_start_ms, ==, 0);
		route_config_unref(config);
	}
	g_assert_cmpuint(platform_parse_cold_ms("900"), ==, 900);
	g_assert_cmpuint(platform_parse_cold_ms("0"), ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_ms); i++)
		g_assert_cmpuint(platform_parse_cold_ms(odd_ms[i]), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/config", test_config);
	g_test_add_func("/platform/config-broken", test_config_broken);
	g_test_add_func("/platform/config-parts", test_config_parts);
	g_test_add_func("/platform/listing", test_upstream);
	g_test_add_func("/platform/rows", test_rows);
	g_test_add_func("/platform/rows-evacuation", test_rows_evacuation);
	g_test_add_func("/platform/rows-upstreams", test_rows_upstreams);
	g_test_add_func("/platform/rows-version", test_rows_version);
	g_test_add_func("/platform/request", test_request);
	g_test_add_func("/platform/forged", test_reserved_headers);
	g_test_add_func("/platform/passed-on", test_passed_on);
	g_test_add_func("/platform/move", test_migration);
	g_test_add_func("/platform/regions", test_regions);
	g_test_add_func("/platform/limit", test_limit);
	g_test_add_func("/platform/cold", test_cold);
	g_test_add_func("/platform/odd-entries", test_odd_entries);
	return g_test_run();
}
