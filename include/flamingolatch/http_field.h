/**
 * @file http_field.h
 * Values of HTTP header fields that the client and the server read alike.
 */
#ifndef FLAMINGOLATCH_HTTP_FIELD_H
#define FLAMINGOLATCH_HTTP_FIELD_H

#include <stdbool.h>
#include <stddef.h>

/** Returns whether a comma-separated list contains a name, in any case.
 * @param list may be NULL */
bool http_field_list_contains(const char *list, const char *name);
/** Returns whether a value has no control characters but tabs (RFC 9110, section 5.5).
 * http_parser does not check the first one. */
bool http_field_value_is_valid(const char *value, size_t len);

#endif
