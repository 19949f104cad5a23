/**
 * @file test_platform.c
 * The adapter to the users' platform: every message decoded and encoded,
 * broken fields included.
 */
#include "../platform/pf.h"

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
	struct rt_config *config = pf_decode_config(config_text, strlen(config_text));
	const struct rt_route *route;
	const struct rt_service *service;

	g_assert_nonnull(config);
	g_assert_cmpuint(rt_config_version(config), ==, 7);
	g_assert_cmpuint(rt_config_route_count(config), ==, 3);
	route = rt_match(config, "a.example", "/q/x");
	g_assert_cmpstr(route->name, ==, "r1");
	g_assert_cmpint((int)route->kind, ==, RT_STREAM);
	g_assert_cmpuint(route->timeout_ms, ==, 6000);
	g_assert_cmpuint(route->objective_ms, ==, 1500);
	g_assert_cmpuint(route->max_gap_ms, ==, 180);
	g_assert_cmpuint(route->priority, ==, 1);
	g_assert_cmpuint(route->max_attempts, ==, 2);
	g_assert_true(route->resumable && !route->open);
	route = rt_match(config, "a.example", "/w/x");
	g_assert_cmpint((int)route->kind, ==, RT_ONCE);
	g_assert_true(route->open);
	g_assert_cmpuint(route->targets->len, ==, 2);
	/* a kind that is not known may not be repeated */
	g_assert_cmpint((int)rt_match(config, "a.example", "/n/x")->kind, ==, RT_ONCE);
	service = rt_find_service(config, "s1");
	g_assert_true(service->generates && service->engine.moves && service->engine.backups);
	g_assert_cmpuint(service->engine.kv_tokens, ==, 34403);
	g_assert_cmpuint(service->engine.tokens_per_event, ==, 4);
	g_assert_false(rt_find_service(config, "s2")->generates);
	g_assert_cmpint(rt_find_customer(config, "k2")->priority, ==, 1);
	g_assert_cmpint(rt_find_customer(config, "k3")->priority, ==, -1);
	g_assert_null(rt_find_customer(config, "k4"));
	g_assert_cmpuint(rt_config_limits(config)->idle_timeout_ms, ==, 15000);
	rt_config_unref(config);
}

static void test_config_broken(void)
{
	static const char *const texts[] = { "",
					     "7",
					     "{}",
					     "{\"version\":\"7\",\"routes\":[]}",
					     "{\"version\":7}",
					     "{\"version\":7,\"routes\":{}}",
					     "{\"version\":7,\"routes\":[" };

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_null(pf_decode_config(texts[i], strlen(texts[i])));
}

static bool listing_broken(const char *text)
{
	struct src_change *change = g_new0(struct src_change, 1);
	bool broken;

	pf_decode_listing(text, strlen(text), change);
	broken = change->broken;
	pf_change_free(change);
	return broken;
}

static void test_listing(void)
{
	struct src_change *change = g_new0(struct src_change, 1);
	const char *text = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
			   "\"version\":\"v1\",\"slots\":48,\"state\":\"draining\","
			   "\"cold_left_ms\":900,\"seq_no\":4,\"born\":1700000000123}";

	pf_decode_listing(text, strlen(text), change);
	g_assert_false(change->broken);
	g_assert_true(change->leaving);
	g_assert_cmpuint(change->slots, ==, 48);
	g_assert_cmpuint(change->cold_ms, ==, 900);
	g_assert_cmpuint(change->started_ms, ==, 1700000000123);
	pf_change_free(change);
	g_assert_true(listing_broken(""));
	g_assert_true(listing_broken("\xff\xfe"));
	g_assert_true(listing_broken("[]"));
	g_assert_true(listing_broken("{\"service\":1,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
				     "\"state\":\"ready\"}"));
	g_assert_true(listing_broken("{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\","
				     "\"state\":\"ready\"}"));
	g_assert_true(
		listing_broken("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
			       "\"state\":\"asleep\"}"));
	g_assert_true(
		listing_broken("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
			       "\"state\":\"ready\",\"born\":1.5}"));
	g_assert_false(listing_broken("{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
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
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(pf_change_free);
	g_autofree char *last = NULL;
	uint64_t version = 0;
	bool more = false;

	g_assert_true(
		pf_decode_rows(text, strlen(text), SRC_CONFIG, changes, &version, &more, &last));
	g_assert_cmpuint(version, ==, 530);
	g_assert_true(more);
	g_assert_cmpstr(last, ==, "other");
	g_assert_cmpuint(changes->len, ==, 1);
	g_assert_nonnull(((struct src_change *)changes->pdata[0])->config);
	g_assert_false(
		pf_decode_rows("{\"rows\":[]}", 11, SRC_CONFIG, changes, &version, NULL, NULL));
	g_assert_false(pf_decode_rows("[", 1, SRC_CONFIG, changes, &version, NULL, NULL));
}

static void test_rows_upstreams(void)
{
	const char *text = "{\"rows\":[{\"key\":\"a\",\"deleted\":true},"
			   "{\"key\":\"b\",\"value\":\"bm90IGpzb24=\"}],\"row_version\":9}";
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(pf_change_free);
	const struct src_change *change;
	uint64_t version;

	g_assert_true(
		pf_decode_rows(text, strlen(text), SRC_UPSTREAMS, changes, &version, NULL, NULL));
	change = changes->pdata[0];
	g_assert_true(change->gone && !change->broken);
	change = changes->pdata[1];
	g_assert_true(change->broken && !change->gone);
}

/* What a request becomes on its way through the surface. */
struct passage {
	uv_loop_t loop;
	struct srf_request request;
	bool done;
};

static void passage_on_request(void *ctx, struct http_req *req)
{
	struct passage *passage = ctx;

	pf_surface()->decode(req, &passage->request);
	passage->done = true;
	http_req_reply(req, 200, NULL, "", 0);
}

static void passage_run(struct passage *passage, const char *headers)
{
	struct http_server_conf conf = { .address = "127.0.0.1", .max_body_bytes = 1000 };
	struct http_server *srv;
	g_autofree char *text = g_strdup_printf("GET /a HTTP/1.1\r\nHost: h\r\n%s\r\n", headers);
	struct sockaddr_in addr = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(passage, 0, sizeof(*passage));
	uv_loop_init(&passage->loop);
	srv = http_server_create(&passage->loop, &conf, passage_on_request, passage, NULL);
	addr.sin_port = htons(http_server_port(srv));
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), ==, 0);
	g_assert_cmpint(send(fd, text, strlen(text), 0), ==, (int)strlen(text));
	while (!passage->done)
		uv_run(&passage->loop, UV_RUN_ONCE);
	close(fd);
	http_server_destroy(srv);
	while (uv_run(&passage->loop, UV_RUN_NOWAIT))
		;
	uv_loop_close(&passage->loop);
}

