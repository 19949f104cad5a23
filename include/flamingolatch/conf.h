/**
 * @file conf.h
 * Loads YAML text (JSON is a subset) into C structures as a schema describes.
 *
 * A struct conf_schema lists the keys of a mapping with type, range and the
 * offset of the structure member that each one sets. conf_parse() or
 * conf_parse_file() loads a text, conf_to_json() converts the structure to
 * JSON, conf_clear() frees the members that parsing allocated. An unknown,
 * missing or repeated key and a value of the wrong type or out of range are
 * errors; the message names file, line, key and the expected value.
 */
#ifndef FLAMINGOLATCH_CONF_H
#define FLAMINGOLATCH_CONF_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Type of a value, and of the structure member that it is stored in. */
enum conf_type {
	CONF_STRING,	  /**< char *, allocated */
	CONF_NAME,	  /**< char *, allocated; 1 to 63 bytes of [a-z0-9-] */
	CONF_U64,	  /**< uint64_t */
	CONF_F64,	  /**< double, finite and at least 0 */
	CONF_BOOL,	  /**< bool */
	CONF_ENUM,	  /**< uint32_t, index into enum_names */
	CONF_STRINGS,	  /**< char **, allocated; NULL-terminated array of strings */
	CONF_STRUCT_LIST, /**< void *, allocated; array of structures of sub_schema */
	CONF_STRUCT,	  /**< embedded structure of sub_schema */
};

struct conf_schema;

/** One key of a mapping. */
struct conf_field {
	const char *key;
	enum conf_type type;
	size_t offset; /**< of the member in the structure */
	bool required;
	uint64_t min;			      /**< CONF_U64 */
	uint64_t max;			      /**< CONF_U64; 0: no maximum */
	const char *const *enum_names;	      /**< CONF_ENUM: NULL-terminated */
	const struct conf_schema *sub_schema; /**< CONF_STRUCT_LIST and CONF_STRUCT */
	size_t count_offset; /**< CONF_STRUCT_LIST: offset of its uint32_t length */
};

/** The keys of a mapping. */
struct conf_schema {
	size_t size;			 /**< size of the structure in bytes */
	const struct conf_field *fields; /**< at most 64, ended by a NULL key */
};

/**
 * Parses a text into a structure.
 * @param file name used in error messages
 * @param out structure that holds the defaults, with allocated members for strings; keys
 *        that are absent from the text keep them
 * @return true, or false with @p error set to ERR_SETTINGS. Free @p out with
 *         conf_clear() in both cases.
 */
bool conf_parse(const char *file, const char *text, size_t len, const struct conf_schema *schema,
		void *out, GError **error);
/** Reads a file and parses it as conf_parse() does. */
bool conf_parse_file(const char *file, const struct conf_schema *schema, void *out, GError **error);
/** Frees the allocated members of @p obj, not @p obj itself. */
void conf_clear(const struct conf_schema *schema, void *obj);
/** Returns the structure as a JSON object, owned by the caller; NULL strings are left out. */
json_t *conf_to_json(const struct conf_schema *schema, const void *obj);

#endif
