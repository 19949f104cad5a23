#include "flamingolatch/conf.h"
#include "flamingolatch/err.h"

#include <math.h>
#include <string.h>
#include <yaml.h>

#define CONF_NAME_MAX_BYTES 63
/* Bounds the recursion: a YAML alias can refer to a node that contains it. */
#define CONF_NESTING_MAX 8

/* The document that is being loaded. */
struct conf_reader {
	const char *file; /* name for error messages */
	yaml_document_t *doc;
};

static bool conf_parse_mapping(const struct conf_reader *reader, yaml_node_t *node,
			       const struct conf_schema *schema, void *out, uint32_t depth,
			       GError **error);

/* helpers */

static void *conf_pointer(void *obj, size_t offset)
{
	return (char *)obj + offset;
}

static const void *conf_const_pointer(const void *obj, size_t offset)
{
	return (const char *)obj + offset;
}

static bool conf_set_error(const struct conf_reader *reader, const yaml_node_t *node,
			   const char *key, const char *expected, GError **error)
{
	g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s:%zu: key \"%s\": expected %s",
		    reader->file, node->start_mark.line + 1, key, expected);
	return false;
}

static const char *conf_scalar_text(const yaml_node_t *node)
{
	if (node->type != YAML_SCALAR_NODE)
		return NULL;
	return (const char *)node->data.scalar.value;
}

static bool conf_is_name(const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || len > CONF_NAME_MAX_BYTES)
		return false;
	return strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") == len;
}

static bool conf_parse_u64(const char *text, const struct conf_field *field, uint64_t *out)
{
	uint64_t max = field->max ? field->max : UINT64_MAX;

	return g_ascii_string_to_unsigned(text, 10, field->min, max, out, NULL);
}

static bool conf_parse_f64(const char *text, double *out)
{
	char *end = NULL;

	*out = g_ascii_strtod(text, &end);
	return end != text && *end == '\0' && isfinite(*out) && *out >= 0.0;
}

static bool conf_parse_bool(const char *text, bool *out)
{
	*out = strcmp(text, "true") == 0;
	return *out || strcmp(text, "false") == 0;
}

static bool conf_parse_enum(const char *text, const struct conf_field *field, uint32_t *out)
{
	for (uint32_t i = 0; field->enum_names[i]; i++) {
		if (strcmp(text, field->enum_names[i]) == 0) {
			*out = i;
			return true;
		}
	}
	return false;
}

static bool conf_parse_strings(const struct conf_reader *reader, const yaml_node_t *node,
			       char ***out)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);

	if (node->type != YAML_SEQUENCE_NODE)
		return false;
	for (yaml_node_item_t *item = node->data.sequence.items.start;
	     item < node->data.sequence.items.top; item++) {
		const char *text = conf_scalar_text(yaml_document_get_node(reader->doc, *item));

		if (!text)
			return false;
		g_ptr_array_add(list, g_strdup(text));
	}
	g_ptr_array_add(list, NULL);
	g_strfreev(*out);
	*out = (char **)g_ptr_array_free(g_steal_pointer(&list), FALSE);
	return true;
}

static bool conf_parse_struct_list(const struct conf_reader *reader, const yaml_node_t *node,
				   const struct conf_field *field, void *out, uint32_t depth,
				   GError **error)
{
	uint32_t *count = conf_pointer(out, field->count_offset);
	void **items = conf_pointer(out, field->offset);
	uint32_t total;

	if (node->type != YAML_SEQUENCE_NODE)
		return conf_set_error(reader, node, field->key, "a list", error);
	total = (uint32_t)(node->data.sequence.items.top - node->data.sequence.items.start);
	if (*items)
		return conf_set_error(reader, node, field->key, "one list", error);
	*items = g_malloc0_n(MAX(total, 1), field->sub_schema->size);
	for (uint32_t i = 0; i < total; i++) {
		yaml_node_t *item =
			yaml_document_get_node(reader->doc, node->data.sequence.items.start[i]);

		/* Counted before it is parsed, so that conf_clear() frees a partly parsed item. */
		*count = i + 1;
		if (!conf_parse_mapping(reader, item, field->sub_schema,
					conf_pointer(*items, i * field->sub_schema->size),
					depth + 1, error))
			return false;
	}
	return true;
}

