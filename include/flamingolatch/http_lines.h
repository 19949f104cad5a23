/**
 * @file http_lines.h
 * Checks of line ends in HTTP/1 messages that http_parser leaves out when it is built without its
 * strict checks: it takes any byte behind a carriage return for the line feed, and any two bytes
 * for the line end behind the data of a chunk.
 *
 * Feed it all bytes of a connection that are not part of a body, in order, and call
 * http_lines_end_chunk() behind the data of a chunk. Zeros are a valid initial state.
 */
#ifndef FLAMINGOLATCH_HTTP_LINES_H
#define FLAMINGOLATCH_HTTP_LINES_H

#include <stdbool.h>
#include <stddef.h>

struct http_lines {
	bool after_cr;	  /* the last byte was a carriage return */
	bool chunk_ended; /* the next byte ends the data of a chunk */
};

/** Checks further bytes. @return false when a line does not end as it should */
bool http_lines_feed(struct http_lines *lines, const char *buf, size_t len);
/** Records that the data of a chunk is complete. */
void http_lines_end_chunk(struct http_lines *lines);

#endif
