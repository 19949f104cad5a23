/**
 * @file http_field.h
 * Values of HTTP header fields that the client and the server read alike.
 */
#ifndef FLAMINGOLATCH_HTTP_FIELD_H
#define FLAMINGOLATCH_HTTP_FIELD_H

#include <stdbool.h>

/** Returns whether a comma-separated list contains a name, in any case.
 * @param list may be NULL */
bool http_field_list_contains(const char *list, const char *name);

#endif