static void test_request(void)
{
	struct passage passage;
	const struct srf_send send = { .upstream_id = "i-1",
				       .customer = "acme",
				       .left_ms = 1200,
				       .backup = "10.0.0.2:80",
				       .from_address = "10.0.0.3:80",
				       .from_handle = "h7",
				       .last_event_id = "12",
				       .priority = 1 };
	g_autofree char *out = NULL;

	passage_run(&passage,
		    "X-Flamingolatch-Attempt-Id: abc\r\nX-Flamingolatch-Deadline-Ms: 3000\r\n"
		    "X-Flamingolatch-Token-Usage: 1460,80\r\nX-Flamingolatch-Length-Hint: 33\r\n"
		    "X-Flamingolatch-Model: m\r\nX-Flamingolatch-Prompt-Prefix: 5c:800,91:410\r\n"
		    "Authorization: Bearer k1\r\nX-Custom: kept\r\nX-Hop: dropped\r\n"
		    "Connection: keep-alive, X-Hop\r\n");
	g_assert_cmpstr(passage.request.id, ==, "abc");
	g_assert_cmpstr(passage.request.key, ==, "k1");
	g_assert_cmpuint(passage.request.wait_ms, ==, 3000);
	g_assert_cmpuint(passage.request.prompt_tokens, ==, 1460);
	g_assert_cmpuint(passage.request.max_output_tokens, ==, 80);
	g_assert_cmpuint(passage.request.hinted_output_tokens, ==, 33);
	out = pf_surface()->encode(&passage.request, &send);
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
	srf_request_clear(&passage.request);
}

/* What only the system may set does not come from a caller. */
static void test_forged(void)
{
	struct passage passage;
	const struct srf_send send = { .upstream_id = "i-1", .priority = -1 };
	g_autofree char *out = NULL;

	passage_run(&passage,
		    "X-Flamingolatch-Attempt-Id: abc\r\nX-Flamingolatch-Tenant: forged\r\n"
		    "X-Flamingolatch-Hold: forged\r\nX-Flamingolatch-Pin-Ms: 1\r\n"
		    "X-Flamingolatch-Kv-Backup: forged\r\nKv-From: forged\r\nKv-Fetch: forged\r\n"
		    "X-Flamingolatch-Expect-Replica: forged\r\n"
		    "X-Flamingolatch-Request-Priority: 0\r\n"
		    "X-Flamingolatch-Expect-Version: 9\r\n"
		    "X-Flamingolatch-Not-Executed: 1\r\n"
		    "X-Flamingolatch-Replica-Signature: forged\r\n"
		    "Authorization: Basic k1\r\n");
	g_assert_null(passage.request.key);
	out = pf_surface()->encode(&passage.request, &send);
	g_assert_cmpstr(out, ==,
			"x-flamingolatch-attempt-id: abc\r\n"
			"X-Flamingolatch-Expect-Replica: i-1\r\n");
	srf_request_clear(&passage.request);
}

static void test_move(void)
{
	const struct srf_ops *ops = pf_surface();
	struct srf_move move = { "abc", "10.0.0.2:80", true };
	struct srf_moved moved = { 0 };
	const char *answer = "{\"kv_handle\":\"h1\",\"created\":17}";
	char *path;
	char *body;

	ops->encode_move(&move, &path, &body);
	g_assert_cmpstr(path, ==, "/kv-move");
	g_assert_nonnull(strstr(body, "\"to\":\"10.0.0.2:80\""));
	g_assert_nonnull(strstr(body, "\"last\":true"));
	g_free(path);
	free(body);
	g_assert_true(ops->decode_moved(answer, strlen(answer), &moved));
	g_assert_cmpstr(moved.handle, ==, "h1");
	g_assert_cmpuint(moved.events, ==, 17);
	g_free(moved.handle);
	g_assert_false(ops->decode_moved("{}", 2, &moved));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/config", test_config);
	g_test_add_func("/platform/config-broken", test_config_broken);
	g_test_add_func("/platform/listing", test_listing);
	g_test_add_func("/platform/rows", test_rows);
	g_test_add_func("/platform/rows-upstreams", test_rows_upstreams);
	g_test_add_func("/platform/request", test_request);
	g_test_add_func("/platform/forged", test_forged);
	g_test_add_func("/platform/move", test_move);
	return g_test_run();
}
