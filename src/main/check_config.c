#include "check_config.h"

#include "../../platform/platform.h"

#include <stdio.h>
#include <string.h>

/* Versions that an operator compares, and what was found. */
struct check {
	const char *file;
	const json_t *root;
	struct route_config *config; /* decoded, with the place of each route as its name */
	json_t *findings;
	json_t *differences;
};

static void G_GNUC_PRINTF(4, 5) check_add(struct check *check, const char *location,
					  const char *kind, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	json_array_append_new(check->findings, json_pack("{s:s, s:s, s:s}", "location", location,
							 "kind", kind, "text", text));
}

static const char *check_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

/* reading */

/* Reads a file. @return NULL when it is not JSON, after a message on standard error
 * @param duplicate set to the message of a member that comes twice, or to NULL */
static json_t *check_read(const char *file, char **duplicate)
{
	json_error_t error;
	json_t *root = json_load_file(file, 0, &error);
	json_t *strict;

	*duplicate = NULL;
	if (!root) {
		fprintf(stderr, "%s:%d:%d: %s\n", file, error.line, error.column, error.text);
		return NULL;
	}
	strict = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
	if (!strict)
		*duplicate = g_strdup_printf("line %d", error.line);
	json_decref(strict);
	return root;
}

/* Decodes a configuration by the product's decoder, with the place of each route as its name. */
static struct route_config *check_decode(const json_t *root)
{
	json_t *copy = json_deep_copy(root);
	struct route_config *config;
	json_t *route;
	char *text;
	size_t i;

	json_array_foreach(json_object_get(copy, "routes"), i, route)
	{
		g_autofree char *place = g_strdup_printf("routes[%zu]", i);

		if (json_is_object(route))
			json_object_set_new(route, "name", json_string(place));
	}
	text = json_dumps(copy, JSON_ENCODE_ANY);
	config = platform_decode_config(text, strlen(text));
	free(text);
	json_decref(copy);
	return config;
}

/* routes */

/* Checks that the matcher finds a route for some path. */
static void check_route_match(struct check *check, const char *place, const json_t *route)
{
	const char *prefix = check_text(route, "prefix");
	g_autofree char *below = g_strconcat(prefix, "x", NULL);
	const char *const paths[] = { prefix, below };
	const struct route *match = NULL;

	/* Paths of requests begin with a slash. */
	for (size_t i = 0; i < G_N_ELEMENTS(paths) && *prefix == '/'; i++) {
		match = route_config_match(check->config, check_text(route, "host"), paths[i]);
		if (match && strcmp(match->name, place) == 0)
			return;
	}
	check_add(check, place, "never-matches", "no request matches it%s%s",
		  match ? "; they match " : " (host without port, prefix with slashes around?)",
		  match ? match->name : "");
}

static void check_route_target(struct check *check, const char *place, const char *service)
{
	if (!route_config_find_service(check->config, service))
		check_add(check, place, "unknown-service", "service \"%s\" is not configured",
			  service);
}

static void check_route_targets(struct check *check, const char *place, const json_t *route)
{
	const json_t *split = json_object_get(route, "split");
	const json_t *part;
	size_t i;

	if (json_array_size(split) == 0 && !*check_text(route, "service"))
		check_add(check, place, "no-service", "no service answers its requests");
	if (json_array_size(split) == 0 && *check_text(route, "service"))
		check_route_target(check, place, check_text(route, "service"));
	json_array_foreach(split, i, part)
	{
		g_autofree char *target = g_strdup_printf("%s.split[%zu]", place, i);
		const json_t *weight = json_object_get(part, "weight");

		check_route_target(check, target, check_text(part, "service"));
		if (weight && json_number_value(weight) <= 0)
			check_add(check, target, "never-selected", "its weight is not positive");
	}
}

