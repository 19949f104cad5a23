#include "flamingolatch/http_lines.h"

#include <glib.h>

/* Reads a byte of a head or of trailers, both of which an empty line ends. */
static bool http_lines_feed_fields(struct http_lines *lines, char byte)
{
	bool is_end = byte == '\n' && !lines->in_line && lines->begun;

	if (byte == '\r')
		return true;
	lines->in_line = byte != '\n';
	lines->begun = lines->begun || lines->in_line;
	if (!is_end)
		return true;
	lines->begun = false;
	if (lines->state == HTTP_LINES_HEAD && lines->chunked) {
		lines->state = HTTP_LINES_SIZE;
		return true;
	}
	lines->state = HTTP_LINES_HEAD;
	lines->chunked = false;
	return true;
}

/* Ends the line with the size of a chunk. */
static void http_lines_end_size(struct http_lines *lines)
{
	lines->state = lines->has_data ? HTTP_LINES_CHUNK_END : HTTP_LINES_TRAILERS;
	/* an empty line ends trailers also when there are none */
	lines->begun = !lines->has_data;
	lines->has_size = false;
	lines->has_data = false;
}

/* Reads a byte of the line with the size of a chunk. */
static bool http_lines_feed_size(struct http_lines *lines, char byte)
{
	if (lines->state == HTTP_LINES_SIZE && g_ascii_isxdigit(byte)) {
		lines->has_size = true;
		lines->has_data = lines->has_data || byte != '0';
		return true;
	}
	/* http_parser takes a line feed alone for a part of an extension */
	if (!lines->has_size || (byte == '\n' && !lines->after_cr))
		return false;
	if (byte == '\n')
		http_lines_end_size(lines);
	else if (byte != '\r' && lines->state == HTTP_LINES_EXTENSION)
		return !g_ascii_iscntrl(byte) || byte == '\t';
	else if (byte == ' ' || byte == '\t')
		lines->state = HTTP_LINES_BLANKS;
	else if (byte == ';')
		lines->state = HTTP_LINES_EXTENSION;
	else
		return byte == '\r';
	return true;
}

static bool http_lines_feed_byte(struct http_lines *lines, char byte)
{
	switch (lines->state) {
	case HTTP_LINES_HEAD:
	case HTTP_LINES_TRAILERS:
		return http_lines_feed_fields(lines, byte);
	case HTTP_LINES_SIZE:
	case HTTP_LINES_BLANKS:
	case HTTP_LINES_EXTENSION:
		return http_lines_feed_size(lines, byte);
	case HTTP_LINES_CHUNK_END:
		if (lines->after_cr)
			lines->state = HTTP_LINES_SIZE;
		return byte == (lines->after_cr ? '\n' : '\r');
	}
	return false;
}

bool http_lines_feed(struct http_lines *lines, const char *buf, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (lines->after_cr && buf[i] != '\n')
			return false;
		if (!http_lines_feed_byte(lines, buf[i]))
			return false;
		lines->after_cr = buf[i] == '\r';
	}
	return true;
}
