/**
 * @file http_reference.h
 * A strict parser of HTTP/1 messages, against which those of the project are compared. It reads a
 * whole text and shares no code with them. It allows what docs/design/framing.md says is allowed:
 * line feeds alone in heads, empty lines before a request, folded lines, and several blanks in a
 * request line.
 */
#ifndef FLAMINGOLATCH_TEST_HTTP_REFERENCE_H
#define FLAMINGOLATCH_TEST_HTTP_REFERENCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct http_reference_message {
	char *start;	    /**< "METHOD target" of a request, the three digits of a response */
	GPtrArray *headers; /**< "name: value", names in lower case, blanks in values as one */
	GString *body;
	gsize end; /**< offset of the byte behind it */
};

/** Reads the message at an offset. @return NULL when there is no whole and valid one
 *  @param is_response a response to GET; its body must have a length of its own */
struct http_reference_message *http_reference_parse(const char *text, gsize len, gsize offset,
						    bool is_response);
/** Accepts NULL. */
void http_reference_free(struct http_reference_message *message);
/** Returns a header as struct http_reference_message has it, to be freed with g_free(). */
char *http_reference_header(const char *name, const char *value);

/** Fails unless headers are some of those of a message, in its order. Both as struct
 * http_reference_message has them. */
void http_reference_check_headers(const GPtrArray *headers, const GPtrArray *all);
/** Reports a difference and aborts, so that the input is kept. */
void http_reference_fail(const char *format, ...) G_GNUC_PRINTF(1, 2) G_GNUC_NORETURN;

#endif