static void check_route_limits(struct check *check, const char *place, const struct route *route,
			       const json_t *root)
{
	const char *kind = check_text(root, "route_kind");

	if (route->queue_timeout_ms && route->queue_timeout_ms < route->latency_slo_ms)
		check_add(check, place, "deadline-below-objective",
			  "timeout_ms %u is below slo_ms %u", route->queue_timeout_ms,
			  route->latency_slo_ms);
	if (route->max_attempts > 1 && !route_allows_rerun(route))
		check_add(check, place, "attempts-not-allowed",
			  "max_attempts %u, but its requests may run only once",
			  route->max_attempts);
	if (route->max_attempts == 0)
		check_add(check, place, "no-attempts", "max_attempts is 0");
	if (strcmp(kind, "safe") != 0 && strcmp(kind, "unsafe") != 0 &&
	    strcmp(kind, "streaming") != 0)
		check_add(check, place, "unknown-kind",
			  "route_kind \"%s\" is taken for unsafe: requests run at most once", kind);
}

static void check_routes(struct check *check)
{
	const json_t *route;
	size_t i;

	json_array_foreach(json_object_get(check->root, "routes"), i, route)
	{
		g_autofree char *place = g_strdup_printf("routes[%zu]", i);
		const struct route *match;

		if (!*check_text(route, "host") || !*check_text(route, "prefix")) {
			check_add(check, place, "ignored", "it has no host or no prefix");
			continue;
		}
		check_route_match(check, place, route);
		check_route_targets(check, place, route);
		match = route_config_match(check->config, check_text(route, "host"),
					   check_text(route, "prefix"));
		if (match && strcmp(match->name, place) == 0)
			check_route_limits(check, place, match, route);
	}
}

/* services and customers */

/* Reports elements of a list without a name, or with that of an earlier one. */
static void check_names(struct check *check, const char *list)
{
	g_autoptr(GHashTable) seen = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const json_t *element;
	size_t i;

	json_array_foreach(json_object_get(check->root, list), i, element)
	{
		const char *name = check_text(element, "name");
		char *place = g_strdup_printf("%s[%zu]", list, i);

		if (!*name)
			check_add(check, place, "ignored", "it has no name");
		else if (g_hash_table_contains(seen, name))
			check_add(check, place, "duplicate-name", "the same name as %s",
				  (const char *)g_hash_table_lookup(seen, name));
		else {
			g_hash_table_insert(seen, (gpointer)name, place);
			place = NULL;
		}
		g_free(place);
	}
}

/* Reports API keys that two places have, without showing them, and customers without any. */
static void check_keys(struct check *check)
{
	g_autoptr(GHashTable) seen = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const json_t *customer;
	const json_t *key;
	size_t i;
	size_t k;

	json_array_foreach(json_object_get(check->root, "tenants"), i, customer)
	{
		const json_t *keys = json_object_get(customer, "api_keys");
		g_autofree char *place = g_strdup_printf("tenants[%zu]", i);

		if (json_array_size(keys) == 0)
			check_add(check, place, "no-keys", "no API key identifies it");
		json_array_foreach(keys, k, key)
		{
			g_autofree char *at = g_strdup_printf("%s.api_keys[%zu]", place, k);
			const char *text = json_string_value(key);

			if (!text)
				check_add(check, at, "ignored", "it is not a string");
			else if (g_hash_table_contains(seen, text))
				check_add(check, at, "duplicate-key", "the same key as %s",
					  (const char *)g_hash_table_lookup(seen, text));
			else
				g_hash_table_insert(seen, (gpointer)text, g_steal_pointer(&at));
		}
	}
}

/* differences */

/* Returns what tells an element of a list from the others, as a new string. */
static char *check_identity(const json_t *element)
{
	return *check_text(element, "name") ? g_strdup(check_text(element, "name"))
					    : g_strconcat(check_text(element, "host"),
							  check_text(element, "prefix"), NULL);
}

static const json_t *check_find(const json_t *list, const char *identity)
{
	const json_t *element;
	size_t i;

	json_array_foreach(list, i, element)
	{
		g_autofree char *other = check_identity(element);

		if (strcmp(other, identity) == 0)
			return element;
	}
	return NULL;
}

static void check_add_difference(struct check *check, const char *location, const char *change)
{
	json_array_append_new(check->differences,
			      json_pack("{s:s, s:s}", "location", location, "change", change));
}

