/**
 * @file http_lines.h
 * Checks of HTTP/1 messages that http_parser leaves out. Built without its strict checks, it takes
 * any byte behind a carriage return for the line feed, and any two bytes for the line end behind
 * the data of a chunk. It always reads bytes beyond ASCII as zeros of a chunk size, and skips
 * whatever follows a blank behind one.
 *
 * Feed it all bytes of a connection that are not part of a body, in order, and set
 * http_lines::chunked when the head of a message says that its body is chunked, before the bytes
 * behind that head are fed. Zeros are a valid initial state.
 */
#ifndef FLAMINGOLATCH_HTTP_LINES_H
#define FLAMINGOLATCH_HTTP_LINES_H

#include <stdbool.h>
#include <stddef.h>

/** What the next byte is part of. */
enum http_lines_state {
	HTTP_LINES_HEAD,
	HTTP_LINES_SIZE,      /**< of a chunk */
	HTTP_LINES_BLANKS,    /**< behind a size */
	HTTP_LINES_EXTENSION, /**< of a size */
	HTTP_LINES_CHUNK_END, /**< line end behind the data of a chunk */
	HTTP_LINES_TRAILERS,
};

struct http_lines {
	enum http_lines_state state;
	bool chunked;  /**< the body of the message is; reset at its end */
	bool after_cr; /**< the last byte was a carriage return */
	bool begun;    /**< the head has a line that is not empty */
	bool in_line;  /**< the line of a head or trailer is not empty */
	bool has_size; /**< the chunk size has a digit */
	bool has_data; /**< it is not zero */
};

/** Checks further bytes. @return false when one is not what it should be */
bool http_lines_feed(struct http_lines *lines, const char *buf, size_t len);

#endif
