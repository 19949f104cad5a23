/**
 * @file conf.h
 * Checked loading of YAML (and so JSON) text into C structures.
 *
 * A struct conf_schema lists the keys of a mapping with type, range and the
 * offset of the field they fill. conf_parse() loads a text; conf_to_json()
 * writes the structure back; conf_clear() frees what parsing allocated.
 * An unknown key, a missing required key and a wrong value are errors that
 * name file, line, key and what was expected.
 */
#ifndef FLAMINGOLATCH_CONF_H
#define FLAMINGOLATCH_CONF_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Type of a field and of the C object behind it. */
enum conf_type {
	CONF_STRING, /**< char *, allocated */
	CONF_NAME,   /**< char *, allocated; [a-z0-9-], at most 63 bytes */
	CONF_U64,    /**< uint64_t */
	CONF_F64,    /**< double, at least 0 */
	CONF_BOOL,   /**< bool */
	CONF_ENUM,   /**< uint32_t, index into names */
	CONF_NAMES,  /**< char **, NULL-terminated strings */
	CONF_LIST,   /**< void *, array of count structures of schema sub */
	CONF_STRUCT, /**< structure of schema sub, in place */
};

struct conf_schema;

/** One key of a mapping. */
struct conf_field {
	const char *key;
	enum conf_type type;
	size_t offset;
	bool required;
	uint64_t min;
	uint64_t max;
	const char *const *names;      /**< CONF_ENUM: NULL-terminated */
	const struct conf_schema *sub; /**< CONF_LIST and CONF_STRUCT */
	size_t count_offset;	       /**< CONF_LIST: offset of a uint32_t count */
};

/** The keys of a mapping; the last field has a NULL key. */
struct conf_schema {
	size_t size; /**< size of the structure */
	const struct conf_field *fields;
};

/**
 * Loads a text into @p out, which holds the defaults.
 * @param file name used in messages
 * @return true, or false with @p error set to ERR_SETTINGS; @p out is then
 *         still to be freed with conf_clear()
 */
bool conf_parse(const char *file, const char *text, size_t len, const struct conf_schema *schema,
		void *out, GError **error);
/** Reads a file and loads it; see conf_parse(). */
bool conf_parse_file(const char *file, const struct conf_schema *schema, void *out, GError **error);
/** Frees what conf_parse() allocated in @p obj. */
void conf_clear(const struct conf_schema *schema, void *obj);
/** Returns the structure as a JSON object. */
json_t *conf_to_json(const struct conf_schema *schema, const void *obj);

#endif