static const char *conf_expected_text(const struct conf_field *field, char *buf, size_t size)
{
	g_autofree char *joined = NULL;

	switch (field->type) {
	case CONF_NAME:
		return "a name of a-z, 0-9 and -, at most 63 bytes";
	case CONF_U64:
		g_snprintf(buf, size,
			   "a whole number from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
			   field->min, field->max ? field->max : UINT64_MAX);
		return buf;
	case CONF_F64:
		return "a number of 0 or more";
	case CONF_BOOL:
		return "true or false";
	case CONF_ENUM:
		joined = g_strjoinv(", ", (char **)field->enum_names);
		g_snprintf(buf, size, "one of %s", joined);
		return buf;
	case CONF_STRINGS:
		return "a list of strings";
	default:
		return "a string";
	}
}

static bool conf_parse_value(const struct conf_reader *reader, yaml_node_t *node,
			     const struct conf_field *field, void *out, uint32_t depth,
			     GError **error)
{
	void *member = conf_pointer(out, field->offset);
	const char *text = conf_scalar_text(node);
	char buf[256];
	bool ok = false;

	if (field->type == CONF_STRUCT_LIST)
		return conf_parse_struct_list(reader, node, field, out, depth, error);
	if (field->type == CONF_STRUCT)
		return conf_parse_mapping(reader, node, field->sub_schema, member, depth + 1,
					  error);
	if (field->type == CONF_STRINGS) {
		ok = conf_parse_strings(reader, node, member);
	} else if (text) {
		switch (field->type) {
		case CONF_U64:
			ok = conf_parse_u64(text, field, member);
			break;
		case CONF_F64:
			ok = conf_parse_f64(text, member);
			break;
		case CONF_BOOL:
			ok = conf_parse_bool(text, member);
			break;
		case CONF_ENUM:
			ok = conf_parse_enum(text, field, member);
			break;
		default:
			ok = field->type == CONF_STRING || conf_is_name(text);
			if (ok) {
				g_free(*(char **)member);
				*(char **)member = g_strdup(text);
			}
			break;
		}
	}
	if (!ok)
		return conf_set_error(reader, node, field->key,
				      conf_expected_text(field, buf, sizeof(buf)), error);
	return true;
}

static const struct conf_field *conf_find_field(const struct conf_schema *schema, const char *key)
{
	for (const struct conf_field *field = schema->fields; field->key; field++) {
		if (strcmp(field->key, key) == 0)
			return field;
	}
	return NULL;
}

static bool conf_parse_mapping(const struct conf_reader *reader, yaml_node_t *node,
			       const struct conf_schema *schema, void *out, uint32_t depth,
			       GError **error)
{
	uint64_t seen = 0;

	if (node->type != YAML_MAPPING_NODE || depth > CONF_NESTING_MAX) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s:%zu: expected a mapping",
			    reader->file, node->start_mark.line + 1);
		return false;
	}
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *key_node = yaml_document_get_node(reader->doc, pair->key);
		const char *key = conf_scalar_text(key_node);
		const struct conf_field *field = key ? conf_find_field(schema, key) : NULL;
		uint64_t bit;

		if (!field)
			return conf_set_error(reader, key_node, key ? key : "?", "a known key",
					      error);
		bit = 1ULL << (field - schema->fields);
		if (seen & bit)
			return conf_set_error(reader, key_node, key, "the key only once", error);
		seen |= bit;
		if (!conf_parse_value(reader, yaml_document_get_node(reader->doc, pair->value),
				      field, out, depth, error))
			return false;
	}
	for (const struct conf_field *field = schema->fields; field->key; field++) {
		if (field->required && !(seen & (1ULL << (field - schema->fields))))
			return conf_set_error(reader, node, field->key, "the key to be present",
					      error);
	}
	return true;
}