/* Reports the members that differ, without their values: some are secret. */
static void check_compare(struct check *check, const char *location, const json_t *from,
			  const json_t *to)
{
	const char *name;
	json_t *value;

	json_object_foreach ((json_t *)to, name, value) {
		g_autofree char *at = g_strdup_printf("%s.%s", location, name);
		const json_t *old = json_object_get(from, name);

		if (!old || !json_equal(old, value))
			check_add_difference(check, at, old ? "changed" : "added");
	}
	json_object_foreach ((json_t *)from, name, value) {
		g_autofree char *at = g_strdup_printf("%s.%s", location, name);

		if (!json_object_get(to, name))
			check_add_difference(check, at, "removed");
	}
}

static void check_compare_list(struct check *check, const char *list, const json_t *from,
			       const json_t *to)
{
	const json_t *element;
	size_t i;

	json_array_foreach(to, i, element)
	{
		g_autofree char *identity = check_identity(element);
		g_autofree char *at = g_strdup_printf("%s \"%s\"", list, identity);
		const json_t *old = check_find(from, identity);

		if (old)
			check_compare(check, at, old, element);
		else
			check_add_difference(check, at, "added");
	}
	json_array_foreach(from, i, element)
	{
		g_autofree char *identity = check_identity(element);
		g_autofree char *at = g_strdup_printf("%s \"%s\"", list, identity);

		if (!check_find(to, identity))
			check_add_difference(check, at, "removed");
	}
}

static void check_against(struct check *check, const json_t *in_force)
{
	static const char *const lists[] = { "routes", "services", "tenants" };
	json_int_t version = json_integer_value(json_object_get(check->root, "version"));
	json_int_t known = json_integer_value(json_object_get(in_force, "version"));

	if (version <= known)
		check_add(check, "version", "version-not-newer",
			  "%" JSON_INTEGER_FORMAT " is not above %" JSON_INTEGER_FORMAT
			  " in force: instances will not apply it",
			  version, known);
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		check_compare_list(check, lists[i], json_object_get(in_force, lists[i]),
				   json_object_get(check->root, lists[i]));
	check_compare(check, "limits", json_object_get(in_force, "limits"),
		      json_object_get(check->root, "limits"));
}

/* output */

static void check_print(const struct check *check, bool as_json)
{
	const json_t *entry;
	size_t i;

	if (as_json) {
		json_t *out = json_pack("{s:O, s:O}", "findings", check->findings, "differences",
					check->differences);

		json_dumpf(out, stdout, JSON_INDENT(2));
		printf("\n");
		json_decref(out);
		return;
	}
	json_array_foreach(check->findings, i, entry)
	{
		printf("%s: %s: %s: %s\n", check->file, check_text(entry, "location"),
		       check_text(entry, "kind"), check_text(entry, "text"));
	}
	json_array_foreach(check->differences, i, entry)
	{
		printf("%s: %s: %s\n", check->file, check_text(entry, "location"),
		       check_text(entry, "change"));
	}
}

/* commands */

int check_config(const char *file, const char *against, bool as_json)
{
	g_autofree char *duplicate = NULL;
	g_autofree char *ignored = NULL;
	json_t *root = check_read(file, &duplicate);
	json_t *in_force = against ? check_read(against, &ignored) : NULL;
	struct check check = { .file = file, .root = root };
	int code = CHECK_CONFIG_UNREADABLE;

	if (root)
		check.config = check_decode(root);
	if (root && !check.config)
		fprintf(stderr, "%s: instances reject it: no version or no list of routes\n", file);
	if (check.config && (!against || in_force)) {
		check.findings = json_array();
		check.differences = json_array();
		if (duplicate)
			check_add(&check, duplicate, "duplicate-member",
				  "a member comes twice in an object; the last one counts");
		check_routes(&check);
		check_names(&check, "services");
		check_names(&check, "tenants");
		check_keys(&check);
		if (in_force)
			check_against(&check, in_force);
		check_print(&check, as_json);
		code = json_array_size(check.findings) ? CHECK_CONFIG_FINDINGS : CHECK_CONFIG_CLEAN;
		json_decref(check.findings);
		json_decref(check.differences);
	}
	route_config_unref(check.config);
	json_decref(root);
	json_decref(in_force);
	return code;
}