static json_t *conf_value_to_json(const struct conf_field *field, const void *obj)
{
	const void *member = conf_const_pointer(obj, field->offset);
	json_t *list;

	switch (field->type) {
	case CONF_STRING:
	case CONF_NAME:
		return *(char *const *)member ? json_string(*(char *const *)member) : NULL;
	case CONF_U64:
		return json_integer((json_int_t) * (const uint64_t *)member);
	case CONF_F64:
		return json_real(*(const double *)member);
	case CONF_BOOL:
		return json_boolean(*(const bool *)member);
	case CONF_ENUM:
		return json_string(field->enum_names[*(const uint32_t *)member]);
	case CONF_STRUCT:
		return conf_to_json(field->sub_schema, member);
	case CONF_STRINGS:
		list = json_array();
		for (char **name = *(char **const *)member; name && *name; name++)
			json_array_append_new(list, json_string(*name));
		return list;
	case CONF_STRUCT_LIST:
		list = json_array();
		for (uint32_t i = 0;
		     i < *(const uint32_t *)conf_const_pointer(obj, field->count_offset); i++)
			json_array_append_new(
				list,
				conf_to_json(field->sub_schema,
					     conf_const_pointer(*(void *const *)member,
								i * field->sub_schema->size)));
		return list;
	}
	return NULL;
}

/* commands */

bool conf_parse(const char *file, const char *text, size_t len, const struct conf_schema *schema,
		void *out, GError **error)
{
	struct conf_reader reader = { file, NULL };
	yaml_parser_t parser;
	yaml_document_t doc;
	yaml_node_t *root;
	bool ok = false;

	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	if (!yaml_parser_load(&parser, &doc)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s:%zu: not valid YAML: %s", file,
			    parser.problem_mark.line + 1,
			    parser.problem ? parser.problem : "unreadable");
		yaml_parser_delete(&parser);
		return false;
	}
	reader.doc = &doc;
	root = yaml_document_get_root_node(&doc);
	if (root)
		ok = conf_parse_mapping(&reader, root, schema, out, 0, error);
	else
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s:1: the file is empty", file);
	yaml_document_delete(&doc);
	yaml_parser_delete(&parser);
	return ok;
}

bool conf_parse_file(const char *file, const struct conf_schema *schema, void *out, GError **error)
{
	g_autofree char *text = NULL;
	g_autoptr(GError) cause = NULL;
	gsize len;

	if (!g_file_get_contents(file, &text, &len, &cause)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s: %s", file, cause->message);
		return false;
	}
	return conf_parse(file, text, len, schema, out, error);
}

void conf_clear(const struct conf_schema *schema, void *obj)
{
	for (const struct conf_field *field = schema->fields; field->key; field++) {
		void *member = conf_pointer(obj, field->offset);

		switch (field->type) {
		case CONF_STRING:
		case CONF_NAME:
			g_clear_pointer((char **)member, g_free);
			break;
		case CONF_STRINGS:
			g_clear_pointer((char ***)member, g_strfreev);
			break;
		case CONF_STRUCT:
			conf_clear(field->sub_schema, member);
			break;
		case CONF_STRUCT_LIST:
			for (uint32_t i = 0;
			     i < *(uint32_t *)conf_pointer(obj, field->count_offset); i++)
				conf_clear(field->sub_schema,
					   conf_pointer(*(void **)member,
							i * field->sub_schema->size));
			g_clear_pointer((void **)member, g_free);
			*(uint32_t *)conf_pointer(obj, field->count_offset) = 0;
			break;
		default:
			break;
		}
	}
}

/* queries */

json_t *conf_to_json(const struct conf_schema *schema, const void *obj)
{
	json_t *out = json_object();

	for (const struct conf_field *field = schema->fields; field->key; field++) {
		json_t *value = conf_value_to_json(field, obj);

		if (value)
			json_object_set_new(out, field->key, value);
	}
	return out;
}
